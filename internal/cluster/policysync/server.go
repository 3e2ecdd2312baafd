package policysync

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"ottershed/internal/cluster/raftlog"
)

const (
	maxBodyBytes = 128 << 10 // length of the body of a request to a server

	maxWatchers = 4096         // number of watchers whose status a server keeps
	watcherTTL  = 6 * longPoll // time after its last poll at which a new watcher may replace a watcher at the limit
)

// watcherRegistry keeps the status that watchers report with their polls. It is safe for concurrent use.
type watcherRegistry struct {
	mu      sync.Mutex
	members map[string]MemberStatus // newest status by name
}

// record keeps a watcher's status as of now, Unix milliseconds. At the limit a new watcher is kept only if others have
// not polled for watcherTTL.
func (w *watcherRegistry) record(m MemberStatus, now float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m.ReportedAt = now
	if _, exists := w.members[m.Name]; !exists && len(w.members) >= maxWatchers {
		w.removeExpired(now)
		if len(w.members) >= maxWatchers {
			return
		}
	}
	w.members[m.Name] = m
}

// removeExpired removes the watchers that have not polled for watcherTTL. The caller holds mu.
func (w *watcherRegistry) removeExpired(now float64) {
	for name, m := range w.members {
		if now-m.ReportedAt > float64(watcherTTL/time.Millisecond) {
			delete(w.members, name)
		}
	}
}

// list returns the status of all watchers in unspecified order, or nil if there are none.
func (w *watcherRegistry) list() []MemberStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []MemberStatus
	for _, m := range w.members {
		all = append(all, m)
	}
	return all
}

// handleSince responds to a watcher's poll: to a poll that asks for confirmation after the barrier, to any other when
// there is a newer version or longPoll has passed.
func (n *Node) handleSince(w http.ResponseWriter, r *http.Request) {
	var request sinceRequest
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = msgpack.Unmarshal(raw, &request)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	n.watchers.record(request.Self, n.clock.Now())
	var response sinceResponse
	if request.Confirm {
		response.Confirmed = n.barrier(r.Context(), confirmElectionTimeouts) == nil
		response.Records, response.Newest, _ = n.applier.since(request.Version)
	} else {
		response.Records, response.Newest, err = n.applier.awaitSince(r.Context(), request.Version, longPoll)
		if err != nil {
			return // the watcher has closed the connection
		}
	}
	if raw, err = msgpack.Marshal(&response); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(raw) // after a failed write the watcher polls again
}

// handleCheck responds with the reason why a policy does not fit this server's configuration, or with an empty string
// if it fits.
func (n *Node) handleCheck(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = n.check(body)
	}
	if err != nil {
		raftlog.WriteJSON(w, err.Error())
		return
	}
	raftlog.WriteJSON(w, "")
}

// handleLocal responds with the status of this server and of its watchers.
func (n *Node) handleLocal(w http.ResponseWriter, _ *http.Request) {
	raftlog.WriteJSON(w, n.localStatus())
}
