package raftlog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/raft"
	"github.com/vmihailenco/msgpack/v5"
	"go.etcd.io/bbolt"
)

var (
	logsBucket   = []byte("logs")
	stableBucket = []byte("stable")
	userBucket   = []byte("kept")
	allBuckets   = [][]byte{logsBucket, stableBucket, userBucket}
)

// ErrTorn is a store in which something was not written whole.
var ErrCorrupt = errors.New("store: torn")

// errNotFound has the text by which raft knows that a key was never set.
var errNotFound = errors.New("not found")

// Store keeps the log, what raft has to remember, and what its user keeps, each value with a sum over it. It is one
// bbolt file.
type Store struct {
	db   *bbolt.DB
	path string
}

const (
	storeFile = "store.db"
	lockWait  = 5 * time.Second
)

// OpenStore opens the store of a directory. A torn one is set aside, and aside names where; the store is empty then.
func OpenStore(dir string) (s *Store, aside string, err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, "", fmt.Errorf("store: %w", err)
	}
	path := filepath.Join(dir, storeFile)
	if err := verify(path); errors.Is(err, ErrCorrupt) {
		if aside, err = setAside(dir, err); err != nil {
			return nil, "", err
		}
	} else if err != nil {
		return nil, "", err
	}
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockWait})
	if err != nil {
		return nil, aside, fmt.Errorf("store %s: %w", path, err)
	}
	if err := db.Update(func(tx *bbolt.Tx) error {
		for _, name := range allBuckets {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return err
			}
		}
		return nil
	}); err != nil {
		db.Close()
		return nil, aside, fmt.Errorf("store %s: %w", path, err)
	}
	return &Store{db: db, path: path}, aside, nil
}

// setAside moves all files of a directory into a new one beneath it. Nothing is thrown away.
func setAside(dir string, cause error) (string, error) {
	aside := filepath.Join(dir, "torn-"+strconv.FormatInt(time.Now().UnixMilli(), 10))
	if err := os.Mkdir(aside, 0o700); err != nil {
		return "", fmt.Errorf("%w; and it can't be set aside: %w", cause, err)
	}
	for _, name := range []string{storeFile, snapshotsDir} {
		err := os.Rename(filepath.Join(dir, name), filepath.Join(aside, name))
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			return "", fmt.Errorf("%w; and it can't be set aside: %w", cause, err)
		}
	}
	return aside, nil
}

// verify reads all of a store. Danger: bbolt maps its file: one that was cut short or written in part would end the
// process as it is read, or be served as it is.
func verify(path string) (err error) {
	info, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %s: %v", ErrCorrupt, path, p)
		}
	}()
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockWait, ReadOnly: true})
	if errors.Is(err, os.ErrPermission) {
		return fmt.Errorf("store: %w", err)
	}
	if err != nil {
		if err.Error() == "timeout" {
			return fmt.Errorf("store %s: another process has it: %w", path, err)
		}
		return fmt.Errorf("%w: %s: %w", ErrCorrupt, path, err)
	}
	defer db.Close()
	snapped, err := verifySnapshots(filepath.Dir(path))
	if err != nil {
		return err
	}
	return db.View(func(tx *bbolt.Tx) error {
		if tx.Size() > info.Size() {
			return fmt.Errorf("%w: %s: %d bytes of %d", ErrCorrupt, path, info.Size(), tx.Size())
		}
		for _, name := range allBuckets {
			b := tx.Bucket(name)
			if b == nil {
				continue
			}
			next, first := uint64(0), true
			if err := b.ForEach(func(k, v []byte) error {
				if _, err := verifyChecksum(v); err != nil {
					return fmt.Errorf("%w: %s: %s %x", ErrCorrupt, path, name, k)
				}
				if string(name) == string(logsBucket) {
					index := binary.BigEndian.Uint64(k)
					if first && index > snapped+1 || !first && index != next {
						return fmt.Errorf("%w: %s: logs before %d are missing", ErrCorrupt, path, index)
					}
					next, first = index+1, false
				}
				return nil
			}); err != nil {
				return err
			}
		}
		return nil
	})
}

