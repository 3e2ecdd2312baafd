// Package keeper brings internal/cluster/lease to one marshal: it holds the marshal's own piece of work in the replicated log,
// writes checkpoints of it, takes over those of marshals that are gone, and lets votes out only under a lease.
package failover

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"ottershed/decision"
	"ottershed/internal/clock"
	"ottershed/internal/cluster/lease"
	"ottershed/internal/cluster/logclock"
	"ottershed/internal/cluster/membership"
	"ottershed/internal/cluster/raftlog"
	"ottershed/internal/rollout"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"
)

// Kind is that of its commands in the log.
const Kind byte = 'l'

// Log is the replicated log, at a server or at a marshal that follows.
type Log interface {
	Command(ctx context.Context, kind byte, command []byte) ([]byte, error)
	Get(ctx context.Context, path string, to any) error
}

// Module is the marshal whose work it is.
type Engine interface {
	Evidence(ctx context.Context) (decision.Evidence, bool)
	AcquireEvidence(decision.Evidence)
	RevokeEvidence()
	HandleEvent(decision.Event)
}

// Desk takes votes under fences.
type Controller interface {
	VoteFenced(v decision.Vote, fences []rollout.Fence)
}

// Members tells who is there.
type Members interface {
	View() *membership.View
	Changes() <-chan membership.Change
}

// Config is what the operator's file says, and what the process is.
type Config struct {
	Name        string
	Incarnation uint64
	TTL         time.Duration
}

const (
	renewalsPerTTL = 4 // of a lease: between two commands that keep it
	leasePath      = "/lease/list"
)

// Keeper is a marshal's part.
type Manager struct {
	cfg        Config
	log        Log
	engine     Engine
	controller Controller
	view       func() *membership.View
	// changes are members' states as they change: work is taken over as soon as a death is known.
	changes         <-chan membership.Change
	clock           *clock.Clock
	logger          logrus.FieldLogger
	manualTakeovers chan manualTakeover // takes that an operator asks for

	// writing is held while a checkpoint is on its way. Danger: what this marshal has seen is written over the checkpoint that
	// holds another's work as well, if it was gathered before; so one is written at a time.
	checkpointSlot chan struct{}

	mu      sync.Mutex
	session lease.Session
	seq     uint64        // of the newest checkpoint
	merged  []lease.Grant // whose work is among this marshal's, for the build on trial
	build   decision.Build
}

type manualTakeover struct {
	id    lease.ID
	reply chan error
}

// checkpoint is what a piece holds: what the marshal had seen, and what it had taken over that its module had not yet.
// Its tags stay whatever the fields are called: another version may go on from it.
type checkpoint struct {
	Parts  []decision.Evidence `msgpack:"Parts"`
	Merged []lease.Grant       `msgpack:"Merged"`
}

// New makes a keeper; Run does the rest.
func New(cfg Config, l Log, m Engine, d Controller, members Members, c *clock.Clock, logger logrus.FieldLogger) *Manager {
	return &Manager{
		cfg: cfg, log: l, engine: m, controller: d, view: members.View, changes: members.Changes(), clock: c, logger: logger, manualTakeovers: make(chan manualTakeover), checkpointSlot: make(chan struct{}, 1),
		session: lease.Session{
			ID: lease.TrialID(cfg.Name), Holder: lease.Holder{Name: cfg.Name, Incarnation: cfg.Incarnation},
			TTL: float64(cfg.TTL) / float64(time.Millisecond),
		},
	}
}

// Vote lets a vote out under the leases that this marshal holds, or tells the module that it did not go.
func (mgr *Manager) Vote(v decision.Vote) {
	mgr.mu.Lock()
	allowed, fences := mgr.session.MayVote(v.Verdict, mgr.clock.Now()), mgr.fences()
	mgr.mu.Unlock()
	if !allowed {
		mgr.engine.HandleEvent(decision.StageUpdate{IsVoteResult: true, VoteResult: decision.VoteFailed})
		return
	}
	mgr.controller.VoteFenced(v, fences)
}

