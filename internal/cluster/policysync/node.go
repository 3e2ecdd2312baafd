// Package policynode brings the versions of internal/cluster/policy to one marshal: as one of the servers that keep the log, or
// following them. It runs each version that is committed, in order, and none before.
package policysync

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"ottershed/internal/clock"
	"ottershed/internal/cluster/policy"
	"ottershed/internal/cluster/quorum"
	"ottershed/internal/cluster/raftlog"
)

// Hooks are what the marshal does; both return at once.
type Hooks struct {
	Check func(body []byte) error // whether it could run a policy
	Run   func(policy.Run) error  // runs it from now on; an error leaves all as it was
}

// Kind is that of policy's commands in the log.
const Kind byte = 'p'

const (
	keptKey      = "policy"
	longPoll     = 10 * time.Second
	mostWatchers = 4096
	watcherGone  = 6 * longPoll
	askIn        = 2 * time.Second
	proposeIn    = 15 * time.Second
	longestText  = 128 << 10
)

// Marshal is one line of the fleet's status.
type Marshal struct {
	Name    string         `json:"name" msgpack:"Name"`
	Role    string         `json:"role" msgpack:"Role"` // leader, follower, candidate, placing, watcher
	Version policy.Version `json:"version" msgpack:"Version"`
	Sum     string         `json:"sum" msgpack:"Sum"`
	Open    bool           `json:"open" msgpack:"Open"`                 // takes trial traffic
	Failed  string         `json:"failed,omitempty" msgpack:"Failed"`   // why it can't run the newest version
	Missing string         `json:"missing,omitempty" msgpack:"Missing"` // why nothing is known of it
	At      float64        `json:"at_ms,omitempty" msgpack:"At"`        // when it was last heard of, Unix
}

// Node is a marshal's part.
type Node struct {
	cfg   raftlog.Config
	hooks Hooks
	clock *clock.Clock
	log   logrus.FieldLogger
	store *raftlog.Store
	raft  *raftlog.Node // nil: a watcher
	calls *http.Client
	away  *raftlog.Client // the log, from a marshal that does not keep it, and for what is read

	mu       sync.Mutex
	state    policy.State
	gate     policy.Gate
	changed  chan struct{} // closed and made anew with each version
	watchers map[string]Marshal
}

// Open opens the store and, at a server, the port. What the marshal ran last it runs again at once, closed to trials.
func Open(cfg raftlog.Config, hooks Hooks, c *clock.Clock, log logrus.FieldLogger) (*Node, error) {
	store, aside, err := raftlog.OpenStore(cfg.Dir)
	if err != nil {
		return nil, fmt.Errorf("policy.dir: %w", err)
	}
	if aside != "" {
		log.WithField("aside", aside).Error("policy: store was torn; set aside, to be taken from the others")
	}
	n := &Node{cfg: cfg, hooks: hooks, clock: c, log: log, store: store, calls: raftlog.Caller(cfg.Key),
		changed: make(chan struct{}), watchers: map[string]Marshal{}}
	servers := slices.Clone(cfg.Servers)
	if i := slices.IndexFunc(servers, func(s raftlog.Server) bool { return s.Name == cfg.Name }); i > 0 {
		servers[0], servers[i] = servers[i], servers[0]
	}
	n.away = &raftlog.Client{Servers: servers, Calls: n.calls, Elect: cfg.Elect, Clock: c}
	if raw, err := store.Kept(keptKey); err != nil {
		log.WithError(err).Error("policy: what was run last can't be read")
	} else if raw != nil {
		kept, err := policy.DecodeRecord(raw)
		if err != nil {
			log.WithError(err).Error("policy: what was run last can't be read")
		}
		n.gate.Restart(kept)
	}
	if err := hooks.Run(n.gate.Run()); err != nil {
		n.gate.Fails(err)
		log.WithError(err).Error("policy: what was run last can't be run here any more")
	}
	if !cfg.IsServer() {
		return n, nil
	}
	if n.raft, err = raftlog.Open(cfg, store, c, log); err != nil {
		store.Close()
		return nil, err
	}
	n.raft.Add(Kind, part{n})
	n.raft.Handle("GET /policy/local", n.answerLocal)
	n.raft.Handle("POST /policy/check", n.answerCheck)
	n.raft.Handle("POST /policy/since", n.answerSince)
	return n, nil
}

