package failover

import (
	"context"
	"errors"
	"fmt"
	"io"
	"ottershed/decision"
	"ottershed/internal/clock"
	"ottershed/internal/cluster/lease"
	"ottershed/internal/cluster/membership"
	"ottershed/internal/rollout"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"
)

// book is a log of one server: its time is the test's own, and a command can be held up.
type fakeLog struct {
	mu   sync.Mutex
	part StateMachine
	now  float64
	hold func(*lease.Command) error // called with the lock free, before the command; an error loses it
}

func (l *fakeLog) Command(_ context.Context, _ byte, raw []byte) ([]byte, error) {
	var c lease.Command
	if err := msgpack.Unmarshal(raw, &c); err != nil {
		return nil, err
	}
	l.mu.Lock()
	hold := l.hold
	l.mu.Unlock()
	if hold != nil {
		if err := hold(&c); err != nil {
			return nil, err
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.part.Apply(0, l.now, raw), nil
}

func (l *fakeLog) Get(_ context.Context, _ string, to any) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	*to.(*lease.List) = l.part.table.List()
	return nil
}

func (l *fakeLog) apply(t *testing.T, c lease.Command) lease.Reply {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.part.table.Apply(&c, l.now)
	if r.Rejection != "" {
		t.Fatalf("%+v: %s", c, r.Rejection)
	}
	return r
}

func (l *fakeLog) get(w lease.ID) (lease.Lease, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.part.table.Get(w)
}

// module has seen so many hits, and adopts.
type fakeEngine struct {
	mu        sync.Mutex
	responses float64
	notified  int
}

func (m *fakeEngine) Evidence(context.Context) (decision.Evidence, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return decision.Evidence{Build: 8, Counts: []decision.EndpointCount{{Endpoint: "a", Build: 8, Succeeded: m.responses}}}, true
}

func (m *fakeEngine) AcquireEvidence(e decision.Evidence) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range e.Counts {
		m.responses += c.Succeeded
	}
}

func (m *fakeEngine) RevokeEvidence() {}
func (m *fakeEngine) HandleEvent(decision.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.notified++
}

type fakeController struct{}

func (fakeController) VoteFenced(decision.Vote, []rollout.Fence) {}
func (fakeController) View() *membership.View {
	return &membership.View{Self: "b", Members: []membership.Member{
		{Name: "b"},
		{Name: "a", State: membership.Dead},
	}}
}
func (fakeController) Changes() <-chan membership.Change { return nil }

// started is a keeper of marshal b that holds its own piece, beside a dead one's piece with a checkpoint.
func startManager(t *testing.T, leaseSpan time.Duration, theirs []byte) (*fakeLog, *fakeEngine, *Manager) {
	t.Helper()
	b := &fakeLog{part: StateMachine{table: lease.NewTable()}}
	b.apply(t, lease.Command{Operation: lease.Acquire, ID: "trial/a", Holder: lease.Holder{Name: "a", Incarnation: 1}, TTL: 1000})
	b.apply(t, lease.Command{
		Operation: lease.Renew, ID: "trial/a", Holder: lease.Holder{Name: "a", Incarnation: 1}, Token: 1, TTL: 1000,
		Checkpoint: theirs,
	})
	log := logrus.New()
	log.SetOutput(io.Discard)
	m := &fakeEngine{responses: 3}
	k := New(Config{Name: "b", Incarnation: 2, TTL: leaseSpan}, b, m, fakeController{}, fakeController{}, clock.New(), log)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { k.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	waitFor(t, "its own piece is held", func() bool { _, held := b.get("trial/b"); return held })
	return b, m, k
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not within ten seconds: ", what)
		}
	}
}

func (l *fakeLog) advance(ms float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.now += ms
}

// While the answer to a merge is long in coming, this marshal goes on keeping its own lease, and writes no checkpoint that
// lacks what it has just taken over. Before, one loop did both: a merge without an answer cost the taker its own piece.
func TestRenewsDuringTakeover(t *testing.T) {
	theirs, err := msgpack.Marshal(&checkpoint{Parts: []decision.Evidence{{Build: 8, Counts: []decision.EndpointCount{{Endpoint: "a", Build: 8, Succeeded: 40}}}}})
	if err != nil {
		t.Fatal(err)
	}
	b, m, _ := startManager(t, 400*time.Millisecond, theirs)
	held, free, once := make(chan struct{}), make(chan struct{}), sync.Once{}
	keeps := make(chan int, 1000)
	b.mu.Lock()
	b.hold = func(c *lease.Command) error {
		switch c.Operation {
		case lease.Merge:
			once.Do(func() { close(held) })
			<-free
		case lease.Renew:
			keeps <- len(c.Checkpoint)
		}
		return nil
	}
	b.mu.Unlock()
	b.advance(1001) // the dead one's lease has lapsed
	<-held
	for len(keeps) > 0 {
		<-keeps
	}
	for range 8 { // two leases' time
		if n := <-keeps; n > 0 {
			t.Errorf("a checkpoint of %d bytes was written while another's work was being merged", n)
		}
	}
	close(free)
	waitFor(t, "merged", func() bool { _, there := b.get("trial/a"); return !there })
	waitFor(t, "adopted", func() bool { m.mu.Lock(); defer m.mu.Unlock(); return m.responses == 43 })
	waitFor(t, "checkpoints again", func() bool { return <-keeps > 0 })
	var both checkpoint
	l, _ := b.get("trial/b")
	if err := msgpack.Unmarshal(l.Checkpoint, &both); err != nil || len(both.Merged) != 1 {
		t.Errorf("%v: %+v", err, both)
	}
	sum := 0
	for _, e := range both.Parts {
		sum += countResponses(&e)
	}
	if sum != 43 {
		t.Errorf("%d hits are in its checkpoint", sum)
	}
}

// A checkpoint that can't be read ends the piece, once, and is seen; before, it was taken again and again.
func TestUnreadableCheckpoint(t *testing.T) {
	b, m, k := startManager(t, 200*time.Millisecond, []byte("not a checkpoint"))
	lost := false
	b.mu.Lock()
	b.hold = func(c *lease.Command) error {
		if c.Operation == lease.Abandon && !lost {
			lost = true
			return errors.New("its answer is lost")
		}
		return nil
	}
	b.mu.Unlock()
	b.advance(1001)
	waitFor(t, "ended", func() bool { _, there := b.get("trial/a"); return !there })
	lines, err := k.Status(t.Context())
	if err != nil || len(lines) != 2 || !strings.Contains(lines[1].AbandonReason, "can't be read") || lines[1].Holder != "b" {
		t.Errorf("%v: %+v", err, lines)
	}
	if m.mu.Lock(); m.responses != 3 {
		t.Errorf("%v hits", m.responses)
	}
	m.mu.Unlock()
	if l, _ := b.get("trial/b"); l.Token != 2 {
		t.Errorf("its own piece: %+v", l)
	}
}

// A vote that moves a build on goes out only under a lease that stands by this marshal's own clock; one that goes back always.
func TestVotesUnderLease(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	m := &fakeEngine{}
	k := New(Config{Name: "b", Incarnation: 2, TTL: time.Second}, &fakeLog{part: StateMachine{table: lease.NewTable()}}, m, fakeController{}, fakeController{}, clock.New(), log)
	for i, v := range []decision.Verdict{decision.VoteAdvance, decision.VoteHold, decision.VoteRollback, decision.VoteNone} {
		k.Vote(decision.Vote{Verdict: v})
		if want := min(i+1, 2); m.notified != want {
			t.Error(fmt.Sprint("verdict ", v, ": told ", m.notified, " times that it did not go, want ", want))
		}
	}
}
