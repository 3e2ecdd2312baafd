package raftlog

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"ottershed/internal/cluster/logclock"
)

// Headers of responses to proposals.
const (
	clockHeader  = "X-Log-Clock"  // the responding process and its uptime in milliseconds
	leaderHeader = "X-Log-Leader" // the leader that the responding server follows
)

// Propose appends a command to the log and returns the reply of its state machine. A reply can be lost with its leader;
// the command is then proposed again, until a reply comes or ctx ends: the state machine must recognize a command that
// it has applied already.
func (n *Node) Propose(ctx context.Context, kind Kind, command []byte) ([]byte, error) {
	first := n.leaderName()
	if first == "" {
		first = n.client.readings.lastLeader()
	}
	return n.client.propose(ctx, first, withKind(kind, command))
}

// Propose does as Node.Propose.
func (c *Client) Propose(ctx context.Context, kind Kind, command []byte) ([]byte, error) {
	return c.propose(ctx, c.readings.lastLeader(), withKind(kind, command))
}

func withKind(kind Kind, command []byte) []byte { return append([]byte{kind}, command...) }

// Barrier returns when this server's state machines have applied all that was committed when it was called.
func (n *Node) Barrier(ctx context.Context) error {
	var index uint64
	if err := n.callLeader(ctx, "/log/barrier", nil, &index); err != nil {
		return err
	}
	for n.fsm.lastApplied.Load() < index {
		if !sleepContext(ctx, n.cfg.ElectionTimeout/50) {
			return fmt.Errorf("log: behind: %w", ctx.Err())
		}
	}
	return nil
}

// leaderReadings is what a proposer knows of the servers: readings of their clocks, and who led last.
type leaderReadings struct {
	mu        sync.Mutex
	byAddress map[string]logclock.LeaderReading
	leader    string
}

func (r *leaderReadings) lastLeader() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leader
}

func (r *leaderReadings) setLeader(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leader = name
}

func (r *leaderReadings) get(address string) logclock.LeaderReading {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byAddress[address]
}

// receive stores the reading in a response's clockHeader; false if there is none.
func (r *leaderReadings) receive(address, header string, now logclock.Millis) bool {
	process, uptime, ok := strings.Cut(header, ":")
	id, idErr := strconv.ParseUint(process, 16, 64)
	reading, readingErr := strconv.ParseFloat(uptime, 64)
	if !ok || idErr != nil || readingErr != nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byAddress == nil {
		r.byAddress = map[string]logclock.LeaderReading{}
	}
	r.byAddress[address] = logclock.LeaderReading{Stamp: logclock.Stamp{Process: id, Uptime: reading}, ReceivedAt: now}
	return true
}

// proposalRoute chooses the server that a proposal goes to next: the presumed leader, then the one that a server names
// as its leader, else the servers in turn.
type proposalRoute struct {
	client *Client
	target string // may be unknown: then the servers in turn
	failed string // the last server that failed and named no leader
	hops   int    // redirects in a row
	turn   int    // servers tried in turn
}

// next is the server to ask.
func (r *proposalRoute) next() string {
	servers := r.client.Servers
	if r.client.address(r.target) == "" {
		r.target = servers[r.turn%len(servers)].Name
		r.turn++
	}
	return r.target
}

// redirect handles a failure of the target, which names a leader or none. It reports whether that leader is to be asked
// at once. A server that is cut off from its leader still names it: so a leader that has just failed is not asked
// again, and redirects in a row are bounded by the number of servers.
func (r *proposalRoute) redirect(leader string) bool {
	if leader == "" {
		r.failed = r.target
	}
	if leader != "" && leader != r.target && leader != r.failed && r.hops < len(r.client.Servers) {
		r.target = leader
		r.hops++
		return true
	}
	r.target = ""
	r.hops = 0
	return false
}

// propose proposes to one server after another until one replies; first is the presumed leader.
func (c *Client) propose(ctx context.Context, first string, command []byte) ([]byte, error) {
	route := proposalRoute{client: c, target: first}
	for {
		name := route.next()
		tryCtx, cancel := context.WithTimeout(ctx, 3*c.ElectionTimeout)
		reply, leader, err := c.proposeTo(tryCtx, c.address(name), command)
		cancel()
		if err == nil {
			c.readings.setLeader(name)
			return reply, nil
		}
		if route.redirect(leader) {
			continue
		}
		if !sleepContext(ctx, c.ElectionTimeout/10) {
			return nil, fmt.Errorf("%w: %w", ErrNoLeader, err)
		}
	}
}

