// Package keeper brings internal/cluster/lease to one marshal: it holds the marshal's own piece of work in the replicated log,
// writes checkpoints of it, takes over those of marshals that are gone, and lets votes out only under a lease.
package failover

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"ottershed/decision"
	"ottershed/internal/clock"
	"ottershed/internal/cluster/lease"
	"ottershed/internal/cluster/membership"
	"ottershed/internal/cluster/quorum"
	"ottershed/internal/cluster/raftlog"
	"ottershed/internal/rollout"
)

// Kind is that of its commands in the log.
const Kind byte = 'l'

// Log is the replicated log, at a server or at a marshal that follows.
type Log interface {
	Command(ctx context.Context, kind byte, command []byte) ([]byte, error)
	Get(ctx context.Context, path string, to any) error
}

// Module is the marshal whose work it is.
type Module interface {
	Evidence(ctx context.Context) (decision.Evidence, bool)
	Adopt(decision.Evidence)
	Disown()
	Told(decision.Event)
}

// Desk takes votes under fences.
type Desk interface {
	VoteUnder(v decision.Vote, fences []rollout.Fence)
}

// Members tells who is there.
type Members interface {
	View() *membership.View
	Changes() <-chan membership.Change
}

// Config is what the operator's file says, and what the process is.
type Config struct {
	Name  string
	Run   uint64
	Lease time.Duration
}

const (
	ticks     = 4 // of a lease: between two commands that keep it
	leasePath = "/lease/list"
)

// Keeper is a marshal's part.
type Keeper struct {
	cfg    Config
	log    Log
	module Module
	desk   Desk
	view   func() *membership.View
	// changes are members' states as they change: work is taken over as soon as a death is known.
	changes <-chan membership.Change
	clock   *clock.Clock
	lines   logrus.FieldLogger
	hand    chan manual // takes that an operator asks for

	// writing is held while a checkpoint is on its way. Danger: what this marshal has seen is written over the checkpoint that
	// holds another's work as well, if it was gathered before; so one is written at a time.
	writing chan struct{}

	mu     sync.Mutex
	own    lease.Own
	seq    uint64       // of the newest checkpoint
	merged []lease.Past // whose work is among this marshal's, for the build on trial
	build  decision.Build
}

type manual struct {
	work  lease.Work
	reply chan error
}

// checkpoint is what a piece holds: what the marshal had seen, and what it had taken over that its module had not yet.
// Its tags stay whatever the fields are called: another version may go on from it.
type checkpoint struct {
	Parts  []decision.Evidence `msgpack:"Parts"`
	Merged []lease.Past        `msgpack:"Merged"`
}

// New makes a keeper; Run does the rest.
func New(cfg Config, l Log, m Module, d Desk, members Members, c *clock.Clock, lines logrus.FieldLogger) *Keeper {
	return &Keeper{cfg: cfg, log: l, module: m, desk: d, view: members.View, changes: members.Changes(), clock: c, lines: lines, hand: make(chan manual), writing: make(chan struct{}, 1),
		own: lease.Own{Work: lease.TrialOf(cfg.Name), By: lease.Holder{Name: cfg.Name, Run: cfg.Run},
			Span: float64(cfg.Lease) / float64(time.Millisecond)}}
}

// Vote lets a vote out under the leases that this marshal holds, or tells the module that it did not go.
func (k *Keeper) Vote(v decision.Vote) {
	k.mu.Lock()
	may, fences := k.own.MayVote(v.Verdict, k.clock.Now()), k.fences()
	k.mu.Unlock()
	if !may {
		k.module.Told(decision.StageNews{ToVote: true, VoteFate: decision.VoteError})
		return
	}
	k.desk.VoteUnder(v, fences)
}

// fences holds with the lock held.
func (k *Keeper) fences() []rollout.Fence {
	if k.own.Token() == 0 {
		return nil
	}
	out := []rollout.Fence{{Work: string(k.own.Work), Token: uint64(k.own.Token())}}
	for _, p := range k.merged {
		out = append(out, rollout.Fence{Work: string(p.Work), Token: uint64(p.Token)})
	}
	return out
}

// Run holds this marshal's work until ctx ends. Another's is taken over beside that: a piece whose answer is long in coming
// must not cost this marshal its own lease.
func (k *Keeper) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() { k.takeOver(ctx) })
	every := time.NewTicker(k.cfg.Lease / ticks)
	defer every.Stop()
	for {
		k.keep(ctx)
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
	}
}

