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

// The buckets of the file. Each value is followed by its checksum. The names are stored and must not change.
var (
	logsBucket   = []byte("logs")   // entries, by index
	stableBucket = []byte("stable") // raft's term and vote
	userBucket   = []byte("kept")   // values of SetUserValue
	allBuckets   = [][]byte{logsBucket, stableBucket, userBucket}
)

const (
	storeFile     = "store.db"
	lockTimeout   = 5 * time.Second // maximum wait for another process to release its lock on the file
	indexBytes    = 8               // size of an index, or of a number that raft stores, such as a term; both are big-endian
	checksumBytes = 8               // size of a checksum, which is a big-endian xxhash64
)

// errNotFound is returned for a key that was never set. hashicorp/raft recognizes it by its text.
var errNotFound = errors.New("not found")

// Store stores the log, raft's term and vote, and values of its user in one bbolt file. It implements raft.LogStore and
// raft.StableStore. Its methods may be called from any goroutine.
type Store struct {
	db *bbolt.DB
}

// OpenStore opens the store in a directory, which is created if it is missing. The files of a corrupt store are moved
// to a new directory below dir, whose path is returned as quarantined, and the opened store is empty. quarantined is
// empty if the store was intact.
func OpenStore(dir string) (s *Store, quarantined string, err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, "", fmt.Errorf("create store directory: %w", err)
	}
	path := filepath.Join(dir, storeFile)
	err = verify(path)
	if errors.Is(err, ErrCorrupt) {
		quarantined, err = quarantine(dir, err)
	}
	if err != nil {
		return nil, "", err
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		return nil, quarantined, fmt.Errorf("open store %s: %w", path, err)
	}
	if err := db.Update(createBuckets); err != nil {
		_ = db.Close() // the error of the update is returned
		return nil, quarantined, fmt.Errorf("create buckets in store %s: %w", path, err)
	}
	return &Store{db: db}, quarantined, nil
}

// createBuckets creates the buckets that do not exist yet.
func createBuckets(tx *bbolt.Tx) error {
	for _, name := range allBuckets {
		if _, err := tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	return nil
}

// appendChecksum returns a copy of a value with its checksum appended.
func appendChecksum(v []byte) []byte {
	return binary.BigEndian.AppendUint64(append(make([]byte, 0, len(v)+checksumBytes), v...), xxhash.Sum64(v))
}

// verifyChecksum returns a copy of a value without its checksum, or ErrCorrupt if the checksum does not match.
func verifyChecksum(v []byte) ([]byte, error) {
	end := len(v) - checksumBytes
	if end < 0 || xxhash.Sum64(v[:end]) != binary.BigEndian.Uint64(v[end:]) {
		return nil, ErrCorrupt
	}
	return append([]byte(nil), v[:end]...), nil
}

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }

// Bytes returns the size of the stored keys and values in bytes, without the free pages of the file.
func (s *Store) Bytes() (n int64) {
	_ = s.db.View(func(tx *bbolt.Tx) error { // fails only on a closed store
		for _, name := range allBuckets {
			stats := tx.Bucket(name).Stats()
			n += int64(stats.LeafInuse + stats.BranchInuse)
		}
		return nil
	})
	return n
}

// put stores a value with its checksum.
func (s *Store) put(bucket, key, value []byte) error {
	err := s.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(bucket).Put(key, appendChecksum(value)) })
	if err != nil {
		return fmt.Errorf("write value to the store: %w", err)
	}
	return nil
}

// get returns a value after its checksum was verified. It returns errNotFound or ErrCorrupt.
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

// SetUserValue stores a value under a key of the store's user. User values are separate from those of raft.
func (s *Store) SetUserValue(key string, value []byte) error {
	return s.put(userBucket, []byte(key), value)
}

// UserValue returns a value stored by SetUserValue; nil if there is none.
func (s *Store) UserValue(key string) ([]byte, error) {
	v, err := s.get(userBucket, []byte(key))
	if errors.Is(err, errNotFound) {
		return nil, nil
	}
	return v, err
}

// indexKey encodes an index or a number, so that the order of the keys is that of the indices.
func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// FirstIndex returns the index of the oldest entry; 0 if there is none.
func (s *Store) FirstIndex() (uint64, error) {
	return s.boundaryIndex(func(c *bbolt.Cursor) ([]byte, []byte) { return c.First() })
}

// LastIndex returns the index of the newest entry; 0 if there is none.
func (s *Store) LastIndex() (uint64, error) {
	return s.boundaryIndex(func(c *bbolt.Cursor) ([]byte, []byte) { return c.Last() })
}

// boundaryIndex returns the index of the entry to which seek moves a cursor; 0 if there is none.
func (s *Store) boundaryIndex(seek func(*bbolt.Cursor) ([]byte, []byte)) (index uint64, err error) {
	err = s.db.View(func(tx *bbolt.Tx) error {
		if k, _ := seek(tx.Bucket(logsBucket).Cursor()); k != nil {
			index = binary.BigEndian.Uint64(k)
		}
		return nil
	})
	return index, err
}

// GetLog reads the entry at an index. It returns raft.ErrLogNotFound if there is none.
func (s *Store) GetLog(index uint64, to *raft.Log) error {
	raw, err := s.get(logsBucket, indexKey(index))
	if errors.Is(err, errNotFound) {
		return raft.ErrLogNotFound
	}
	if err != nil {
		return fmt.Errorf("read entry %d: %w", index, err)
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
		return fmt.Errorf("write entries to the store: %w", err)
	}
	return nil
}

// DeleteRange deletes the entries from one index to another, inclusive.
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

// Set stores a value of raft, see raft.StableStore.
func (s *Store) Set(k, v []byte) error { return s.put(stableBucket, k, v) }

// Get returns a value stored by Set. If there is none, the text of the error is "not found", as raft expects.
func (s *Store) Get(k []byte) ([]byte, error) { return s.get(stableBucket, k) }

// SetUint64 stores a number of raft, see raft.StableStore.
func (s *Store) SetUint64(k []byte, v uint64) error { return s.Set(k, indexKey(v)) }

// GetUint64 returns a number stored by SetUint64. If there is none, the error is that of Get.
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
