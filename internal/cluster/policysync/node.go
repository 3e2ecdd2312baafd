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
	"ottershed/internal/clock"
	"ottershed/internal/cluster/policy"
	"ottershed/internal/cluster/quorum"
	"ottershed/internal/cluster/raftlog"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"
)

// Hooks are what the marshal does; both return at once.
type Hooks struct {
	Check func(body []byte) error     // whether it could run a policy
	Apply func(policy.Decision) error // runs it from now on; an error leaves all as it was
}

// Kind is that of policy's commands in the log.
const Kind byte = 'p'

const (
	appliedKey     = "policy"
	longPoll       = 10 * time.Second
	maxWatchers    = 4096
	watcherTTL     = 6 * longPoll
	requestTimeout = 2 * time.Second
	proposeTimeout = 15 * time.Second
	maxBodyBytes   = 128 << 10
)

// Marshal is one line of the fleet's status.
type MemberStatus struct {
	Name           string         `json:"name" msgpack:"Name"`
	Role           string         `json:"role" msgpack:"Role"` // leader, follower, candidate, placing, watcher
	Version        policy.Version `json:"version" msgpack:"Version"`
	Sum            string         `json:"sum" msgpack:"Sum"`
	TrialsAdmitted bool           `json:"open" msgpack:"Open"`                 // takes trial traffic
	Failure        string         `json:"failed,omitempty" msgpack:"Failed"`   // why it can't run the newest version
	Unreachable    string         `json:"missing,omitempty" msgpack:"Missing"` // why nothing is known of it
	ReportedAt     float64        `json:"at_ms,omitempty" msgpack:"At"`        // when it was last heard of, Unix
}

// Node is a marshal's part.
type Node struct {
	cfg        raftlog.Config
	hooks      Hooks
	clock      *clock.Clock
	log        logrus.FieldLogger
	store      *raftlog.Store
	raft       *raftlog.Node // nil: a watcher
	httpClient *http.Client
	client     *raftlog.Client // the log, from a marshal that does not keep it, and for what is read

	mu        sync.Mutex
	state     policy.State
	admission policy.TrialAdmission
	changed   chan struct{} // closed and made anew with each version
	watchers  map[string]MemberStatus
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
	n := &Node{
		cfg: cfg, hooks: hooks, clock: c, log: log, store: store, httpClient: raftlog.NewHTTPClient(cfg.Key),
		changed: make(chan struct{}), watchers: map[string]MemberStatus{},
	}
	servers := slices.Clone(cfg.Servers)
	if i := slices.IndexFunc(servers, func(s raftlog.Server) bool { return s.Name == cfg.Name }); i > 0 {
		servers[0], servers[i] = servers[i], servers[0]
	}
	n.client = &raftlog.Client{Servers: servers, HTTP: n.httpClient, ElectionTimeout: cfg.ElectionTimeout, Clock: c}
	if raw, err := store.GetUser(appliedKey); err != nil {
		log.WithError(err).Error("policy: what was run last can't be read")
	} else if raw != nil {
		kept, err := policy.DecodeRecord(raw)
		if err != nil {
			log.WithError(err).Error("policy: what was run last can't be read")
		}
		n.admission.Restore(kept)
	}
	if err := hooks.Apply(n.admission.Current()); err != nil {
		n.admission.Fail(err)
		log.WithError(err).Error("policy: what was run last can't be run here any more")
	}
	if !cfg.IsServer() {
		return n, nil
	}
	if n.raft, err = raftlog.Open(cfg, store, c, log); err != nil {
		store.Close()
		return nil, err
	}
	n.raft.Register(Kind, stateMachine{n})
	n.raft.Handle("GET /policy/local", n.handleLocal)
	n.raft.Handle("POST /policy/check", n.handleCheck)
	n.raft.Handle("POST /policy/since", n.handleSince)
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
		tryCtx, cancel := context.WithTimeout(ctx, 10*n.cfg.ElectionTimeout)
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
	if !n.admission.MarkCaughtUp() {
		return
	}
	if n.applyLatest(); n.admission.Current().TrialsAdmitted {
		if err := n.hooks.Apply(n.admission.Current()); err != nil {
			n.log.WithError(err).Error("policy can't be run here")
			n.admission.Fail(err)
		}
	}
	run := n.admission.Current()
	n.log.WithFields(logrus.Fields{"version": uint64(run.Record.Version), "open": run.TrialsAdmitted}).Info("policy caught up")
}