// takeOver takes over what others leave, a piece at a time.
func (k *Keeper) takeOver(ctx context.Context) {
	every := time.NewTicker(k.cfg.Lease / ticks)
	defer every.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-k.hand:
			m.reply <- k.take(ctx, m.work)
		case c := <-k.changes:
			if c.State >= membership.Dead {
				k.inherit(ctx)
			}
		case <-every.C:
			k.inherit(ctx) // what was lost, or was not due yet as its owner died
		}
	}
}

// command sends a command and takes its reply.
func (k *Keeper) command(ctx context.Context, c *lease.Command) (*lease.Reply, error) {
	raw, err := msgpack.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("work: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, k.cfg.Lease)
	defer cancel()
	sent := k.clock.Now()
	if raw, err = k.log.Command(ctx, Kind, raw); err != nil {
		return nil, err
	}
	r := &lease.Reply{}
	if err := msgpack.Unmarshal(raw, r); err != nil {
		return nil, fmt.Errorf("work: %w", err)
	}
	k.mu.Lock()
	disowned := k.own.Said(c, sent, r)
	if disowned {
		k.merged = nil
	}
	k.mu.Unlock()
	if disowned {
		k.module.Disown()
		k.lines.WithFields(logrus.Fields{"work": k.own.Work, "token": uint64(c.Token), "refused": r.Refused}).Warn("work lost")
	}
	return r, nil
}

// keep claims this marshal's own piece, or keeps it, with what the module has seen by now.
func (k *Keeper) keep(ctx context.Context) {
	var raw []byte
	select {
	case k.writing <- struct{}{}:
		defer k.written()
		raw, _ = k.checkpoint(ctx)
	default: // a piece is just being merged: the lease alone is kept
	}
	c := k.next(raw)
	r, err := k.command(ctx, &c)
	switch {
	case err != nil:
		if ctx.Err() == nil {
			k.lines.WithError(err).Debug("work not kept")
		}
	case c.Verb == lease.Claim && r.Refused != "":
		k.lines.WithFields(logrus.Fields{"work": c.Work, "refused": r.Refused}).Debug("work not claimed")
	case c.Verb == lease.Claim:
		k.lines.WithFields(logrus.Fields{"work": c.Work, "token": uint64(r.Lease.Token), "bytes": len(r.Lease.Checkpoint)}).Info("work claimed")
		k.resume(r.Lease.Checkpoint, r.Lease.Merged)
	}
}

// write waits until no other checkpoint is on its way; written ends that.
func (k *Keeper) write(ctx context.Context) error {
	select {
	case k.writing <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (k *Keeper) written() { <-k.writing }

// next is the command that keeps this marshal's piece.
func (k *Keeper) next(raw []byte) lease.Command {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.own.Next(raw)
	if raw != nil {
		k.seq++
		c.Seq = k.seq
	}
	return c
}

// checkpoint is what this marshal has seen by now.
func (k *Keeper) checkpoint(ctx context.Context) ([]byte, []decision.Evidence) {
	ctx, cancel := context.WithTimeout(ctx, k.cfg.Lease/ticks)
	defer cancel()
	e, any := k.module.Evidence(ctx)
	if !any {
		return nil, nil
	}
	k.mu.Lock()
	if e.Build != k.build { // fences of an earlier build's work have no use any more
		k.build, k.merged = e.Build, nil
	}
	c := checkpoint{Parts: []decision.Evidence{e}, Merged: k.merged}
	k.mu.Unlock()
	raw, err := msgpack.Marshal(&c)
	if err != nil || len(raw) > lease.LongestCheck {
		k.lines.WithError(err).WithField("bytes", len(raw)).Warn("work: checkpoint not written")
		return nil, c.Parts
	}
	return raw, c.Parts
}

// resume has the module go on from a checkpoint.
func (k *Keeper) resume(raw []byte, merged []lease.Past) (hits int) {
	var c checkpoint
	if len(raw) == 0 {
		return 0
	}
	if err := msgpack.Unmarshal(raw, &c); err != nil {
		k.lines.WithError(err).Error("work: checkpoint can't be read")
		return 0
	}
	k.mu.Lock()
	k.merged = append(k.merged, c.Merged...)
	k.mu.Unlock()
	for _, e := range c.Parts {
		k.module.Adopt(e)
		hits += answered(&e)
	}
	return hits
}

// answered is how many answered hits are in evidence.
func answered(e *decision.Evidence) int {
	sum := 0.0
	for _, n := range e.Counts {
		sum += n.Good + n.Bad
	}
	return int(sum)
}

// Seen is what this marshal has seen of the build on trial, others' taken over included.
type Seen struct {
	Build int `json:"build"`
	Stage int `json:"stage"`
	Hits  int `json:"hits"` // answered, of both builds, since this one was offered
}

// Seen is that by now; all zero where no build is on trial.
func (k *Keeper) Seen(ctx context.Context) Seen {
	e, _ := k.module.Evidence(ctx)
	return Seen{Build: int(e.Build), Stage: e.Stage, Hits: answered(&e)}
}

// inherit takes over what marshals that are gone have left.
func (k *Keeper) inherit(ctx context.Context) {
	k.mu.Lock()
	holds := k.own.Holds(k.clock.Now())
	k.mu.Unlock()
	if !holds { // one that can't keep its own work is no heir
		return
	}
	list, err := k.Leases(ctx)
	if err != nil {
		return
	}
	for _, w := range lease.Due(k.cfg.Name, k.view(), list, k.own.Span) {
		if err := k.take(ctx, w); err != nil && ctx.Err() == nil {
			k.lines.WithError(err).WithField("work", w).Info("work not taken over")
		}
	}
}

// Take takes a piece over for an operator, under the same terms.
func (k *Keeper) Take(ctx context.Context, w lease.Work) error {
	m := manual{w, make(chan error, 1)}
	select {
	case k.hand <- m:
		return <-m.reply
	case <-ctx.Done():
		return ctx.Err()
	}
}

// take takes a piece over: its lease, then in one entry its end and this marshal's new checkpoint, and only then the module
// hears of it. Danger: told before, a module would have seen what another takes over as well if the entry is refused.
func (k *Keeper) take(ctx context.Context, w lease.Work) error {
	k.mu.Lock()
	own := k.own
	k.mu.Unlock()
	if w == own.Work {
		return errors.New("it is this marshal's own")
	}
	taken, err := k.command(ctx, &lease.Command{Verb: lease.Take, Work: w, By: own.By, Span: own.Span})
	if err != nil {
		return err
	}
	if taken.Refused != "" {
		return errors.New(taken.Refused)
	}
	k.lines.WithFields(logrus.Fields{"work": w, "token": uint64(taken.Lease.Token)}).Info("work taken")
	var theirs checkpoint
	if len(taken.Lease.Checkpoint) > 0 {
		if err := msgpack.Unmarshal(taken.Lease.Checkpoint, &theirs); err != nil {
			return k.end(ctx, w, taken.Lease.Token, fmt.Sprintf("its checkpoint can't be read: %v", err))
		}
	}
	if err := k.write(ctx); err != nil {
		return err
	}
	defer k.written()
	_, parts := k.checkpoint(ctx)
	past := lease.Past{Work: w, Token: taken.Lease.Token}
	k.mu.Lock()
	both := checkpoint{Parts: append(parts, theirs.Parts...), Merged: append(append(append([]lease.Past(nil), k.merged...),
		theirs.Merged...), past)}
	k.mu.Unlock()
	raw, err := msgpack.Marshal(&both)
	if err != nil {
		return fmt.Errorf("work: %w", err)
	}
	if len(raw) > lease.LongestCheck {
		return k.end(ctx, w, taken.Lease.Token, fmt.Sprintf("its checkpoint and this marshal's are %d bytes together", len(raw)))
	}
	merge := &lease.Command{Seq: k.newSeq(), Verb: lease.Merge, Work: w, By: own.By, Token: taken.Lease.Token, Span: own.Span,
		Into: own.Work, IntoToken: own.Token(), Checkpoint: raw}
	r, err := k.insist(ctx, merge)
	if err != nil {
		return err
	}
	if r.Refused != "" {
		return errors.New(r.Refused)
	}
	hits := k.resume(taken.Lease.Checkpoint, nil)
	k.mu.Lock()
	k.merged = append(k.merged, past)
	k.mu.Unlock()
	k.lines.WithFields(logrus.Fields{"work": w, "token": uint64(taken.Lease.Token), "into": own.Work, "hits": hits}).Info("work resumed")
	return nil
}

// insist sends a command until it is answered. Danger: given up without an answer, it may have been done; the next
// checkpoint, without their work, would then be written over it.
func (k *Keeper) insist(ctx context.Context, c *lease.Command) (*lease.Reply, error) {
	for {
		r, err := k.command(ctx, c)
		if err == nil {
			return r, nil
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(k.cfg.Lease / ticks):
		}
	}
}

// end ends a piece that was taken and can't be gone on with. Danger: left as it is, it would lapse and be taken again and
// again, by one marshal after another.
func (k *Keeper) end(ctx context.Context, w lease.Work, token lease.Token, why string) error {
	k.mu.Lock()
	by := k.own.By
	k.mu.Unlock()
	r, err := k.insist(ctx, &lease.Command{Verb: lease.End, Work: w, By: by, Token: token, Why: why[:min(len(why), lease.LongestWhy)]})
	if err != nil {
		return err
	}
	if r.Refused != "" {
		return errors.New(r.Refused)
	}
	k.lines.WithFields(logrus.Fields{"work": w, "token": uint64(token), "why": why}).Error("work ended")
	return fmt.Errorf("ended: %s", why)
}

// newSeq is the number of the next checkpoint.
func (k *Keeper) newSeq() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.seq++
	return k.seq
}

// Leave gives this marshal's work free, for another to take it at once.
func (k *Keeper) Leave(ctx context.Context) {
	if k.write(ctx) != nil {
		return
	}
	defer k.written()
	raw, _ := k.checkpoint(ctx)
	k.mu.Lock()
	own := k.own
	k.mu.Unlock()
	if !own.Holds(k.clock.Now()) {
		return
	}
	for _, c := range []lease.Command{k.next(raw), {Verb: lease.Release, Work: own.Work, By: own.By, Token: own.Token()}} {
		if _, err := k.command(ctx, &c); err != nil {
			k.lines.WithError(err).Warn("work not released")
			return
		}
	}
	k.lines.WithFields(logrus.Fields{"work": own.Work, "token": uint64(own.Token())}).Info("work released")
}

// Leases are all, as a server of the log has them now, without checkpoints.
func (k *Keeper) Leases(ctx context.Context) (list lease.List, err error) {
	ctx, cancel := context.WithTimeout(ctx, k.cfg.Lease)
	defer cancel()
	return list, k.log.Get(ctx, leasePath, &list)
}

// Line is one line of `ottershed work`.
type Line struct {
	Work    lease.Work       `json:"work"`
	Owner   string           `json:"owner"`
	Run     uint64           `json:"run,string"`
	Token   lease.Token      `json:"token"`
	Left    float64          `json:"left_ms"` // of its lease, by the log's clock as of its newest entry
	Lapsed  bool             `json:"lapsed"`
	Written float64          `json:"written_ms"` // its newest checkpoint, by the log's clock; 0: none
	Ago     float64          `json:"written_ago_ms"`
	Merged  []lease.Past     `json:"merged,omitempty"`
	State   membership.State `json:"owner_state"`
	Ended   string           `json:"ended,omitempty"` // why it is no piece any more; owner: who ended it
}

// Answer is what `ottershed work` asks for.
func (k *Keeper) Answer(ctx context.Context) ([]Line, error) {
	list, err := k.Leases(ctx)
	if err != nil {
		return nil, err
	}
	out, view := []Line{}, k.view()
	for _, l := range list.Leases {
		line := Line{Work: l.Work, Owner: l.Owner.Name, Run: l.Owner.Run, Token: l.Token, Left: max(0, l.Until-list.Now),
			Lapsed: list.Now >= l.Until, Written: l.Written, Ago: list.Now - l.Written, Merged: l.Merged, State: membership.Dead}
		if m, known := view.Get(membership.Name(l.Owner.Name)); known {
			line.State = m.State
		}
		out = append(out, line)
	}
	for _, e := range list.Ended {
		out = append(out, Line{Work: e.Work, Owner: e.By, Token: e.Token, Lapsed: true, Ended: e.Why, Written: e.At, Ago: list.Now - e.At})
	}
	return out, nil
}

// Part is the leases' part of the log, at a server.
type Part struct {
	mu   sync.Mutex
	book *lease.Book
}

// NewPart makes it and has its list answered.
func NewPart(n *raftlog.Node) *Part {
	p := &Part{book: lease.NewBook()}
	n.Add(Kind, p)
	n.Handle("GET "+leasePath, func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		list := p.book.List()
		p.mu.Unlock()
		raftlog.Answer(w, list)
	})
	return p
}

// Apply takes a command.
func (p *Part) Apply(_ uint64, at quorum.Millis, command []byte) []byte {
	var c lease.Command
	r := lease.Reply{Refused: "not a command"}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := msgpack.Unmarshal(command, &c); err == nil {
		r = p.book.Apply(&c, at)
	}
	raw, err := msgpack.Marshal(&r)
	if err != nil {
		panic(err) // plain fields
	}
	return raw
}

// LogTime is the log's time as far as the book has kept it.
func (p *Part) LogTime() quorum.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.book.Now()
}

// Snapshot and Restore are those of the log's parts.
func (p *Part) Snapshot() ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.book.Encode()
}

func (p *Part) Restore(raw []byte) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.book.Restore(raw)
}