// proposeTo proposes to one server; leader is the one that it names instead. A server whose clock is not known, or that
// is another process by now, is asked once more, with the reading that its response carried.
func (c *Client) proposeTo(
	ctx context.Context, address string, command []byte,
) (reply []byte, leader string, err error) {
	for again := false; ; again = true {
		path := "/log/propose" + c.deadlineQuery(ctx, address)
		res, err := exchange(ctx, c.HTTP, address, http.MethodPost, path, command)
		if err != nil {
			return nil, "", err
		}
		received := c.readings.receive(address, res.header.Get(clockHeader), c.Clock.Uptime())
		if res.status == http.StatusOK {
			return res.body, "", nil
		}
		if res.status == http.StatusConflict && received && !again {
			continue
		}
		err = fmt.Errorf("call %s/log/propose: %d: %s", address, res.status, bytes.TrimSpace(res.body))
		return nil, res.header.Get(leaderHeader), err
	}
}

// deadlineQuery tells the leader, by its own clock, until when the proposer waits; empty without a deadline.
func (c *Client) deadlineQuery(ctx context.Context, address string) string {
	end, bounded := ctx.Deadline()
	if !bounded {
		return ""
	}
	now := c.Clock.Uptime()
	reading := c.readings.get(address)
	until, ok := reading.Deadline(now, now+float64(time.Until(end))/float64(time.Millisecond))
	if !ok {
		return "?process=0&until=0"
	}
	return fmt.Sprintf("?process=%x&until=%.3f", reading.Process, until)
}

// stamp is this process's reading of its own clock.
func (n *Node) stamp() logclock.Stamp {
	return logclock.Stamp{Process: n.processID, Uptime: n.clock.Uptime()}
}

// expired reports whether the proposer has given up by now; known is false if the deadline is not by this process's
// clock.
func (n *Node) expired(process, until string) (late, known bool) {
	if process == "" {
		return false, true
	}
	id, idErr := strconv.ParseUint(process, 16, 64)
	end, endErr := strconv.ParseFloat(until, 64)
	if idErr != nil || endErr != nil || id != n.processID {
		return false, false
	}
	return n.clock.Uptime() > end, true
}

func (n *Node) handlePropose(w http.ResponseWriter, req *http.Request) {
	reading := n.stamp()
	w.Header().Set(clockHeader, fmt.Sprintf("%x:%.3f", reading.Process, reading.Uptime))
	command, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxMessageBytes))
	if err != nil || len(command) == 0 || n.fsm.machines[command[0]] == nil {
		http.Error(w, "no command of ours", http.StatusBadRequest)
		return
	}
	leader := n.requireLeader(w)
	if leader == nil {
		return
	}
	// A proposal that a partition has delayed can arrive minutes after its proposer has reported a failure. The wall
	// clocks of two machines can't tell; so the proposer names its deadline by this process's clock.
	late, known := n.expired(req.URL.Query().Get("process"), req.URL.Query().Get("until"))
	switch {
	case !known:
		http.Error(w, "say by this process's clock until when the answer is waited for", http.StatusConflict)
		return
	case late:
		http.Error(w, "comes too late", http.StatusGone)
		return
	}
	applied := leader.Apply(prependStamp(n.stamp(), command), 2*n.cfg.ElectionTimeout)
	if err := applied.Error(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write(applied.Response().([]byte)) // a proposer that has gone proposes again
}

func (n *Node) handleBarrier(w http.ResponseWriter, _ *http.Request) {
	leader := n.requireLeader(w)
	if leader == nil {
		return
	}
	// A new leader knows how far its predecessor has committed only once an entry of its own term is committed.
	if err := leader.Barrier(2 * n.cfg.ElectionTimeout).Error(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	WriteJSON(w, n.fsm.lastApplied.Load())
}

// requireLeader returns raft if this server leads. Otherwise it responds with the leader that this server follows, and
// returns nil.
func (n *Node) requireLeader(w http.ResponseWriter) *raft.Raft {
	r := n.raft.Load()
	if r != nil && r.State() == raft.Leader {
		return r
	}
	if r != nil {
		if _, id := r.LeaderWithID(); id != "" {
			w.Header().Set(leaderHeader, string(id))
		}
	}
	http.Error(w, "does not lead", http.StatusServiceUnavailable)
	return nil
}