// Log is the log that this marshal's server keeps; nil at a watcher.
func (n *Node) Log() *raftlog.Node { return n.raft }

// Run keeps the marshal at the newest version until ctx ends.
func (n *Node) Run(ctx context.Context) {
	defer n.store.Close()
	var running sync.WaitGroup
	defer running.Wait()
	if n.raft == nil {
		n.follow(ctx)
		return
	}
	running.Go(func() { n.raft.Run(ctx) })
	n.catchUp(ctx)
}

// catchUp opens the gate once this server holds what was committed after its start.
func (n *Node) catchUp(ctx context.Context) {
	for ctx.Err() == nil {
		tryCtx, cancel := context.WithTimeout(ctx, 10*n.cfg.Elect)
		err := n.raft.Barrier(tryCtx)
		cancel()
		if err == nil {
			n.mu.Lock()
			n.caughtUp()
			n.mu.Unlock()
			return
		}
		if n.log != nil && ctx.Err() == nil {
			n.log.WithError(err).Debug("policy: not caught up yet")
		}
	}
}

// caughtUp runs the newest version and opens the gate, with the lock held.
func (n *Node) caughtUp() {
	if !n.gate.CaughtUp() {
		return
	}
	if n.newest(); n.gate.Run().Open {
		if err := n.hooks.Run(n.gate.Run()); err != nil {
			n.log.WithError(err).Error("policy can't be run here")
			n.gate.Fails(err)
		}
	}
	run := n.gate.Run()
	n.log.WithFields(logrus.Fields{"version": uint64(run.Record.Version), "open": run.Open}).Info("policy caught up")
}