// newest runs the newest version that is held, with the lock held.
func (n *Node) applyLatest() {
	r, any := n.state.Latest()
	if !any || !n.admission.ShouldApply(r) {
		return
	}
	// Danger: run first and kept afterwards, a version would be unknown to a marshal that ends between, and the one before
	// would be run again.
	raw, err := policy.EncodeRecord(&r)
	if err == nil {
		err = n.store.PutUser(appliedKey, raw)
	}
	if err != nil {
		n.log.WithError(err).Error("policy: what is run can't be kept")
	}
	previous := n.admission.Current()
	n.admission.Applied(r)
	fields := logrus.Fields{"version": uint64(r.Version), "was": uint64(previous.Record.Version), "sum": sum(r.Sum)}
	if err := n.hooks.Apply(n.admission.Current()); err != nil {
		n.admission.Fail(err)
		n.log.WithFields(fields).WithError(err).Error("policy can't be run here: no part in trials")
		if err := n.hooks.Apply(policy.Decision{Record: previous.Record}); err != nil {
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
	why := n.admission.Failure()
	if why == "" {
		return
	}
	n.admission.ClearFailure()
	run := n.admission.Current()
	if err := n.hooks.Apply(run); err != nil {
		n.admission.Fail(err)
		n.log.WithError(err).Error("policy still can't be run here")
		return
	}
	n.log.WithFields(logrus.Fields{"version": uint64(run.Record.Version), "open": run.TrialsAdmitted}).Info("policy can be run here again")
}

func sum(s uint64) string { return strconv.FormatUint(s, 16) }

// part is the policy's part of the log.
type stateMachine struct{ *Node }

func (p stateMachine) Apply(_ uint64, _ quorum.Millis, command []byte) []byte {
	var proposal policy.Proposal
	out := policy.Outcome{Rejection: "not a proposal"}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := msgpack.Unmarshal(command, &proposal); err == nil {
		out = p.state.Apply(&proposal)
	}
	p.applyLatest()
	raw, err := json.Marshal(out)
	if err != nil {
		panic(err) // three plain fields
	}
	return raw
}

func (p stateMachine) Snapshot() ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state.Encode()
}

func (p stateMachine) Restore(raw []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.state.Restore(raw); err != nil {
		return err
	}
	p.applyLatest()
	return nil
}

// since is what a watcher asks a server, and tells of itself. Its tags, as those of its parts and of the answer, stay whatever
// the fields are called: marshals of different versions ask each other.
type sinceRequest struct {
	Self    MemberStatus   `msgpack:"Self"`
	Version policy.Version `msgpack:"Version"`
	Confirm bool           `msgpack:"Confirm"` // the answer has to hold all that is committed now
}

type sinceResponse struct {
	Records   []policy.Record `msgpack:"Records"`
	Newest    policy.Version  `msgpack:"Newest"`
	Confirmed bool            `msgpack:"Confirmed"`
}

func (n *Node) handleSince(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var request sinceRequest
	if err == nil {
		err = msgpack.Unmarshal(raw, &request)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	n.recordWatcher(request.Self)
	a := sinceResponse{}
	if request.Confirm {
		ctx, cancel := context.WithTimeout(r.Context(), 4*n.cfg.ElectionTimeout)
		a.Confirmed = n.raft.Barrier(ctx) == nil
		cancel()
	}
	over := time.NewTimer(longPoll)
	defer over.Stop()
	for {
		n.mu.Lock()
		a.Records, a.Newest = n.state.Since(request.Version), n.state.Version()
		changed := n.changed
		n.mu.Unlock()
		if len(a.Records) > 0 || request.Confirm {
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
func (n *Node) recordWatcher(m MemberStatus) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m.ReportedAt = n.clock.Now()
	if _, known := n.watchers[m.Name]; !known && len(n.watchers) >= maxWatchers {
		for name, old := range n.watchers {
			if m.ReportedAt-old.ReportedAt > float64(watcherTTL/time.Millisecond) {
				delete(n.watchers, name)
			}
		}
		if len(n.watchers) >= maxWatchers {
			return
		}
	}
	n.watchers[m.Name] = m
}

// follow asks servers for what is new, one after another where one does not answer.
func (n *Node) follow(ctx context.Context) {
	for at := 0; ctx.Err() == nil; {
		server := n.cfg.Servers[at%len(n.cfg.Servers)]
		if err := n.poll(ctx, server.Address); err != nil && ctx.Err() == nil {
			at++
			n.log.WithError(err).WithField("server", server.Name).Debug("policy: not followed")
			select {
			case <-ctx.Done():
			case <-time.After(n.cfg.ElectionTimeout / 4):
			}
		}
	}
}

func (n *Node) poll(ctx context.Context, address string) error {
	n.mu.Lock()
	request := sinceRequest{Self: n.self(), Version: n.state.Version(), Confirm: !n.admission.Current().TrialsAdmitted}
	n.mu.Unlock()
	raw, err := msgpack.Marshal(&request)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, longPoll+4*n.cfg.ElectionTimeout+requestTimeout)
	defer cancel()
	var got []byte
	if err := raftlog.Call(ctx, n.httpClient, address, http.MethodPost, "/policy/since", raw, &got); err != nil {
		return err
	}
	var a sinceResponse
	if err := msgpack.Unmarshal(got, &a); err != nil {
		return fmt.Errorf("%s: %w", address, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	changed, err := n.state.Append(a.Records)
	if changed {
		n.applyLatest()
	}
	if err != nil {
		return err
	}
	if a.Confirmed {
		n.caughtUp()
	} else if request.Confirm {
		return errors.New("the server could not confirm that it holds all")
	}
	return nil
}

// self is this marshal's own line, with the lock held.
func (n *Node) self() MemberStatus {
	run := n.admission.Current()
	m := MemberStatus{
		Name: n.cfg.Name, Role: "watcher", Version: run.Record.Version, Sum: sum(run.Record.Sum), TrialsAdmitted: run.TrialsAdmitted,
		Failure: n.admission.Failure(), ReportedAt: n.clock.Now(),
	}
	if n.raft != nil {
		m.Role = n.raft.Status().Role
	}
	return m
}

// Self is this marshal's own line.
func (n *Node) Self() MemberStatus {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.self()
}

type localStatus struct {
	Self     MemberStatus   `json:"self"`
	Watchers []MemberStatus `json:"watchers"`
}

func (n *Node) local() localStatus {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := localStatus{Self: n.self()}
	for _, m := range n.watchers {
		l.Watchers = append(l.Watchers, m)
	}
	return l
}

func (n *Node) handleLocal(w http.ResponseWriter, _ *http.Request) { raftlog.WriteJSON(w, n.local()) }

// Status is what the fleet runs, as far as this marshal can learn it now, by name.
func (n *Node) Status(ctx context.Context) []MemberStatus {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	all := make([]localStatus, len(n.cfg.Servers))
	var requests sync.WaitGroup
	for i, s := range n.cfg.Servers {
		requests.Go(func() {
			if s.Name == n.cfg.Name {
				all[i] = n.local()
			} else if err := raftlog.Call(ctx, n.httpClient, s.Address, http.MethodGet, "/policy/local", nil, &all[i]); err != nil {
				all[i] = localStatus{Self: MemberStatus{Name: s.Name, Unreachable: err.Error()}}
			}
		})
	}
	requests.Wait()
	newest := map[string]MemberStatus{}
	for _, l := range all {
		newest[l.Self.Name] = l.Self
		for _, m := range l.Watchers {
			if was, known := newest[m.Name]; !known || was.ReportedAt < m.ReportedAt {
				newest[m.Name] = m
			}
		}
	}
	if n.raft == nil {
		newest[n.cfg.Name] = n.Self()
	}
	var out []MemberStatus
	for _, m := range newest {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b MemberStatus) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Ask is what an operator proposes.
type ProposeRequest struct {
	Policy json.RawMessage `json:"policy"`
	ID     string          `json:"id,omitempty"`      // of an earlier try whose end is not known
	Base   *policy.Version `json:"base,omitempty"`    // only if this version holds
	WaitMS int64           `json:"wait_ms,omitempty"` // for the answer; nothing comes of it afterwards. 0: 15 s
}

// Proposed is what became of it.
type ProposeResult struct {
	ID        string         `json:"id"`
	Version   policy.Version `json:"version"`
	Duplicate bool           `json:"again,omitempty"`
}

// Propose checks a policy here and at all servers that can be reached, and puts it into the log. An error that says so
// aside, nothing has changed and nothing will.
func (n *Node) Propose(ctx context.Context, body []byte) (any, error) {
	var request ProposeRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, fmt.Errorf("proposal: %w", err)
	}
	// Danger: what a cut holds up comes when it is healed; by then its proposer must still be waiting. So the
	// wait counts from here, the time for the checks included.
	wait := proposeTimeout
	if ms := time.Duration(request.WaitMS) * time.Millisecond; ms > 0 {
		wait = min(wait, ms)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	_, parsed, err := policy.Parse(request.Policy)
	if err != nil {
		return nil, err
	}
	if err := n.hooks.Check(parsed); err != nil {
		return nil, err
	}
	if err := n.checkAll(ctx, parsed); err != nil {
		return nil, err
	}
	p := policy.Proposal{ID: request.ID, By: n.cfg.Name, At: n.clock.Now(), Body: parsed}
	if p.ID == "" {
		p.ID = uuid.NewString()
	}
	if request.Base != nil {
		p.Based, p.Base = true, *request.Base
	}
	raw, err := msgpack.Marshal(&p)
	if err != nil {
		return nil, err
	}
	reply, err := n.Command(ctx, Kind, raw)
	var out policy.Outcome
	if err == nil {
		err = json.Unmarshal(reply, &out)
	}
	if err != nil {
		return nil, fmt.Errorf("whether it was committed is not known; propose it again with --id %s: %w", p.ID, err)
	}
	if out.Rejection != "" {
		return nil, errors.New(out.Rejection)
	}
	n.log.WithFields(logrus.Fields{"version": uint64(out.Version), "id": p.ID, "again": out.Duplicate}).Info("policy proposed")
	return ProposeResult{ID: p.ID, Version: out.Version, Duplicate: out.Duplicate}, nil
}

// Command puts a command of any kind into the log and returns its part's answer.
func (n *Node) Command(ctx context.Context, kind byte, command []byte) ([]byte, error) {
	if n.raft != nil {
		return n.raft.Propose(ctx, kind, command)
	}
	return n.client.Propose(ctx, kind, command)
}

// Get asks a server, this one first where it is one, for what it holds.
func (n *Node) Get(ctx context.Context, path string, to any) error {
	return n.client.Get(ctx, path, to)
}

// checkAll asks the other servers whether they could run a policy. One that can't be reached has no say: if it can't
// run it, it takes no part in trials from then on, and says so.
func (n *Node) checkAll(ctx context.Context, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	faults := make([]string, len(n.cfg.Servers))
	var requests sync.WaitGroup
	for i, s := range n.cfg.Servers {
		if s.Name == n.cfg.Name {
			continue
		}
		requests.Go(func() {
			var fault string
			if raftlog.Call(ctx, n.httpClient, s.Address, http.MethodPost, "/policy/check", body, &fault) == nil && fault != "" {
				faults[i] = s.Name + ": " + fault
			}
		})
	}
	requests.Wait()
	if faults = slices.DeleteFunc(faults, func(f string) bool { return f == "" }); len(faults) > 0 {
		return errors.New(strings.Join(faults, "; "))
	}
	return nil
}

func (n *Node) handleCheck(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = n.hooks.Check(body)
	}
	if err != nil {
		raftlog.WriteJSON(w, err.Error())
		return
	}
	raftlog.WriteJSON(w, "")
}

// Past is one version as the history tells it.
type HistoryEntry struct {
	Version  policy.Version  `json:"version"`
	ID       string          `json:"id"`
	Proposer string          `json:"by"`
	At       float64         `json:"at_ms"`
	Sum      string          `json:"sum"`
	Policy   json.RawMessage `json:"policy"`
}

// History are the versions that this marshal keeps, oldest first.
func (n *Node) History() []HistoryEntry {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := []HistoryEntry{}
	for _, r := range n.state.Since(0) {
		out = append(out, HistoryEntry{Version: r.Version, ID: r.ID, Proposer: r.By, At: r.At, Sum: sum(r.Sum), Policy: r.Body})
	}
	return out
}

// StatusAnswer is what `ottershed policy status` asks for.
type FleetStatus struct {
	Members     []MemberStatus  `json:"marshals"`
	Log         *raftlog.Status `json:"log,omitempty"`
	StoredBytes int64           `json:"stored_bytes"`
}

// Answer is the status of the fleet and of this marshal's log.
func (n *Node) FleetStatus(ctx context.Context) FleetStatus {
	a := FleetStatus{Members: n.Status(ctx), StoredBytes: n.store.Bytes()}
	if n.raft != nil {
		s := n.raft.Status()
		a.Log = &s
	}
	return a
}
