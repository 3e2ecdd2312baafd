package failover

import (
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"ottershed/decision"
	"ottershed/internal/clock"
	"ottershed/internal/cluster/lease"
	"ottershed/internal/cluster/membership"
	"ottershed/internal/rollout"
)

var errCommandLost = errors.New("command lost")

// fakeLog is a log with one server, whose time the test sets.
type fakeLog struct {
	mu        sync.Mutex
	machine   StateMachine
	now       float64
	intercept func(*lease.Command) error // called before each command, without the lock; an error drops the command
}

func (l *fakeLog) Command(_ context.Context, _ byte, raw []byte) ([]byte, error) {
	var command lease.Command
	if err := msgpack.Unmarshal(raw, &command); err != nil {
		return nil, err
	}
	l.mu.Lock()
	intercept := l.intercept
	l.mu.Unlock()
	if intercept != nil {
		if err := intercept(&command); err != nil {
			return nil, err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Apply(0, l.now, raw), nil
}

func (l *fakeLog) Get(_ context.Context, _ string, to any) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	*to.(*lease.List) = l.machine.table.List()
	return nil
}

func (l *fakeLog) apply(t *testing.T, c lease.Command) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	if r := l.machine.table.Apply(&c, l.now); r.Rejection != "" {
		t.Fatalf("command %+v rejected: %s", c, r.Rejection)
	}
}

func (l *fakeLog) get(id lease.ID) (lease.Lease, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.table.Get(id)
}

func (l *fakeLog) setIntercept(intercept func(*lease.Command) error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.intercept = intercept
}

// expire advances the log's time past the expiry of leases with a TTL of one second.
func (l *fakeLog) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.now += 1001
}

// fakeEngine has evidence with a number of responses, to which AddEvidence adds.
type fakeEngine struct {
	mu            sync.Mutex
	responses     float64
	handledEvents int // calls of HandleEvent
	discards      int // calls of DiscardEvidence
}

func (e *fakeEngine) Evidence(context.Context) (decision.Evidence, bool) {
	return evidenceWith(e.responseCount()), true
}

func (e *fakeEngine) AddEvidence(evidence decision.Evidence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range evidence.Counts {
		e.responses += c.Succeeded
	}
}

func (e *fakeEngine) DiscardEvidence() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.discards++
}

func (e *fakeEngine) HandleEvent(decision.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handledEvents++
}

func (e *fakeEngine) responseCount() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.responses
}

// evidenceWith returns evidence with a number of responses.
func evidenceWith(responses float64) decision.Evidence {
	return decision.Evidence{Build: 8, Counts: []decision.EndpointCount{{Endpoint: "a", Build: 8, Succeeded: responses}}}
}

// fakeCluster is a controller that ignores votes, and a membership in which b is alive and a is dead.
type fakeCluster struct{}

func (fakeCluster) VoteWithFences(decision.Vote, []rollout.Fence) {}

func (fakeCluster) View() *membership.View {
	return &membership.View{Self: "b", Members: []membership.Member{
		{Name: "b"},
		{Name: "a", State: membership.Dead},
	}}
}

func (fakeCluster) Changes() <-chan membership.Change { return nil }

func newManager(log Log, engine Engine, ttl time.Duration) *Manager {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	cfg := Config{Name: "b", Incarnation: 2, TTL: ttl}
	return New(cfg, log, engine, fakeCluster{}, fakeCluster{}, clock.New(), logger)
}

// startManager runs the manager of instance b for the length of the test and waits until b holds its own lease. The log
// also has the lease of the dead instance a, with the given checkpoint.
func startManager(t *testing.T, ttl time.Duration, deadCheckpoint []byte) (*fakeLog, *fakeEngine, *Manager) {
	t.Helper()
	log := &fakeLog{machine: StateMachine{table: lease.NewTable()}}
	dead := lease.Holder{Name: "a", Incarnation: 1}
	log.apply(t, lease.Command{Operation: lease.Acquire, ID: "trial/a", Holder: dead, TTL: 1000})
	log.apply(t, lease.Command{
		Operation: lease.Renew, ID: "trial/a", Holder: dead, Token: 1, TTL: 1000, Checkpoint: deadCheckpoint,
	})
	engine := &fakeEngine{responses: 3}
	manager := newManager(log, engine, ttl)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { manager.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	waitFor(t, "own lease acquired", func() bool { _, held := log.get("trial/b"); return held })
	return log, engine, manager
}

func waitFor(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not met within 10s: ", condition)
		}
	}
}

