package raftlog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/raft"
	"github.com/vmihailenco/msgpack/v5"
	"go.etcd.io/bbolt"
)

// The layout of the file. Each value is followed by its checksum.
var (
	logsBucket   = []byte("logs")   // entries, by index
	stableBucket = []byte("stable") // raft's term and vote
	userBucket   = []byte("kept")   // values of the store's user
	allBuckets   = [][]byte{logsBucket, stableBucket, userBucket}
)

const (
	storeFile     = "store.db"
	lockTimeout   = 5 * time.Second // for another process to release the file
	indexBytes    = 8               // of an index or a number, big endian
	checksumBytes = 8               // xxhash64, big endian
)

// errNotFound has the text by which hashicorp/raft recognizes a key that was never set.
var errNotFound = errors.New("not found")

// Store stores the log, raft's term and vote, and values of its user in one bbolt file. It implements raft.LogStore and
// raft.StableStore.
type Store struct {
	db *bbolt.DB
}

// OpenStore opens the store of a directory. A corrupt one is moved to a directory that aside names, and the store is
// then empty.
func OpenStore(dir string) (s *Store, aside string, err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, "", fmt.Errorf("store: %w", err)
	}
	path := filepath.Join(dir, storeFile)
	err = verify(path)
	if errors.Is(err, ErrCorrupt) {
		aside, err = setAside(dir, err)
	}
	if err != nil {
		return nil, "", err
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		return nil, aside, fmt.Errorf("store %s: %w", path, err)
	}
	if err := db.Update(createBuckets); err != nil {
		_ = db.Close() // the error of the update is the cause
		return nil, aside, fmt.Errorf("store %s: %w", path, err)
	}
	return &Store{db: db}, aside, nil
}

func createBuckets(tx *bbolt.Tx) error {
	for _, name := range allBuckets {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	return nil
}

// appendChecksum encodes a value.
func appendChecksum(v []byte) []byte {
	return binary.BigEndian.AppendUint64(append(make([]byte, 0, len(v)+checksumBytes), v...), xxhash.Sum64(v))
}

// verifyChecksum decodes a value into a copy.
func verifyChecksum(v []byte) ([]byte, error) {
	cut := len(v) - checksumBytes
	if cut < 0 || xxhash.Sum64(v[:cut]) != binary.BigEndian.Uint64(v[cut:]) {
		return nil, ErrCorrupt
	}
	return append([]byte(nil), v[:cut]...), nil
}

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }

// Bytes is the size of the stored keys and values, without the free pages of the file.
func (s *Store) Bytes() (n int64) {
	_ = s.db.View(func(tx *bbolt.Tx) error { // fails on a closed store only
		for _, name := range allBuckets {
			stats := tx.Bucket(name).Stats()
			n += int64(stats.LeafInuse + stats.BranchInuse)
		}
		return nil
	})
	return n
}

func (s *Store) put(bucket, key, value []byte) error {
	err := s.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(bucket).Put(key, appendChecksum(value)) })
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	return nil
}

func (s *Store) get(bucket, key []byte) (value []byte, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		raw := tx.Bucket(bucket).Get(key)
		if raw == nil {
			return errNotFound
		}
		value, err = verifyChecksum(raw)
		return err
	})
	return value, err
}

// PutUser stores a value of the store's user.
func (s *Store) PutUser(key string, value []byte) error { return s.put(userBucket, []byte(key), value) }

// GetUser returns a value that PutUser has stored; nil if there is none.
func (s *Store) GetUser(key string) ([]byte, error) {
	v, err := s.get(userBucket, []byte(key))
	if errors.Is(err, errNotFound) {
		return nil, nil
	}
	return v, err
}

func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// FirstIndex is the index of the oldest entry; 0: none.
func (s *Store) FirstIndex() (uint64, error) {
	return s.boundaryIndex(func(c *bbolt.Cursor) ([]byte, []byte) { return c.First() })
}

// LastIndex is the index of the newest entry; 0: none.
func (s *Store) LastIndex() (uint64, error) {
	return s.boundaryIndex(func(c *bbolt.Cursor) ([]byte, []byte) { return c.Last() })
}

func (s *Store) boundaryIndex(of func(*bbolt.Cursor) ([]byte, []byte)) (index uint64, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		if k, _ := of(tx.Bucket(logsBucket).Cursor()); k != nil {
			index = binary.BigEndian.Uint64(k)
		}
		return nil
	})
	return index, err
}

// GetLog reads an entry; raft.ErrLogNotFound if there is none.
func (s *Store) GetLog(index uint64, to *raft.Log) error {
	raw, err := s.get(logsBucket, indexKey(index))
	if errors.Is(err, errNotFound) {
		return raft.ErrLogNotFound
	}
	if err != nil {
		return fmt.Errorf("log %d: %w", index, err)
	}
	return msgpack.Unmarshal(raw, to)
}

// StoreLog writes an entry.
func (s *Store) StoreLog(l *raft.Log) error { return s.StoreLogs([]*raft.Log{l}) }

// StoreLogs writes entries in one transaction.
func (s *Store) StoreLogs(logs []*raft.Log) error {
	err := s.db.Update(func(tx *bbolt.Tx) error {
		for _, l := range logs {
			raw, err := msgpack.Marshal(l)
			if err != nil {
				return err
			}
			if err := tx.Bucket(logsBucket).Put(indexKey(l.Index), appendChecksum(raw)); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("store logs: %w", err)
	}
	return nil
}

// DeleteRange deletes the entries from one index to another, both included.
func (s *Store) DeleteRange(from, to uint64) error {
	return s.db.Update(func(tx *bbolt.Tx) error {
		c := tx.Bucket(logsBucket).Cursor()
		for k, _ := c.Seek(indexKey(from)); k != nil && binary.BigEndian.Uint64(k) <= to; k, _ = c.Seek(indexKey(from)) {
			if err := c.Delete(); err != nil {
				return err
			}
		}
		return nil
	})
}

// Set stores a value of raft.
func (s *Store) Set(k, v []byte) error { return s.put(stableBucket, k, v) }

// Get returns a value that Set has stored; errNotFound if there is none.
func (s *Store) Get(k []byte) ([]byte, error) { return s.get(stableBucket, k) }

// SetUint64 stores a number of raft.
func (s *Store) SetUint64(k []byte, v uint64) error { return s.Set(k, indexKey(v)) }

// GetUint64 returns a number that SetUint64 has stored; errNotFound if there is none.
func (s *Store) GetUint64(k []byte) (uint64, error) {
	raw, err := s.Get(k)
	if err != nil {
		return 0, err
	}
	if len(raw) != indexBytes {
		return 0, ErrCorrupt
	}
	return binary.BigEndian.Uint64(raw), nil
}