// newest runs the newest version that is held, with the lock held.
func (n *Node) newest() {
	r, any := n.state.Newest()
	if !any || !n.gate.Committed(r) {
		return
	}
	// Danger: run first and kept afterwards, a version would be unknown to a marshal that ends between, and the one before
	// would be run again.
	raw, err := policy.EncodeRecord(&r)
	if err == nil {
		err = n.store.Keep(keptKey, raw)
	}
	if err != nil {
		n.log.WithError(err).Error("policy: what is run can't be kept")
	}
	was := n.gate.Run()
	n.gate.Ran(r)
	fields := logrus.Fields{"version": uint64(r.Version), "was": uint64(was.Record.Version), "sum": sum(r.Sum)}
	if err := n.hooks.Run(n.gate.Run()); err != nil {
		n.gate.Fails(err)
		n.log.WithFields(fields).WithError(err).Error("policy can't be run here: no part in trials")
		if err := n.hooks.Run(policy.Run{Record: was.Record}); err != nil {
			n.log.WithError(err).Error("policy: nor can the one before")
		}
	} else {
		n.log.WithFields(fields).Info("policy runs")
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// Retry runs the version that could not be run here, for the marshal's configuration has changed.
func (n *Node) Retry() {
	n.mu.Lock()
	defer n.mu.Unlock()
	why := n.gate.Failed()
	if why == "" {
		return
	}
	n.gate.Mended()
	run := n.gate.Run()
	if err := n.hooks.Run(run); err != nil {
		n.gate.Fails(err)
		n.log.WithError(err).Error("policy still can't be run here")
		return
	}
	n.log.WithFields(logrus.Fields{"version": uint64(run.Record.Version), "open": run.Open}).Info("policy can be run here again")
}

func sum(s uint64) string { return strconv.FormatUint(s, 16) }

// part is the policy's part of the log.
type part struct{ *Node }

func (p part) Apply(_ uint64, _ quorum.Millis, command []byte) []byte {
	var proposal policy.Proposal
	out := policy.Outcome{Refused: "not a proposal"}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := msgpack.Unmarshal(command, &proposal); err == nil {
		out = p.state.Apply(&proposal)
	}
	p.newest()
	raw, err := json.Marshal(out)
	if err != nil {
		panic(err) // three plain fields
	}
	return raw
}

func (p part) Snapshot() ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Encode()
}

func (p part) Restore(raw []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.state.Restore(raw); err != nil {
		return err
	}
	p.newest()
	return nil
}

// since is what a watcher asks a server, and tells of itself. Its tags, as those of its parts and of the answer, stay whatever
// the fields are called: marshals of different versions ask each other.
type since struct {
	Self    Marshal        `msgpack:"Self"`
	Version policy.Version `msgpack:"Version"`
	Confirm bool           `msgpack:"Confirm"` // the answer has to hold all that is committed now
}

type sinceAnswer struct {
	Records   []policy.Record `msgpack:"Records"`
	Newest    policy.Version  `msgpack:"Newest"`
	Confirmed bool            `msgpack:"Confirmed"`
}

func (n *Node) answerSince(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, longestText))
	var ask since
	if err == nil {
		err = msgpack.Unmarshal(raw, &ask)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	n.note(ask.Self)
	a := sinceAnswer{}
	if ask.Confirm {
		ctx, cancel := context.WithTimeout(r.Context(), 4*n.cfg.Elect)
		a.Confirmed = n.raft.Barrier(ctx) == nil
		cancel()
	}
	over := time.NewTimer(longPoll)
	defer over.Stop()
	for {
		n.mu.Lock()
		a.Records, a.Newest = n.state.Since(ask.Version), n.state.Version()
		changed := n.changed
		n.mu.Unlock()
		if len(a.Records) > 0 || ask.Confirm {
			break
		}
		select {
		case <-changed:
			continue
		case <-over.C:
		case <-r.Context().Done():
			return
		}
		break
	}
	if raw, err = msgpack.Marshal(&a); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Write(raw)
}

// note keeps what a watcher told of itself, for the status.
func (n *Node) note(m Marshal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m.At = n.clock.Now()
	if _, known := n.watchers[m.Name]; !known && len(n.watchers) >= mostWatchers {
		for name, old := range n.watchers {
			if m.At-old.At > float64(watcherGone/time.Millisecond) {
				delete(n.watchers, name)
			}
		}
		if len(n.watchers) >= mostWatchers {
			return
		}
	}
	n.watchers[m.Name] = m
}

// follow asks servers for what is new, one after another where one does not answer.
func (n *Node) follow(ctx context.Context) {
	for at := 0; ctx.Err() == nil; {
		server := n.cfg.Servers[at%len(n.cfg.Servers)]
		if err := n.pull(ctx, server.Address); err != nil && ctx.Err() == nil {
			at++
			n.log.WithError(err).WithField("server", server.Name).Debug("policy: not followed")
			select {
			case <-ctx.Done():
			case <-time.After(n.cfg.Elect / 4):
			}
		}
	}
}

