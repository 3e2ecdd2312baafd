package raftlog

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"ottershed/internal/cluster/quorum"
)

// Headers of answers to proposals: the answering process's reading of its own clock, and whom it follows.
const (
	clockHeader  = "X-Log-Clock"
	leaderHeader = "X-Log-Leader"
)

// stamped is the kind of an entry that carries its leader's stamp before the command with its own kind. Entries without it
// are from before there were stamps.
const stamped byte = 't'

const stampBytes = 16

// sealStamp writes a stamp before a command.
func sealStamp(s quorum.Stamp, command []byte) []byte {
	out := make([]byte, 0, 1+stampBytes+len(command))
	out = append(out, stamped)
	out = binary.BigEndian.AppendUint64(out, s.Process)
	out = binary.BigEndian.AppendUint64(out, math.Float64bits(s.Ran))
	return append(out, command...)
}

// cutStamp takes it off again; false: there is none.
func cutStamp(entry []byte) (quorum.Stamp, []byte, bool) {
	if len(entry) < 2+stampBytes || entry[0] != stamped {
		return quorum.Stamp{}, entry, false
	}
	s := quorum.Stamp{Process: binary.BigEndian.Uint64(entry[1:]), Ran: math.Float64frombits(binary.BigEndian.Uint64(entry[9:]))}
	return s, entry[1+stampBytes:], !math.IsNaN(s.Ran) && !math.IsInf(s.Ran, 0)
}

// tickets are what a proposer knows of servers' clocks, by address, and who led last.
type tickets struct {
	mu     sync.Mutex
	known  map[string]quorum.Ticket
	leader string
}

func (t *tickets) led() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leader
}

func (t *tickets) leads(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leader = name
}

func (t *tickets) of(address string) quorum.Ticket {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.known[address]
}

// hear keeps the reading that an answer carried.
func (t *tickets) hear(address, header string, now quorum.Millis) bool {
	process, ran, ok := strings.Cut(header, ":")
	id, err := strconv.ParseUint(process, 16, 64)
	reading, rerr := strconv.ParseFloat(ran, 64)
	if !ok || err != nil || rerr != nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.known == nil {
		t.known = map[string]quorum.Ticket{}
	}
	t.known[address] = quorum.Ticket{Stamp: quorum.Stamp{Process: id, Ran: reading}, Heard: now}
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
		tryCtx, cancel := context.WithTimeout(ctx, 3*c.Elect)
		answer, leader, err := c.try(tryCtx, c.address(name), command)
		cancel()
		if err == nil {
			c.heard.leads(name)
			return answer, nil
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
		if !pause(ctx, c.Elect/10) {
			return nil, fmt.Errorf("%w: %w", ErrNoLeader, err)
		}
	}
}

// try asks one server; leader is whom it names instead.
func (c *Client) try(ctx context.Context, address string, command []byte) (answer []byte, leader string, err error) {
	for again := 0; ; again++ {
		status, header, body, err := exchange(ctx, c.Calls, address, http.MethodPost, "/log/propose"+c.by(ctx, address), command)
		if err != nil {
			return nil, "", err
		}
		heard := c.heard.hear(address, header.Get(clockHeader), c.Clock.Ran())
		switch {
		case status == http.StatusOK:
			return body, "", nil
		case status == http.StatusConflict && heard && again == 0: // its clock was not known, or it is another process by now
			continue
		}
		return nil, header.Get(leaderHeader), fmt.Errorf("call %s/log/propose: %d: %s", address, status, bytes.TrimSpace(body))
	}
}

// by tells the leader, by its own clock, until when the proposer waits; without a deadline it waits for ever.
func (c *Client) by(ctx context.Context, address string) string {
	end, bounded := ctx.Deadline()
	if !bounded {
		return ""
	}
	now, ticket := c.Clock.Ran(), c.heard.of(address)
	until, ok := ticket.Until(now, now+float64(time.Until(end))/float64(time.Millisecond))
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
	body, err := io.ReadAll(io.LimitReader(res.Body, longestMessage))
	if err != nil {
		return 0, nil, nil, fmt.Errorf("call %s: %w", address, err)
	}
	return res.StatusCode, res.Header, body, nil
}

// stamp is this process's reading of its own clock.
func (n *Node) stamp() quorum.Stamp { return quorum.Stamp{Process: n.self, Ran: n.clock.Ran()} }

// tooLate tells whether a proposal's proposer has given up by now, as far as it can be told; known: it could be.
func (n *Node) tooLate(process, until string) (late, known bool) {
	if process == "" {
		return false, true
	}
	id, err := strconv.ParseUint(process, 16, 64)
	end, uerr := strconv.ParseFloat(until, 64)
	if err != nil || uerr != nil || id != n.self {
		return false, false
	}
	return n.clock.Ran() > end, true
}

func (n *Node) answerPropose(w http.ResponseWriter, req *http.Request) {
	s := n.stamp()
	w.Header().Set(clockHeader, fmt.Sprintf("%x:%.3f", s.Process, s.Ran))
	command, err := io.ReadAll(http.MaxBytesReader(w, req.Body, longestMessage))
	if err != nil || len(command) == 0 || n.parts[command[0]] == nil {
		http.Error(w, "no command of ours", http.StatusBadRequest)
		return
	}
	r := n.leading(w)
	if r == nil {
		return
	}
	// Danger: a proposal that a cut had held up came minutes later, when its proposer had long been told that it failed. Two
	// machines' wall clocks can't tell; the proposer says by this process's own clock until when it waits.
	late, known := n.tooLate(req.URL.Query().Get("process"), req.URL.Query().Get("until"))
	switch {
	case !known:
		http.Error(w, "say by this process's clock until when the answer is waited for", http.StatusConflict)
		return
	case late:
		http.Error(w, "comes too late", http.StatusGone)
		return
	}
	f := r.Apply(sealStamp(n.stamp(), command), 2*n.cfg.Elect)
	if err := f.Error(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Write(f.Response().([]byte))
}

// leading is raft where this server leads; else the call is answered, with whom it follows.
func (n *Node) leading(w http.ResponseWriter) *raft.Raft {
	r := n.began.Load()
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