// verifySnapshots reads all snapshots, each of which has a sum of its own, and returns the index up to which they go.
func verifySnapshots(dir string) (index uint64, err error) {
	if _, err := os.Stat(filepath.Join(dir, snapshotsDir)); errors.Is(err, os.ErrNotExist) {
		return 0, nil
	}
	snaps, err := raft.NewFileSnapshotStore(dir, snapshotsRetained, io.Discard)
	if err != nil {
		return 0, fmt.Errorf("store: %w", err)
	}
	all, err := snaps.List()
	if err != nil {
		return 0, fmt.Errorf("store: %w", err)
	}
	for _, meta := range all {
		_, r, err := snaps.Open(meta.ID)
		if err != nil {
			return 0, fmt.Errorf("%w: snapshot %s: %w", ErrCorrupt, meta.ID, err)
		}
		r.Close()
		index = max(index, meta.Index)
	}
	return index, nil
}

// seal adds a sum to a value.
func appendChecksum(v []byte) []byte {
	return binary.BigEndian.AppendUint64(append(make([]byte, 0, len(v)+8), v...), xxhash.Sum64(v))
}

func verifyChecksum(v []byte) ([]byte, error) {
	cut := len(v) - 8
	if cut < 0 || xxhash.Sum64(v[:cut]) != binary.BigEndian.Uint64(v[cut:]) {
		return nil, ErrCorrupt
	}
	return append([]byte(nil), v[:cut]...), nil
}

// Close closes the file.
func (s *Store) Close() error { return s.db.Close() }

// Bytes is the size of what the store holds, without room that is free in its file.
func (s *Store) Bytes() (n int64) {
	s.db.View(func(tx *bbolt.Tx) error {
		for _, name := range allBuckets {
			st := tx.Bucket(name).Stats()
			n += int64(st.LeafInuse + st.BranchInuse)
		}
		return nil
	})
	return n
}

func (s *Store) put(bucket, key, value []byte) error {
	if err := s.db.Update(func(tx *bbolt.Tx) error { return tx.Bucket(bucket).Put(key, appendChecksum(value)) }); err != nil {
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

// Keep keeps a value of the store's user, over restarts.
func (s *Store) PutUser(key string, value []byte) error { return s.put(userBucket, []byte(key), value) }

// Kept is what Keep kept; nil where there is none.
func (s *Store) GetUser(key string) ([]byte, error) {
	v, err := s.get(userBucket, []byte(key))
	if errors.Is(err, errNotFound) {
		return nil, nil
	}
	return v, err
}

// What follows is raft.LogStore and raft.StableStore.

func indexKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// FirstIndex is that of the oldest entry; 0: none.
func (s *Store) FirstIndex() (uint64, error) {
	return s.boundaryIndex(func(c *bbolt.Cursor) ([]byte, []byte) { return c.First() })
}

// LastIndex is that of the newest entry; 0: none.
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

// GetLog reads an entry.
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

// StoreLogs writes entries, all or none.
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

// DeleteRange drops entries from one index to another, both included.
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

// Set and the three below keep what raft has to remember: its term and its vote.
func (s *Store) Set(k, v []byte) error { return s.put(stableBucket, k, v) }

func (s *Store) Get(k []byte) ([]byte, error) { return s.get(stableBucket, k) }

func (s *Store) SetUint64(k []byte, v uint64) error { return s.Set(k, indexKey(v)) }

func (s *Store) GetUint64(k []byte) (uint64, error) {
	raw, err := s.Get(k)
	if err != nil {
		return 0, err
	}
	if len(raw) != 8 {
		return 0, ErrCorrupt
	}
	return binary.BigEndian.Uint64(raw), nil
}
