package raftlog

import (
	"encoding/binary"
	"fmt"
	"io"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/raft"
	"github.com/vmihailenco/msgpack/v5"

	"ottershed/internal/cluster/logclock"
)

// StateMachine applies the commands of one kind, in the order of the log, with the same result at every server. Its
// methods are never called concurrently.
type StateMachine interface {
	// Apply applies the command of the entry at an index. at is the log's time at that entry, see logclock.Clock. The
	// reply is sent to the proposer.
	Apply(index uint64, at logclock.Millis, command []byte) (reply []byte)
	// Snapshot encodes the state.
	Snapshot() ([]byte, error)
	// Restore replaces the state by one that Snapshot has encoded.
	Restore(raw []byte) error
}

// legacyClock is a state machine whose snapshots have a time of their own, from releases before the log had a clock.
type legacyClock interface{ LogTime() logclock.Millis }

// fsm implements raft.FSM: it dispatches commands to the state machines.
type fsm struct {
	mu       sync.Mutex
	machines map[CommandKind]StateMachine
	logClock logclock.Clock
	// lastApplied is the index of the newest command that the state machines have applied. Raft's own AppliedIndex also
	// counts entries that are still queued for the state machines. By that index, a rejoining server would be promoted
	// before it has applied all committed entries.
	lastApplied atomic.Uint64
}

// Apply implements raft.FSM. It returns the reply of the state machine, a []byte; nil for an entry that is no command,
// has an invalid stamp or is of a kind without a state machine.
func (f *fsm) Apply(entry *raft.Log) any {
	f.mu.Lock()
	defer f.mu.Unlock()
	if entry.Type != raft.LogCommand || len(entry.Data) == 0 {
		return []byte(nil)
	}
	at, command, valid := f.decode(entry)
	if !valid {
		return []byte(nil)
	}
	machine := f.machines[command[0]]
	if machine == nil {
		return []byte(nil)
	}
	reply := machine.Apply(entry.Index, at, command[1:])
	f.lastApplied.Store(entry.Index)
	return reply
}

// decode advances the log's time to an entry, and returns that time and the entry's command, which begins with the
// kind. It returns false for an entry with an invalid stamp, which no leader writes.
func (f *fsm) decode(entry *raft.Log) (logclock.Millis, []byte, bool) {
	stamp, command, stamped := cutStamp(entry.Data)
	switch {
	case stamped:
		return f.logClock.Advance(stamp), command, true
	case entry.Data[0] == stampedEntry:
		return 0, nil, false
	default:
		return f.logClock.AdvanceTo(float64(entry.AppendedAt.UnixMicro()) / 1000), command, true
	}
}

// Names of the parts of a snapshot, besides those of the state machines. They are stored and must not change.
const (
	lastKey  = "last"  // the index of the newest command
	clockKey = "clock" // the log's time
)

// Snapshot implements raft.FSM.
func (f *fsm) Snapshot() (raft.FSMSnapshot, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	clock, err := msgpack.Marshal(&f.logClock)
	if err != nil {
		return nil, err
	}
	parts := map[string][]byte{lastKey: indexKey(f.lastApplied.Load()), clockKey: clock}
	for kind, machine := range f.machines {
		raw, err := machine.Snapshot()
		if err != nil {
			return nil, err
		}
		parts[machineKey(kind)] = raw
	}
	raw, err := msgpack.Marshal(parts)
	if err != nil {
		return nil, err
	}
	return snapshot(appendChecksum(raw)), nil
}

// machineKey returns the name of a state machine's part of a snapshot.
func machineKey(kind CommandKind) string { return strconv.Itoa(int(kind)) }

// Restore implements raft.FSM.
func (f *fsm) Restore(from io.ReadCloser) error {
	defer func() { _ = from.Close() }() // the snapshot was read to its end and its checksum verified
	parts, err := readSnapshot(from)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for kind, machine := range f.machines {
		if raw, stored := parts[machineKey(kind)]; stored {
			if err := machine.Restore(raw); err != nil {
				return err
			}
		}
	}
	if err := f.restoreClock(parts[clockKey]); err != nil {
		return err
	}
	if last := parts[lastKey]; len(last) == indexBytes {
		f.lastApplied.Store(binary.BigEndian.Uint64(last))
	}
	return nil
}

// readSnapshot verifies and decodes a snapshot, and returns its parts by name.
func readSnapshot(from io.Reader) (map[string][]byte, error) {
	raw, err := io.ReadAll(from)
	if err != nil {
		return nil, err
	}
	if raw, err = verifyChecksum(raw); err != nil {
		return nil, fmt.Errorf("verify snapshot: %w", err)
	}
	var parts map[string][]byte
	if err := msgpack.Unmarshal(raw, &parts); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	return parts, nil
}

// restoreClock restores the log's time. A snapshot of a release before stamps has no time (raw is nil): the log's
// time then starts at the highest time of the state machines.
func (f *fsm) restoreClock(raw []byte) error {
	f.logClock = logclock.Clock{}
	if raw != nil {
		if err := msgpack.Unmarshal(raw, &f.logClock); err != nil {
			return fmt.Errorf("decode clock of snapshot: %w", err)
		}
		return nil
	}
	for _, machine := range f.machines {
		if c, ok := machine.(legacyClock); ok {
			f.logClock.AdvanceTo(c.LogTime())
		}
	}
	return nil
}

// snapshot is an encoded snapshot with its checksum. It implements raft.FSMSnapshot.
type snapshot []byte

// Persist implements raft.FSMSnapshot.
func (s snapshot) Persist(to raft.SnapshotSink) error {
	if _, err := to.Write(s); err != nil {
		_ = to.Cancel() // the error of the write is returned
		return err
	}
	return to.Close()
}

// Release implements raft.FSMSnapshot.
func (s snapshot) Release() {}
