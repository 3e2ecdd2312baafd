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

// ErrCorrupt means that a store or a part of it was not written completely.
var ErrCorrupt = errors.New("store: torn")

// setAside moves the files of a directory into a new one below it, so that nothing is deleted.
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

// verify reads a whole store, if there is one: the checksum of each value, and that no entry is missing. It must pass
// before the store is used, for bbolt maps its file: reading one that was truncated would end the process, and one that
// was written in part would be served as it is.
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
		if fault := recover(); fault != nil {
			err = fmt.Errorf("%w: %s: %v", ErrCorrupt, path, fault)
		}
	}()
	db, err := openReadOnly(path)
	if err != nil {
		return err
	}
	defer func() { _ = db.Close() }() // nothing was written
	snapshotIndex, err := verifySnapshots(filepath.Dir(path))
	if err != nil {
		return err
	}
	return db.View(func(tx *bbolt.Tx) error {
		if tx.Size() > info.Size() {
			return fmt.Errorf("%w: %s: %d bytes of %d", ErrCorrupt, path, info.Size(), tx.Size())
		}
		for _, name := range allBuckets {
			if err := verifyBucket(tx.Bucket(name), name, snapshotIndex); err != nil {
				return fmt.Errorf("%w: %s: %w", ErrCorrupt, path, err)
			}
		}
		return nil
	})
}

// openReadOnly opens a store for verification. A store that can't be opened is corrupt, unless this process may not
// read it or another process has locked it.
func openReadOnly(path string) (*bbolt.DB, error) {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout, ReadOnly: true})
	switch {
	case err == nil:
		return db, nil
	case errors.Is(err, os.ErrPermission):
		return nil, fmt.Errorf("store: %w", err)
	case errors.Is(err, bbolterrors.ErrTimeout):
		return nil, fmt.Errorf("store %s: another process has it: %w", path, err)
	}
	return nil, fmt.Errorf("%w: %s: %w", ErrCorrupt, path, err)
}

// verifyBucket checks the values of a bucket; nil is one that was never created.
func verifyBucket(bucket *bbolt.Bucket, name []byte, snapshotIndex uint64) error {
	if bucket == nil {
		return nil
	}
	order := entryOrder{next: snapshotIndex + 1}
	return bucket.ForEach(func(key, value []byte) error {
		if _, err := verifyChecksum(value); err != nil {
			return fmt.Errorf("%s %x", name, key)
		}
		if string(name) == string(logsBucket) {
			return order.check(binary.BigEndian.Uint64(key))
		}
		return nil
	})
}

// entryOrder checks that entries follow each other without a gap. The first may be covered by a snapshot.
type entryOrder struct {
	next  uint64
	begun bool
}

func (o *entryOrder) check(index uint64) error {
	if index > o.next || o.begun && index != o.next {
		return fmt.Errorf("logs before %d are missing", index)
	}
	o.next = index + 1
	o.begun = true
	return nil
}

// verifySnapshots reads all snapshots, each of which has a checksum of its own, and returns the highest index in them.
func verifySnapshots(dir string) (index uint64, err error) {
	if _, err := os.Stat(filepath.Join(dir, snapshotsDir)); errors.Is(err, os.ErrNotExist) {
		return 0, nil
	}
	snapshots, err := raft.NewFileSnapshotStore(dir, snapshotsRetained, io.Discard)
	if err != nil {
		return 0, fmt.Errorf("store: %w", err)
	}
	all, err := snapshots.List()
	if err != nil {
		return 0, fmt.Errorf("store: %w", err)
	}
	for _, meta := range all {
		_, content, err := snapshots.Open(meta.ID)
		if err != nil {
			return 0, fmt.Errorf("%w: snapshot %s: %w", ErrCorrupt, meta.ID, err)
		}
		_ = content.Close() // Open has read it to its end
		index = max(index, meta.Index)
	}
	return index, nil
}
