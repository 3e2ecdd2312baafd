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

	"github.com/hashicorp/raft"
	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
)

// ErrCorrupt is returned if a store or a part of it is corrupt, for example because it was not written completely.
var ErrCorrupt = errors.New("store: corrupt")

// quarantine moves the files of a corrupt store from dir to a new directory below dir and returns the path of the new
// directory. The files are moved, not deleted, so that they can be examined. cause says why the store is corrupt; a
// returned error wraps it.
func quarantine(dir string, cause error) (string, error) {
	quarantined := filepath.Join(dir, "torn-"+strconv.FormatInt(time.Now().UnixMilli(), 10))
	if err := os.Mkdir(quarantined, 0o700); err != nil {
		return "", fmt.Errorf("%w; cannot create the directory to move its files to: %w", cause, err)
	}
	for _, name := range []string{storeFile, snapshotsDir} {
		err := os.Rename(filepath.Join(dir, name), filepath.Join(quarantined, name))
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			return "", fmt.Errorf("%w; cannot move its files: %w", cause, err)
		}
	}
	return quarantined, nil
}

// verify reads a whole store, if there is one, and verifies the checksum of each value and that no entry is missing. It
// must succeed before the store is used, because bbolt maps its file into memory: reading a truncated file would end
// the process, and a partly written file would be served without an error.
func verify(path string) (err error) {
	info, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("verify store: %w", err)
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if fault := recover(); fault != nil {
			err = fmt.Errorf("%w: %s: %v", ErrCorrupt, path, fault)
		}
	}()
	db, err := openReadOnly(path)
	if err != nil {
		return err
	}
	defer func() { _ = db.Close() }() // opened read-only, so no write can be lost
	snapshotIndex, err := verifySnapshots(filepath.Dir(path))
	if err != nil {
		return err
	}
	return db.View(func(tx *bbolt.Tx) error {
		if tx.Size() > info.Size() {
			return fmt.Errorf("%w: %s: got %d bytes, want %d", ErrCorrupt, path, info.Size(), tx.Size())
		}
		for _, name := range allBuckets {
			if err := verifyBucket(tx.Bucket(name), name, snapshotIndex); err != nil {
				return fmt.Errorf("%w: %s: %w", ErrCorrupt, path, err)
			}
		}
		return nil
	})
}

// openReadOnly opens a store for verification. A store that cannot be opened counts as corrupt, unless this process is
// not permitted to read it, or another process has locked it.
func openReadOnly(path string) (*bbolt.DB, error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout, ReadOnly: true})
	switch {
	case err == nil:
		return db, nil
	case errors.Is(err, os.ErrPermission):
		return nil, fmt.Errorf("open store: %w", err)
	case errors.Is(err, bbolterrors.ErrTimeout):
		return nil, fmt.Errorf("open store %s: locked by another process: %w", path, err)
	}
	return nil, fmt.Errorf("%w: %s: %w", ErrCorrupt, path, err)
}

// verifyBucket verifies the values of a bucket; nil is a bucket that was never created. snapshotIndex is the index up
// to which snapshots cover the entries.
func verifyBucket(bucket *bbolt.Bucket, name []byte, snapshotIndex uint64) error {
	if bucket == nil {
		return nil
	}
	order := entryOrder{next: snapshotIndex + 1}
	return bucket.ForEach(func(key, value []byte) error {
		if _, err := verifyChecksum(value); err != nil {
			return fmt.Errorf("bucket %s, key %x: checksum does not match", name, key)
		}
		if string(name) == string(logsBucket) {
			return order.check(binary.BigEndian.Uint64(key))
		}
		return nil
	})
}

// entryOrder verifies that the indices of entries follow one another without a gap. The first index may be lower than
// next, because snapshots can cover entries that are still in the log.
type entryOrder struct {
	next    uint64 // index that the next entry must have
	started bool   // at least one entry was checked
}

// check verifies the index of the next entry.
func (o *entryOrder) check(index uint64) error {
	if index > o.next || o.started && index != o.next {
		return fmt.Errorf("entries before index %d are missing", index)
	}
	o.next = index + 1
	o.started = true
	return nil
}

// verifySnapshots reads all snapshots, each of which has a checksum of its own, and returns the highest index that a
// snapshot covers; 0 if there is none.
func verifySnapshots(dir string) (index uint64, err error) {
	if _, err := os.Stat(filepath.Join(dir, snapshotsDir)); errors.Is(err, os.ErrNotExist) {
		return 0, nil
	}
	snapshots, err := raft.NewFileSnapshotStore(dir, snapshotsRetained, io.Discard)
	if err != nil {
		return 0, fmt.Errorf("open snapshot store: %w", err)
	}
	all, err := snapshots.List()
	if err != nil {
		return 0, fmt.Errorf("list snapshots: %w", err)
	}
	for _, meta := range all {
		_, content, err := snapshots.Open(meta.ID)
		if err != nil {
			return 0, fmt.Errorf("%w: snapshot %s: %w", ErrCorrupt, meta.ID, err)
		}
		_ = content.Close() // Open has verified the content
		index = max(index, meta.Index)
	}
	return index, nil
}