func (n *Node) pull(ctx context.Context, address string) error {
	n.mu.Lock()
	ask := since{Self: n.self(), Version: n.state.Version(), Confirm: !n.gate.Run().Open}
	n.mu.Unlock()
	raw, err := msgpack.Marshal(&ask)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, longPoll+4*n.cfg.Elect+askIn)
	defer cancel()
	var got []byte
	if err := raftlog.Call(ctx, n.calls, address, http.MethodPost, "/policy/since", raw, &got); err != nil {
		return err
	}
	var a sinceAnswer
	if err := msgpack.Unmarshal(got, &a); err != nil {
		return fmt.Errorf("%s: %w", address, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	news, err := n.state.Follow(a.Records)
	if news {
		n.newest()
	}
	if err != nil {
		return err
	}
	if a.Confirmed {
		n.caughtUp()
	} else if ask.Confirm {
		return errors.New("the server could not confirm that it holds all")
	}
	return nil
}

// self is this marshal's own line, with the lock held.
func (n *Node) self() Marshal {
	run := n.gate.Run()
	m := Marshal{Name: n.cfg.Name, Role: "watcher", Version: run.Record.Version, Sum: sum(run.Record.Sum), Open: run.Open,
		Failed: n.gate.Failed(), At: n.clock.Now()}
	if n.raft != nil {
		m.Role = n.raft.Status().Role
	}
	return m
}

// Self is this marshal's own line.
func (n *Node) Self() Marshal {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.self()
}

type local struct {
	Self     Marshal   `json:"self"`
	Watchers []Marshal `json:"watchers"`
}

func (n *Node) local() local {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := local{Self: n.self()}
	for _, m := range n.watchers {
		l.Watchers = append(l.Watchers, m)
	}
	return l
}

func (n *Node) answerLocal(w http.ResponseWriter, _ *http.Request) { raftlog.Answer(w, n.local()) }

// Status is what the fleet runs, as far as this marshal can learn it now, by name.
func (n *Node) Status(ctx context.Context) []Marshal {
	ctx, cancel := context.WithTimeout(ctx, askIn)
	defer cancel()
	all := make([]local, len(n.cfg.Servers))
	var asking sync.WaitGroup
	for i, s := range n.cfg.Servers {
		asking.Go(func() {
			if s.Name == n.cfg.Name {
				all[i] = n.local()
			} else if err := raftlog.Call(ctx, n.calls, s.Address, http.MethodGet, "/policy/local", nil, &all[i]); err != nil {
				all[i] = local{Self: Marshal{Name: s.Name, Missing: err.Error()}}
			}
		})
	}
	asking.Wait()
	newest := map[string]Marshal{}
	for _, l := range all {
		newest[l.Self.Name] = l.Self
		for _, m := range l.Watchers {
			if was, known := newest[m.Name]; !known || was.At < m.At {
				newest[m.Name] = m
			}
		}
	}
	if n.raft == nil {
		newest[n.cfg.Name] = n.Self()
	}
	var out []Marshal
	for _, m := range newest {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b Marshal) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Ask is what an operator proposes.
type Ask struct {
	Policy json.RawMessage `json:"policy"`
	ID     string          `json:"id,omitempty"`      // of an earlier try whose end is not known
	Base   *policy.Version `json:"base,omitempty"`    // only if this version holds
	WaitMS int64           `json:"wait_ms,omitempty"` // for the answer; nothing comes of it afterwards. 0: 15 s
}

// Proposed is what became of it.
type Proposed struct {
	ID      string         `json:"id"`
	Version policy.Version `json:"version"`
	Again   bool           `json:"again,omitempty"`
}

// Propose checks a policy here and at all servers that can be reached, and puts it into the log. An error that says so
// aside, nothing has changed and nothing will.
func (n *Node) Propose(ctx context.Context, body []byte) (any, error) {
	var ask Ask
	if err := json.Unmarshal(body, &ask); err != nil {
		return nil, fmt.Errorf("proposal: %w", err)
	}
	// Danger: what a cut holds up comes when it is healed; by then its proposer must still be waiting. So the
	// wait counts from here, the time for the checks included.
	wait := proposeIn
	if ms := time.Duration(ask.WaitMS) * time.Millisecond; ms > 0 {
		wait = min(wait, ms)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	_, parsed, err := policy.Parse(ask.Policy)
	if err != nil {
		return nil, err
	}
	if err := n.hooks.Check(parsed); err != nil {
		return nil, err
	}
	if err := n.checkAll(ctx, parsed); err != nil {
		return nil, err
	}
	p := policy.Proposal{ID: ask.ID, By: n.cfg.Name, At: n.clock.Now(), Body: parsed}
	if p.ID == "" {
		p.ID = uuid.NewString()
	}
	if ask.Base != nil {
		p.Based, p.Base = true, *ask.Base
	}
	raw, err := msgpack.Marshal(&p)
	if err != nil {
		return nil, err
	}
	answer, err := n.Command(ctx, Kind, raw)
	var out policy.Outcome
	if err == nil {
		err = json.Unmarshal(answer, &out)
	}
	if err != nil {
		return nil, fmt.Errorf("whether it was committed is not known; propose it again with --id %s: %w", p.ID, err)
	}
	if out.Refused != "" {
		return nil, errors.New(out.Refused)
	}
	n.log.WithFields(logrus.Fields{"version": uint64(out.Version), "id": p.ID, "again": out.Again}).Info("policy proposed")
	return Proposed{ID: p.ID, Version: out.Version, Again: out.Again}, nil
}

// Command puts a command of any kind into the log and returns its part's answer.
func (n *Node) Command(ctx context.Context, kind byte, command []byte) ([]byte, error) {
	if n.raft != nil {
		return n.raft.Propose(ctx, kind, command)
	}
	return n.away.Propose(ctx, kind, command)
}

// Get asks a server, this one first where it is one, for what it holds.
func (n *Node) Get(ctx context.Context, path string, to any) error {
	return n.away.Get(ctx, path, to)
}

// checkAll asks the other servers whether they could run a policy. One that can't be reached has no say: if it can't
// run it, it takes no part in trials from then on, and says so.
func (n *Node) checkAll(ctx context.Context, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, askIn)
	defer cancel()
	faults := make([]string, len(n.cfg.Servers))
	var asking sync.WaitGroup
	for i, s := range n.cfg.Servers {
		if s.Name == n.cfg.Name {
			continue
		}
		asking.Go(func() {
			var fault string
			if raftlog.Call(ctx, n.calls, s.Address, http.MethodPost, "/policy/check", body, &fault) == nil && fault != "" {
				faults[i] = s.Name + ": " + fault
			}
		})
	}
	asking.Wait()
	if faults = slices.DeleteFunc(faults, func(f string) bool { return f == "" }); len(faults) > 0 {
		return errors.New(strings.Join(faults, "; "))
	}
	return nil
}

func (n *Node) answerCheck(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, longestText))
	if err == nil {
		err = n.hooks.Check(body)
	}
	if err != nil {
		raftlog.Answer(w, err.Error())
		return
	}
	raftlog.Answer(w, "")
}

// Past is one version as the history tells it.
type Past struct {
	Version policy.Version  `json:"version"`
	ID      string          `json:"id"`
	By      string          `json:"by"`
	At      float64         `json:"at_ms"`
	Sum     string          `json:"sum"`
	Policy  json.RawMessage `json:"policy"`
}

// History are the versions that this marshal keeps, oldest first.
func (n *Node) History() []Past {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := []Past{}
	for _, r := range n.state.Since(0) {
		out = append(out, Past{Version: r.Version, ID: r.ID, By: r.By, At: r.At, Sum: sum(r.Sum), Policy: r.Body})
	}
	return out
}

// StatusAnswer is what `ottershed policy status` asks for.
type StatusAnswer struct {
	Marshals []Marshal       `json:"marshals"`
	Log      *raftlog.Status `json:"log,omitempty"`
	Stored   int64           `json:"stored_bytes"`
}

// Answer is the status of the fleet and of this marshal's log.
func (n *Node) Answer(ctx context.Context) StatusAnswer {
	a := StatusAnswer{Marshals: n.Status(ctx), Stored: n.store.Bytes()}
	if n.raft != nil {
		s := n.raft.Status()
		a.Log = &s
	}
	return a
}
