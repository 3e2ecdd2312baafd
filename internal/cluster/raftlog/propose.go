package raftlog

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"net/http"
	"ottershed/internal/cluster/logclock"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft"
)

// Headers of answers to proposals: the answering process's reading of its own clock, and whom it follows.
const (
	clockHeader  = "X-Log-Clock"
	leaderHeader = "X-Log-Leader"
)

// stamped is the kind of an entry that carries its leader's stamp before the command with its own kind. Entries without it
// are from before there were stamps.
const stampedEntry byte = 't'

const stampBytes = 16

// sealStamp writes a stamp before a command.
func prependStamp(s logclock.Stamp, command []byte) []byte {
	out := make([]byte, 0, 1+stampBytes+len(command))
	out = append(out, stampedEntry)
	out = binary.BigEndian.AppendUint64(out, s.Process)
	out = binary.BigEndian.AppendUint64(out, math.Float64bits(s.Uptime))
	return append(out, command...)
}

// cutStamp takes it off again; false: there is none.
func cutStamp(entry []byte) (logclock.Stamp, []byte, bool) {
	if len(entry) < 2+stampBytes || entry[0] != stampedEntry {
		return logclock.Stamp{}, entry, false
	}
	s := logclock.Stamp{Process: binary.BigEndian.Uint64(entry[1:]), Uptime: math.Float64frombits(binary.BigEndian.Uint64(entry[9:]))}
	return s, entry[1+stampBytes:], !math.IsNaN(s.Uptime) && !math.IsInf(s.Uptime, 0)
}

// tickets are what a proposer knows of servers' clocks, by address, and who led last.
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

// hear keeps the reading that an answer carried.
func (r *leaderReadings) receive(address, header string, now logclock.Millis) bool {
	process, ran, ok := strings.Cut(header, ":")
	id, err := strconv.ParseUint(process, 16, 64)
	reading, rerr := strconv.ParseFloat(ran, 64)
	if !ok || err != nil || rerr != nil {
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

func (c *Client) address(name string) string {
	for _, s := range c.Servers {
		if s.Name == name {
			return s.Address
		}
	}
	return ""
}

// propose asks first whoever is thought to lead, then whom the asked one names, else the servers in turn, until one answers.
func (c *Client) propose(ctx context.Context, first string, command []byte) ([]byte, error) {
	name, failed, hops := first, "", 0
	for turn := 0; ; {
		if c.address(name) == "" {
			name = c.Servers[turn%len(c.Servers)].Name
			turn++
		}
		tryCtx, cancel := context.WithTimeout(ctx, 3*c.ElectionTimeout)
		reply, leader, err := c.proposeTo(tryCtx, c.address(name), command)
		cancel()
		if err == nil {
			c.readings.setLeader(name)
			return reply, nil
		}
		// Danger: one that is cut off from its leader goes on naming it. So whom it names is asked at once, but not again where
		// that one has just failed, and no more often than there are servers.
		if leader == "" {
			failed = name
		}
		if leader != "" && leader != name && leader != failed && hops < len(c.Servers) {
			name, hops = leader, hops+1
			continue
		}
		name, hops = "", 0
		if !sleepContext(ctx, c.ElectionTimeout/10) {
			return nil, fmt.Errorf("%w: %w", ErrNoLeader, err)
		}
	}
}

// try asks one server; leader is whom it names instead.
func (c *Client) proposeTo(ctx context.Context, address string, command []byte) (reply []byte, leader string, err error) {
	for again := 0; ; again++ {
		status, header, body, err := exchange(ctx, c.HTTP, address, http.MethodPost, "/log/propose"+c.deadlineQuery(ctx, address), command)
		if err != nil {
			return nil, "", err
		}
		received := c.readings.receive(address, header.Get(clockHeader), c.Clock.Uptime())
		switch {
		case status == http.StatusOK:
			return body, "", nil
		case status == http.StatusConflict && received && again == 0: // its clock was not known, or it is another process by now
			continue
		}
		return nil, header.Get(leaderHeader), fmt.Errorf("call %s/log/propose: %d: %s", address, status, bytes.TrimSpace(body))
	}
}

// by tells the leader, by its own clock, until when the proposer waits; without a deadline it waits for ever.
func (c *Client) deadlineQuery(ctx context.Context, address string) string {
	end, bounded := ctx.Deadline()
	if !bounded {
		return ""
	}
	now, ticket := c.Clock.Uptime(), c.readings.get(address)
	until, ok := ticket.Deadline(now, now+float64(time.Until(end))/float64(time.Millisecond))
	if !ok {
		return "?process=0&until=0"
	}
	return fmt.Sprintf("?process=%x&until=%.3f", ticket.Process, until)
}

// exchange makes one call and reads the answer, whatever its status.
func exchange(ctx context.Context, c *http.Client, address, method, path string, raw []byte) (int, http.Header, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(raw))
	if err != nil {
		return 0, nil, nil, fmt.Errorf("call %s: %w", address, err)
	}
	res, err := c.Do(req)
	if err != nil {
		return 0, nil, nil, fmt.Errorf("call %s: %w", address, err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxMessageBytes))
	if err != nil {
		return 0, nil, nil, fmt.Errorf("call %s: %w", address, err)
	}
	return res.StatusCode, res.Header, body, nil
}

// stamp is this process's reading of its own clock.
func (n *Node) stamp() logclock.Stamp {
	return logclock.Stamp{Process: n.processID, Uptime: n.clock.Uptime()}
}

// tooLate tells whether a proposal's proposer has given up by now, as far as it can be told; known: it could be.
func (n *Node) expired(process, until string) (late, known bool) {
	if process == "" {
		return false, true
	}
	id, err := strconv.ParseUint(process, 16, 64)
	end, uerr := strconv.ParseFloat(until, 64)
	if err != nil || uerr != nil || id != n.processID {
		return false, false
	}
	return n.clock.Uptime() > end, true
}

func (n *Node) handlePropose(w http.ResponseWriter, req *http.Request) {
	s := n.stamp()
	w.Header().Set(clockHeader, fmt.Sprintf("%x:%.3f", s.Process, s.Uptime))
	command, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxMessageBytes))
	if err != nil || len(command) == 0 || n.machines[command[0]] == nil {
		http.Error(w, "no command of ours", http.StatusBadRequest)
		return
	}
	r := n.requireLeader(w)
	if r == nil {
		return
	}
	// Danger: a proposal that a cut had held up came minutes later, when its proposer had long been told that it failed. Two
	// machines' wall clocks can't tell; the proposer says by this process's own clock until when it waits.
	late, known := n.expired(req.URL.Query().Get("process"), req.URL.Query().Get("until"))
	switch {
	case !known:
		http.Error(w, "say by this process's clock until when the answer is waited for", http.StatusConflict)
		return
	case late:
		http.Error(w, "comes too late", http.StatusGone)
		return
	}
	f := r.Apply(prependStamp(n.stamp(), command), 2*n.cfg.ElectionTimeout)
	if err := f.Error(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Write(f.Response().([]byte))
}

// leading is raft where this server leads; else the call is answered, with whom it follows.
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