// fences holds with the lock held.
func (mgr *Manager) fences() []rollout.Fence {
	if mgr.session.Token() == 0 {
		return nil
	}
	out := []rollout.Fence{{Lease: string(mgr.session.ID), Token: uint64(mgr.session.Token())}}
	for _, p := range mgr.merged {
		out = append(out, rollout.Fence{Lease: string(p.ID), Token: uint64(p.Token)})
	}
	return out
}

// Run holds this marshal's work until ctx ends. Another's is taken over beside that: a piece whose answer is long in coming
// must not cost this marshal its own lease.
func (mgr *Manager) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { mgr.takeoverLoop(ctx) })
	every := time.NewTicker(mgr.cfg.TTL / renewalsPerTTL)
	defer every.Stop()
	for {
		mgr.renew(ctx)
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
	}
}

// takeOver takes over what others leave, a piece at a time.
func (mgr *Manager) takeoverLoop(ctx context.Context) {
	every := time.NewTicker(mgr.cfg.TTL / renewalsPerTTL)
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-mgr.manualTakeovers:
			m.reply <- mgr.takeOver(ctx, m.id)
		case c := <-mgr.changes:
			if c.State >= membership.Dead {
				mgr.takeOverExpired(ctx)
			}
		case <-every.C:
			mgr.takeOverExpired(ctx) // what was lost, or was not due yet as its owner died
		}
	}
}

