package failover

import (
	"net/http"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"ottershed/internal/cluster/lease"
	"ottershed/internal/cluster/logclock"
	"ottershed/internal/cluster/raftlog"
)

// StateMachine applies the log's lease commands to the lease table at a server of the log. It is safe for concurrent
// use.
type StateMachine struct {
	mu    sync.Mutex
	table *lease.Table
}

// NewStateMachine returns a state machine with an empty table, registers it with the server's log and serves its list
// of leases over HTTP.
func NewStateMachine(n *raftlog.Node) *StateMachine {
	m := &StateMachine{table: lease.NewTable()}
	n.Register(Kind, m)
	n.Handle("GET "+leasePath, func(w http.ResponseWriter, _ *http.Request) {
		raftlog.WriteJSON(w, m.list())
	})
	return m
}

func (m *StateMachine) list() lease.List {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.List()
}

// Apply executes a command of the log and returns the encoded reply; at is the log's time.
func (m *StateMachine) Apply(_ uint64, at logclock.Millis, raw []byte) []byte {
	var command lease.Command
	reply := lease.Reply{Rejection: "not a command"}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := msgpack.Unmarshal(raw, &command); err == nil {
		reply = m.table.Apply(&command, at)
	}
	encoded, err := msgpack.Marshal(&reply)
	if err != nil {
		panic(err) // can't happen: every field of a reply can be encoded
	}
	return encoded
}

// LogTime returns the log's time at the newest command.
func (m *StateMachine) LogTime() logclock.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Now()
}

// Snapshot returns the encoded table.
func (m *StateMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Encode()
}

// Restore replaces the table with one that Snapshot has encoded. After an error the table must not be used.
func (m *StateMachine) Restore(raw []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Restore(raw)
}