// Guards against two failures while a merge waits for its reply: the instance's own lease expires, or a renewal writes
// a checkpoint that lacks the evidence that is being merged and overwrites the merged checkpoint.
func TestRenewalsDuringMergeWriteNoCheckpoint(t *testing.T) {
	deadCheckpoint, err := msgpack.Marshal(&checkpoint{Evidence: []decision.Evidence{evidenceWith(40)}})
	if err != nil {
		t.Fatalf("encode the dead instance's checkpoint: %v", err)
	}
	log, engine, _ := startManager(t, 400*time.Millisecond, deadCheckpoint)
	mergeStarted, unblockMerge, once := make(chan struct{}), make(chan struct{}), sync.Once{}
	renewals := make(chan int, 1000) // length of each renewal's checkpoint in bytes
	log.setIntercept(func(c *lease.Command) error {
		switch c.Operation {
		case lease.Merge:
			once.Do(func() { close(mergeStarted) })
			<-unblockMerge
		case lease.Renew:
			renewals <- len(c.Checkpoint)
		}
		return nil
	})
	log.expire() // the dead instance's lease has expired
	<-mergeStarted
	for len(renewals) > 0 {
		<-renewals
	}
	for range 8 { // renewals during twice the TTL
		if n := <-renewals; n > 0 {
			t.Errorf("renewal during the merge: got a checkpoint of %d bytes, want none", n)
		}
	}
	close(unblockMerge)
	waitFor(t, "lease of a merged", func() bool { _, exists := log.get("trial/a"); return !exists })
	waitFor(t, "evidence of a delivered to the engine", func() bool { return engine.responseCount() == 43 })
	waitFor(t, "a renewal with a checkpoint", func() bool { return <-renewals > 0 })
	l, _ := log.get("trial/b")
	combined, err := decodeCheckpoint(l.Checkpoint)
	if err != nil || len(combined.Merged) != 1 {
		t.Errorf("got decoding error %v, checkpoint %+v, want one merged lease", err, combined)
	}
	responses := 0
	for _, e := range combined.Evidence {
		responses += countResponses(&e)
	}
	if responses != 43 {
		t.Errorf("got %d responses in the checkpoint, want 43", responses)
	}
}

// Guards against a lease with an unreadable checkpoint that is taken over again and again. It is abandoned once, even
// if the first command is lost, and listed with the reason.
func TestUnreadableCheckpointIsAbandonedOnce(t *testing.T) {
	log, engine, manager := startManager(t, 200*time.Millisecond, []byte("not a checkpoint"))
	commandLost := false
	log.setIntercept(func(c *lease.Command) error {
		if c.Operation == lease.Abandon && !commandLost {
			commandLost = true
			return errCommandLost
		}
		return nil
	})
	log.expire()
	waitFor(t, "lease of a abandoned", func() bool { _, exists := log.get("trial/a"); return !exists })
	leases, err := manager.Status(t.Context())
	if err != nil || len(leases) != 2 || leases[1].Holder != "b" ||
		!strings.Contains(leases[1].AbandonReason, "can't be read") {
		t.Errorf("lease status: got error %v, %+v, want the lease of a abandoned by b in second place", err, leases)
	}
	if n := engine.responseCount(); n != 3 {
		t.Errorf("got evidence on %v responses, want 3", n)
	}
	if l, _ := log.get("trial/b"); l.Token != 2 {
		t.Errorf("own lease of b: got %+v, want token 2", l)
	}
}

// Guards against a vote on evidence that a successor has too: without a valid lease a vote that advances or holds a
// build is not sent and reported as failed. A rollback vote is sent.
func TestVoteWithoutLeaseSendsRollbackOnly(t *testing.T) {
	engine := &fakeEngine{}
	manager := newManager(&fakeLog{machine: StateMachine{table: lease.NewTable()}}, engine, time.Second)
	for _, test := range []struct {
		verdict decision.Verdict
		want    int // votes reported as failed so far
	}{{decision.VoteAdvance, 1}, {decision.VoteHold, 2}, {decision.VoteRollback, 2}, {decision.VoteNone, 2}} {
		manager.Vote(decision.Vote{Verdict: test.verdict})
		if engine.handledEvents != test.want {
			t.Errorf("verdict %v: got %d votes reported as failed, want %d", test.verdict, engine.handledEvents, test.want)
		}
	}
}

// Guards the error types by which callers tell why a takeover failed.
func TestTakeOverErrorTypes(t *testing.T) {
	_, _, manager := startManager(t, 200*time.Millisecond, []byte("not a checkpoint"))
	if err := manager.TakeOver(t.Context(), "trial/b"); !errors.Is(err, ErrOwnLease) {
		t.Errorf("takeover of the own lease: got error %v, want ErrOwnLease", err)
	}
	var rejection *RejectedError
	if err := manager.TakeOver(t.Context(), "trial/a"); !errors.As(err, &rejection) ||
		!strings.Contains(rejection.Reason, "for 1000 ms more") {
		t.Errorf("takeover of a lease that has not expired: got error %v, want a *RejectedError with 1000 ms left", err)
	}
}

// Guards the error type of a takeover that abandoned the lease because the work could not be resumed.
func TestTakeOverReportsAbandonedLease(t *testing.T) {
	// With a TTL of a minute no automatic takeover occurs during the test.
	log, _, manager := startManager(t, time.Minute, []byte("not a checkpoint"))
	log.expire()
	var abandoned *AbandonedError
	if err := manager.TakeOver(t.Context(), "trial/a"); !errors.As(err, &abandoned) ||
		!strings.Contains(abandoned.Reason, "can't be read") {
		t.Errorf("got takeover error %v, want an *AbandonedError for an unreadable checkpoint", err)
	}
}