// command sends a command and takes its reply.
func (mgr *Manager) command(ctx context.Context, c *lease.Command) (*lease.Reply, error) {
	raw, err := msgpack.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("work: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, mgr.cfg.TTL)
	defer cancel()
	sent := mgr.clock.Now()
	if raw, err = mgr.log.Command(ctx, Kind, raw); err != nil {
		return nil, err
	}
	r := &lease.Reply{}
	if err := msgpack.Unmarshal(raw, r); err != nil {
		return nil, fmt.Errorf("work: %w", err)
	}
	mgr.mu.Lock()
	disowned := mgr.session.HandleReply(c, sent, r)
	if disowned {
		mgr.merged = nil
	}
	mgr.mu.Unlock()
	if disowned {
		mgr.engine.RevokeEvidence()
		mgr.logger.WithFields(logrus.Fields{"work": mgr.session.ID, "token": uint64(c.Token), "refused": r.Rejection}).Warn("work lost")
	}
	return r, nil
}

// keep claims this marshal's own piece, or keeps it, with what the module has seen by now.
func (mgr *Manager) renew(ctx context.Context) {
	var raw []byte
	select {
	case mgr.checkpointSlot <- struct{}{}:
		defer mgr.unlockCheckpoint()
		raw, _ = mgr.checkpoint(ctx)
	default: // a piece is just being merged: the lease alone is kept
	}
	c := mgr.nextCommand(raw)
	r, err := mgr.command(ctx, &c)
	switch {
	case err != nil:
		if ctx.Err() == nil {
			mgr.logger.WithError(err).Debug("work not kept")
		}
	case c.Operation == lease.Acquire && r.Rejection != "":
		mgr.logger.WithFields(logrus.Fields{"work": c.ID, "refused": r.Rejection}).Debug("work not claimed")
	case c.Operation == lease.Acquire:
		mgr.logger.WithFields(logrus.Fields{"work": c.ID, "token": uint64(r.Lease.Token), "bytes": len(r.Lease.Checkpoint)}).Info("work claimed")
		mgr.resumeFrom(r.Lease.Checkpoint, r.Lease.Merged)
	}
}

// write waits until no other checkpoint is on its way; written ends that.
func (mgr *Manager) lockCheckpoint(ctx context.Context) error {
	select {
	case mgr.checkpointSlot <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (mgr *Manager) unlockCheckpoint() { <-mgr.checkpointSlot }

// next is the command that keeps this marshal's piece.
func (mgr *Manager) nextCommand(raw []byte) lease.Command {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	c := mgr.session.Next(raw)
	if raw != nil {
		mgr.seq++
		c.CheckpointSeq = mgr.seq
	}
	return c
}

// checkpoint is what this marshal has seen by now.
func (mgr *Manager) checkpoint(ctx context.Context) ([]byte, []decision.Evidence) {
	ctx, cancel := context.WithTimeout(ctx, mgr.cfg.TTL/renewalsPerTTL)
	defer cancel()
	e, any := mgr.engine.Evidence(ctx)
	if !any {
		return nil, nil
	}
	mgr.mu.Lock()
	if e.Build != mgr.build { // fences of an earlier build's work have no use any more
		mgr.build, mgr.merged = e.Build, nil
	}
	c := checkpoint{Parts: []decision.Evidence{e}, Merged: mgr.merged}
	mgr.mu.Unlock()
	raw, err := msgpack.Marshal(&c)
	if err != nil || len(raw) > lease.MaxCheckpointBytes {
		mgr.logger.WithError(err).WithField("bytes", len(raw)).Warn("work: checkpoint not written")
		return nil, c.Parts
	}
	return raw, c.Parts
}

// resume has the module go on from a checkpoint.
func (mgr *Manager) resumeFrom(raw []byte, merged []lease.Grant) (responses int) {
	var c checkpoint
	if len(raw) == 0 {
		return 0
	}
	if err := msgpack.Unmarshal(raw, &c); err != nil {
		mgr.logger.WithError(err).Error("work: checkpoint can't be read")
		return 0
	}
	mgr.mu.Lock()
	mgr.merged = append(mgr.merged, c.Merged...)
	mgr.mu.Unlock()
	for _, e := range c.Parts {
		mgr.engine.AcquireEvidence(e)
		responses += countResponses(&e)
	}
	return responses
}

// answered is how many answered hits are in evidence.
func countResponses(e *decision.Evidence) int {
	sum := 0.0
	for _, n := range e.Counts {
		sum += n.Succeeded + n.Failed
	}
	return int(sum)
}

// Seen is what this marshal has seen of the build on trial, others' taken over included.
type EvidenceSummary struct {
	Build     int `json:"build"`
	Stage     int `json:"stage"`
	Responses int `json:"hits"` // answered, of both builds, since this one was offered
}

// Seen is that by now; all zero where no build is on trial.
func (mgr *Manager) EvidenceSummary(ctx context.Context) EvidenceSummary {
	e, _ := mgr.engine.Evidence(ctx)
	return EvidenceSummary{Build: int(e.Build), Stage: e.Stage, Responses: countResponses(&e)}
}

// inherit takes over what marshals that are gone have left.
func (mgr *Manager) takeOverExpired(ctx context.Context) {
	mgr.mu.Lock()
	holds := mgr.session.Valid(mgr.clock.Now())
	mgr.mu.Unlock()
	if !holds { // one that can't keep its own work is no heir
		return
	}
	list, err := mgr.Leases(ctx)
	if err != nil {
		return
	}
	for _, w := range lease.DueForTakeover(mgr.cfg.Name, mgr.view(), list, mgr.session.TTL) {
		if err := mgr.takeOver(ctx, w); err != nil && ctx.Err() == nil {
			mgr.logger.WithError(err).WithField("work", w).Info("work not taken over")
		}
	}
}

// Take takes a piece over for an operator, under the same terms.
func (mgr *Manager) TakeOver(ctx context.Context, w lease.ID) error {
	m := manualTakeover{w, make(chan error, 1)}
	select {
	case mgr.manualTakeovers <- m:
		return <-m.reply
	case <-ctx.Done():
		return ctx.Err()
	}
}

// take takes a piece over: its lease, then in one entry its end and this marshal's new checkpoint, and only then the module
// hears of it. Danger: told before, a module would have seen what another takes over as well if the entry is refused.
func (mgr *Manager) takeOver(ctx context.Context, w lease.ID) error {
	mgr.mu.Lock()
	session := mgr.session
	mgr.mu.Unlock()
	if w == session.ID {
		return errors.New("it is this marshal's own")
	}
	granted, err := mgr.command(ctx, &lease.Command{Operation: lease.TakeOver, ID: w, Holder: session.Holder, TTL: session.TTL})
	if err != nil {
		return err
	}
	if granted.Rejection != "" {
		return errors.New(granted.Rejection)
	}
	mgr.logger.WithFields(logrus.Fields{"work": w, "token": uint64(granted.Lease.Token)}).Info("work taken")
	var inherited checkpoint
	if len(granted.Lease.Checkpoint) > 0 {
		if err := msgpack.Unmarshal(granted.Lease.Checkpoint, &inherited); err != nil {
			return mgr.abandon(ctx, w, granted.Lease.Token, fmt.Sprintf("its checkpoint can't be read: %v", err))
		}
	}
	if err := mgr.lockCheckpoint(ctx); err != nil {
		return err
	}
	defer mgr.unlockCheckpoint()
	_, parts := mgr.checkpoint(ctx)
	grant := lease.Grant{ID: w, Token: granted.Lease.Token}
	mgr.mu.Lock()
	merged := checkpoint{Parts: append(parts, inherited.Parts...), Merged: append(append(append([]lease.Grant(nil), mgr.merged...),
		inherited.Merged...), grant)}
	mgr.mu.Unlock()
	raw, err := msgpack.Marshal(&merged)
	if err != nil {
		return fmt.Errorf("work: %w", err)
	}
	if len(raw) > lease.MaxCheckpointBytes {
		return mgr.abandon(ctx, w, granted.Lease.Token, fmt.Sprintf("its checkpoint and this marshal's are %d bytes together", len(raw)))
	}
	merge := &lease.Command{
		CheckpointSeq: mgr.newSeq(), Operation: lease.Merge, ID: w, Holder: session.Holder, Token: granted.Lease.Token, TTL: session.TTL,
		Into: session.ID, IntoToken: session.Token(), Checkpoint: raw,
	}
	r, err := mgr.commandUntilReply(ctx, merge)
	if err != nil {
		return err
	}
	if r.Rejection != "" {
		return errors.New(r.Rejection)
	}
	responses := mgr.resumeFrom(granted.Lease.Checkpoint, nil)
	mgr.mu.Lock()
	mgr.merged = append(mgr.merged, grant)
	mgr.mu.Unlock()
	mgr.logger.WithFields(logrus.Fields{"work": w, "token": uint64(granted.Lease.Token), "into": session.ID, "hits": responses}).Info("work resumed")
	return nil
}

// insist sends a command until it is answered. Danger: given up without an answer, it may have been done; the next
// checkpoint, without their work, would then be written over it.
func (mgr *Manager) commandUntilReply(ctx context.Context, c *lease.Command) (*lease.Reply, error) {
	for {
		r, err := mgr.command(ctx, c)
		if err == nil {
			return r, nil
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(mgr.cfg.TTL / renewalsPerTTL):
		}
	}
}

// end ends a piece that was taken and can't be gone on with. Danger: left as it is, it would lapse and be taken again and
// again, by one marshal after another.
func (mgr *Manager) abandon(ctx context.Context, w lease.ID, token lease.Token, reason string) error {
	mgr.mu.Lock()
	by := mgr.session.Holder
	mgr.mu.Unlock()
	r, err := mgr.commandUntilReply(ctx, &lease.Command{Operation: lease.Abandon, ID: w, Holder: by, Token: token, Reason: reason[:min(len(reason), lease.MaxReasonBytes)]})
	if err != nil {
		return err
	}
	if r.Rejection != "" {
		return errors.New(r.Rejection)
	}
	mgr.logger.WithFields(logrus.Fields{"work": w, "token": uint64(token), "why": reason}).Error("work ended")
	return fmt.Errorf("ended: %s", reason)
}

// newSeq is the number of the next checkpoint.
func (mgr *Manager) newSeq() uint64 {
	mgr.mu.Lock()
	defer mgr.mu.Unlock()
	mgr.seq++
	return mgr.seq
}

// Leave gives this marshal's work free, for another to take it at once.
func (mgr *Manager) ReleaseAll(ctx context.Context) {
	if mgr.lockCheckpoint(ctx) != nil {
		return
	}
	defer mgr.unlockCheckpoint()
	raw, _ := mgr.checkpoint(ctx)
	mgr.mu.Lock()
	session := mgr.session
	mgr.mu.Unlock()
	if !session.Valid(mgr.clock.Now()) {
		return
	}
	for _, c := range []lease.Command{mgr.nextCommand(raw), {Operation: lease.Release, ID: session.ID, Holder: session.Holder, Token: session.Token()}} {
		if _, err := mgr.command(ctx, &c); err != nil {
			mgr.logger.WithError(err).Warn("work not released")
			return
		}
	}
	mgr.logger.WithFields(logrus.Fields{"work": session.ID, "token": uint64(session.Token())}).Info("work released")
}

// Leases are all, as a server of the log has them now, without checkpoints.
func (mgr *Manager) Leases(ctx context.Context) (list lease.List, err error) {
	ctx, cancel := context.WithTimeout(ctx, mgr.cfg.TTL)
	defer cancel()
	return list, mgr.log.Get(ctx, leasePath, &list)
}

// Line is one line of `ottershed work`.
type LeaseStatus struct {
	Lease         lease.ID         `json:"work"`
	Holder        string           `json:"owner"`
	Incarnation   uint64           `json:"run,string"`
	Token         lease.Token      `json:"token"`
	RemainingMS   float64          `json:"left_ms"` // of its lease, by the log's clock as of its newest entry
	Expired       bool             `json:"lapsed"`
	CheckpointAt  float64          `json:"written_ms"` // its newest checkpoint, by the log's clock; 0: none
	CheckpointAge float64          `json:"written_ago_ms"`
	Merged        []lease.Grant    `json:"merged,omitempty"`
	HolderState   membership.State `json:"owner_state"`
	AbandonReason string           `json:"ended,omitempty"` // why it is no piece any more; owner: who ended it
}

// Answer is what `ottershed work` asks for.
func (mgr *Manager) Status(ctx context.Context) ([]LeaseStatus, error) {
	list, err := mgr.Leases(ctx)
	if err != nil {
		return nil, err
	}
	out, view := []LeaseStatus{}, mgr.view()
	for _, l := range list.Leases {
		line := LeaseStatus{
			Lease: l.ID, Holder: l.Holder.Name, Incarnation: l.Holder.Incarnation, Token: l.Token, RemainingMS: max(0, l.ExpiresAt-list.Now),
			Expired: list.Now >= l.ExpiresAt, CheckpointAt: l.CheckpointAt, CheckpointAge: list.Now - l.CheckpointAt, Merged: l.Merged, HolderState: membership.Dead,
		}
		if m, known := view.Get(membership.Name(l.Holder.Name)); known {
			line.HolderState = m.State
		}
		out = append(out, line)
	}
	for _, e := range list.Abandoned {
		out = append(out, LeaseStatus{Lease: e.ID, Holder: e.Holder, Token: e.Token, Expired: true, AbandonReason: e.Reason, CheckpointAt: e.At, CheckpointAge: list.Now - e.At})
	}
	return out, nil
}

// Part is the leases' part of the log, at a server.
type StateMachine struct {
	mu    sync.Mutex
	table *lease.Table
}

// NewPart makes it and has its list answered.
func NewStateMachine(n *raftlog.Node) *StateMachine {
	p := &StateMachine{table: lease.NewTable()}
	n.Register(Kind, p)
	n.Handle("GET "+leasePath, func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		list := p.table.List()
		p.mu.Unlock()
		raftlog.WriteJSON(w, list)
	})
	return p
}

// Apply takes a command.
func (m *StateMachine) Apply(_ uint64, at logclock.Millis, command []byte) []byte {
	var c lease.Command
	r := lease.Reply{Rejection: "not a command"}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := msgpack.Unmarshal(command, &c); err == nil {
		r = m.table.Apply(&c, at)
	}
	raw, err := msgpack.Marshal(&r)
	if err != nil {
		panic(err) // plain fields
	}
	return raw
}

// LogTime is the log's time as far as the book has kept it.
func (m *StateMachine) LogTime() logclock.Millis {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Now()
}

// Snapshot and Restore are those of the log's parts.
func (m *StateMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Encode()
}

func (m *StateMachine) Restore(raw []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Restore(raw)
}
