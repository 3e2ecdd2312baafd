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
	clockHeader  = "X-Log-Clock"  // the ID of the responding process and its uptime in milliseconds
	leaderHeader = "X-Log-Leader" // the leader as known to the responding server
)

// Propose appends a command to the log and returns the reply of its state machine. If the leader fails, its reply
// can be lost. The command is then proposed again, until a reply is received or ctx ends, so the state machine must
// recognize a command that it has already applied. An error wraps ErrNoLeader. Any goroutine may call Propose.
func (n *Node) Propose(ctx context.Context, kind CommandKind, command []byte) ([]byte, error) {
	first := n.leaderName()
	if first == "" {
		first = n.client.readings.lastLeader()
	}
	return n.client.propose(ctx, first, prependKind(kind, command))
}

// Propose behaves as Node.Propose.
func (c *Client) Propose(ctx context.Context, kind CommandKind, command []byte) ([]byte, error) {
	return c.propose(ctx, c.readings.lastLeader(), prependKind(kind, command))
}

// prependKind returns a command with its kind in front.
func prependKind(kind CommandKind, command []byte) []byte { return append([]byte{kind}, command...) }

// Barrier waits until this server's state machines have applied all commands that were committed when Barrier was
// called. It returns an error if ctx ends before.
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

// leaderReadings stores what a proposer knows of the servers: readings of their clocks, and the last leader.
type leaderReadings struct {
	mu        sync.Mutex
	byAddress map[string]logclock.LeaderReading
	leader    string // name of the server that accepted the last proposal; empty before the first
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

// store parses the clockHeader of a response, which was received at now, and stores the reading. It returns false if
// the header has no valid reading.
func (r *leaderReadings) store(address, header string, now logclock.Millis) bool {
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

// proposalRoute chooses the next server for a proposal: the presumed leader, then the leader that a server names, else
// the servers in turn.
type proposalRoute struct {
	client     *Client
	target     string // name of the current server; if it is unknown, the servers are tried in turn
	lastFailed string // the last server that failed and named no leader
	redirects  int    // number of redirects followed in a row
	nextServer int    // index in Client.Servers of the next server in turn, modulo the number of servers
}

// next returns the name of the server to propose to.
func (r *proposalRoute) next() string {
	servers := r.client.Servers
	if r.client.address(r.target) == "" {
		r.target = servers[r.nextServer%len(servers)].Name
		r.nextServer++
	}
	return r.target
}

// handleFailure handles a failed proposal to the target, whose response names a leader or none. It reports whether to
// propose to that leader at once. A server that has lost the connection to its leader still names it as leader. So a
// leader that has just failed is not tried again, and successive redirects are limited to the number of servers.
func (r *proposalRoute) handleFailure(leader string) bool {
	if leader == "" {
		r.lastFailed = r.target
	}
	if leader != "" && leader != r.target && leader != r.lastFailed && r.redirects < len(r.client.Servers) {
		r.target = leader
		r.redirects++
		return true
	}
	r.target = ""
	r.redirects = 0
	return false
}

// propose proposes to one server after another until one replies or ctx ends. first is the name of the presumed leader.
func (c *Client) propose(ctx context.Context, first string, command []byte) ([]byte, error) {
	route := proposalRoute{client: c, target: first}
	for {
		name := route.next()
		attemptCtx, cancel := context.WithTimeout(ctx, 3*c.ElectionTimeout)
		reply, leader, err := c.proposeTo(attemptCtx, c.address(name), command)
		cancel()
		if err == nil {
			c.readings.setLeader(name)
			return reply, nil
		}
		if route.handleFailure(leader) {
			continue
		}
		if !sleepContext(ctx, c.ElectionTimeout/10) {
			return nil, fmt.Errorf("%w: %w", ErrNoLeader, err)
		}
	}
}

// proposeTo proposes to the server at an address. If that server is no leader, leader is the leader that it names. The
// first attempt fails if the server's clock is unknown, or if its process has been replaced. The proposal is then sent
// a second time, with the reading from the first response.
func (c *Client) proposeTo(
	ctx context.Context, address string, command []byte,
) (reply []byte, leader string, err error) {
	for retried := false; ; retried = true {
		path := "/log/propose" + c.deadlineQuery(ctx, address)
		res, err := exchange(ctx, c.HTTP, address, http.MethodPost, path, command)
		if err != nil {
			return nil, "", err
		}
		received := c.readings.store(address, res.header.Get(clockHeader), c.Clock.Uptime())
		if res.status == http.StatusOK {
			return res.body, "", nil
		}
		if res.status == http.StatusConflict && received && !retried {
			continue
		}
		err = fmt.Errorf("call %s/log/propose: %d: %s", address, res.status, bytes.TrimSpace(res.body))
		return nil, res.header.Get(leaderHeader), err
	}
}

// deadlineQuery returns the query parameters that tell the leader, by the leader's own clock, until when the proposer
// waits; empty if ctx has no deadline. Without a usable reading the parameters name process 0. The leader rejects such
// a proposal, and its response has a reading.
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

// stamp returns this process's reading of its own clock.
func (n *Node) stamp() logclock.Stamp {
	return logclock.Stamp{Process: n.processID, Uptime: n.clock.Uptime()}
}

// expired reports whether the deadline of a proposal has passed. process and until are the query parameters of the
// request; without them there is no deadline. usable is false if the deadline is invalid or not by this process's clock.
func (n *Node) expired(process, until string) (late, usable bool) {
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

// handlePropose handles POST /log/propose.
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
	// A proposal that was delayed by a partition can arrive minutes after its proposer has reported a failure. The wall
	// clocks of two machines cannot detect that, so the proposer states its deadline by this process's clock.
	late, usable := n.expired(req.URL.Query().Get("process"), req.URL.Query().Get("until"))
	switch {
	case !usable:
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
	_, _ = w.Write(applied.Response().([]byte)) // a proposer that does not receive the reply proposes again
}

// handleBarrier handles POST /log/barrier. The response is the index of the newest command that was applied.
func (n *Node) handleBarrier(w http.ResponseWriter, _ *http.Request) {
	leader := n.requireLeader(w)
	if leader == nil {
		return
	}
	// A new leader does not know up to which index its predecessor has committed until an entry of its own term is
	// committed.
	if err := leader.Barrier(2 * n.cfg.ElectionTimeout).Error(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	WriteJSON(w, n.fsm.lastApplied.Load())
}

// requireLeader returns raft if this server is the leader. Otherwise it responds with an error that names the leader as
// known to this server, and returns nil.
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
