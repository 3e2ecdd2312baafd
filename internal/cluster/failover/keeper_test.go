package failover

import (
	"context"
	"errors"
	"fmt"
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

// book is a log of one server: its time is the test's own, and a command can be held up.
type book struct {
	mu   sync.Mutex
	part Part
	at   float64
	hold func(*lease.Command) error // called with the lock free, before the command; an error loses it
}

func (b *book) Command(_ context.Context, _ byte, raw []byte) ([]byte, error) {
	var c lease.Command
	if err := msgpack.Unmarshal(raw, &c); err != nil {
		return nil, err
	}
	b.mu.Lock()
	hold := b.hold
	b.mu.Unlock()
	if hold != nil {
		if err := hold(&c); err != nil {
			return nil, err
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.part.Apply(0, b.at, raw), nil
}

func (b *book) Get(_ context.Context, _ string, to any) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	*to.(*lease.List) = b.part.book.List()
	return nil
}

func (b *book) apply(t *testing.T, c lease.Command) lease.Reply {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.part.book.Apply(&c, b.at)
	if r.Refused != "" {
		t.Fatalf("%+v: %s", c, r.Refused)
	}
	return r
}

func (b *book) find(w lease.Work) (lease.Lease, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.part.book.Find(w)
}

// module has seen so many hits, and adopts.
type module struct {
	mu   sync.Mutex
	hits float64
	told int
}

func (m *module) Evidence(context.Context) (decision.Evidence, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return decision.Evidence{Build: 8, Counts: []decision.NodeCount{{Node: "a", Build: 8, Good: m.hits}}}, true
}

func (m *module) Adopt(e decision.Evidence) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, c := range e.Counts {
		m.hits += c.Good
	}
}

func (m *module) Disown() {}
func (m *module) Told(decision.Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.told++
}

type nobody struct{}

func (nobody) VoteUnder(decision.Vote, []rollout.Fence) {}
func (nobody) View() *membership.View {
	return &membership.View{Self: "b", Members: []membership.Member{{Name: "b"},
		{Name: "a", State: membership.Dead}}}
}
func (nobody) Changes() <-chan membership.Change { return nil }

// started is a keeper of marshal b that holds its own piece, beside a dead one's piece with a checkpoint.
func started(t *testing.T, leaseSpan time.Duration, theirs []byte) (*book, *module, *Keeper) {
	t.Helper()
	b := &book{part: Part{book: lease.NewBook()}}
	b.apply(t, lease.Command{Verb: lease.Claim, Work: "trial/a", By: lease.Holder{Name: "a", Run: 1}, Span: 1000})
	b.apply(t, lease.Command{Verb: lease.Keep, Work: "trial/a", By: lease.Holder{Name: "a", Run: 1}, Token: 1, Span: 1000,
		Checkpoint: theirs})
	log := logrus.New()
	log.SetOutput(io.Discard)
	m := &module{hits: 3}
	k := New(Config{Name: "b", Run: 2, Lease: leaseSpan}, b, m, nobody{}, nobody{}, clock.New(), log)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { k.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	until(t, "its own piece is held", func() bool { _, held := b.find("trial/b"); return held })
	return b, m, k
}

func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("not within ten seconds: ", what)
		}
	}
}

func (b *book) pass(ms float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.at += ms
}

// While the answer to a merge is long in coming, this marshal goes on keeping its own lease, and writes no checkpoint that
// lacks what it has just taken over. Before, one loop did both: a merge without an answer cost the taker its own piece.
func TestKeepsWhileItTakes(t *testing.T) {
	theirs, err := msgpack.Marshal(&checkpoint{Parts: []decision.Evidence{{Build: 8, Counts: []decision.NodeCount{{Node: "a", Build: 8, Good: 40}}}}})
	if err != nil {
		t.Fatal(err)
	}
	b, m, _ := started(t, 400*time.Millisecond, theirs)
	held, free, once := make(chan struct{}), make(chan struct{}), sync.Once{}
	keeps := make(chan int, 1000)
	b.mu.Lock()
	b.hold = func(c *lease.Command) error {
		switch c.Verb {
		case lease.Merge:
			once.Do(func() { close(held) })
			<-free
		case lease.Keep:
			keeps <- len(c.Checkpoint)
		}
		return nil
	}
	b.mu.Unlock()
	b.pass(1001) // the dead one's lease has lapsed
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
	until(t, "merged", func() bool { _, there := b.find("trial/a"); return !there })
	until(t, "adopted", func() bool { m.mu.Lock(); defer m.mu.Unlock(); return m.hits == 43 })
	until(t, "checkpoints again", func() bool { return <-keeps > 0 })
	var both checkpoint
	l, _ := b.find("trial/b")
	if err := msgpack.Unmarshal(l.Checkpoint, &both); err != nil || len(both.Merged) != 1 {
		t.Errorf("%v: %+v", err, both)
	}
	sum := 0
	for _, e := range both.Parts {
		sum += answered(&e)
	}
	if sum != 43 {
		t.Errorf("%d hits are in its checkpoint", sum)
	}
}

// A checkpoint that can't be read ends the piece, once, and is seen; before, it was taken again and again.
func TestUnreadableCheckpoint(t *testing.T) {
	b, m, k := started(t, 200*time.Millisecond, []byte("not a checkpoint"))
	lost := false
	b.mu.Lock()
	b.hold = func(c *lease.Command) error {
		if c.Verb == lease.End && !lost {
			lost = true
			return errors.New("its answer is lost")
		}
		return nil
	}
	b.mu.Unlock()
	b.pass(1001)
	until(t, "ended", func() bool { _, there := b.find("trial/a"); return !there })
	lines, err := k.Answer(t.Context())
	if err != nil || len(lines) != 2 || !strings.Contains(lines[1].Ended, "can't be read") || lines[1].Owner != "b" {
		t.Errorf("%v: %+v", err, lines)
	}
	if m.mu.Lock(); m.hits != 3 {
		t.Errorf("%v hits", m.hits)
	}
	m.mu.Unlock()
	if l, _ := b.find("trial/b"); l.Token != 2 {
		t.Errorf("its own piece: %+v", l)
	}
}

// A vote that moves a build on goes out only under a lease that stands by this marshal's own clock; one that goes back always.
func TestVotesUnderLease(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	m := &module{}
	k := New(Config{Name: "b", Run: 2, Lease: time.Second}, &book{part: Part{book: lease.NewBook()}}, m, nobody{}, nobody{}, clock.New(), log)
	for i, v := range []decision.Verdict{decision.VoteOn, decision.VoteHold, decision.VoteBack, decision.VoteNone} {
		k.Vote(decision.Vote{Verdict: v})
		if want := min(i+1, 2); m.told != want {
			t.Error(fmt.Sprint("verdict ", v, ": told ", m.told, " times that it did not go, want ", want))
		}
	}
}
