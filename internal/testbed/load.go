package testbed

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Load is clients that send hits to a fleet's marshals, one after another each, and bring a hit again to another marshal
// where the first one was lost with it.
type Load struct {
	fleet   *Fleet
	clients int
	seed    uint64
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu  sync.Mutex
	sum LoadResult
}

// LoadResult is how hits ended.
type LoadResult struct {
	Hits      int
	Delivered int
	Bounced   int
	Errored   int
	Resumed   int // brought again, for their marshal was lost
	Refused   int // of those: mutating ones, never forwarded again
	Lost      int // without a final answer at any marshal
	Wrong     int // with an answer that was not theirs
}

// String tells all figures. Their names are fixed here: otterlab prints them.
func (r LoadResult) String() string {
	return fmt.Sprintf("{Hits:%d Delivered:%d Bounced:%d Errored:%d Resumed:%d Refused:%d Lost:%d Wrong:%d}", r.Hits, r.Delivered,
		r.Bounced, r.Errored, r.Resumed, r.Refused, r.Lost, r.Wrong)
}

// resumeWithin is how long a client looks for a marshal that takes its hit.
const resumeWithin = 5 * time.Second

// NewLoad makes a load of so many clients; what they do is drawn from the seed.
func NewLoad(f *Fleet, clients int, seed uint64) *Load {
	return &Load{fleet: f, clients: clients, seed: seed}
}

// Start starts the clients.
func (l *Load) Start(ctx context.Context) {
	ctx, l.cancel = context.WithCancel(ctx)
	for c := range l.clients {
		l.running.Go(func() { l.client(ctx, c) })
	}
}

// Stop ends them, each after the hit that it has in hand, and tells how all ended.
func (l *Load) Stop() LoadResult {
	l.cancel()
	l.running.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sum
}

func (l *Load) client(ctx context.Context, no int) {
	chance := rand.New(rand.NewPCG(l.seed, uint64(no)+1))
	clients := NewClients()
	defer clients.Close()
	for n := 0; ctx.Err() == nil; n++ {
		group := "read"
		if chance.IntN(3) == 0 {
			group = "send-text"
		}
		l.hit(clients, chance, group, fmt.Sprintf("c%d-%d", no, n))
		time.Sleep(time.Duration(chance.IntN(20)) * time.Millisecond)
	}
}

// hit sends one hit and follows it to its end.
func (l *Load) hit(clients *Clients, chance *rand.Rand, group, id string) {
	at := chance.IntN(len(l.fleet.names))
	// Danger: a hit that is cut off as the load ends would count as lost; so each has a time of its own.
	ctx, cancel := context.WithTimeout(context.Background(), resumeWithin)
	defer cancel()
	again := false
	for {
		e, err := clients.hit(ctx, l.fleet.Listen(at), group, id, again)
		if err == nil {
			l.ended(e, group, again)
			return
		}
		if e.Status == http.StatusOK {
			l.count(func(s *LoadResult) { s.Hits, s.Wrong = s.Hits+1, s.Wrong+1 })
			return
		}
		if ctx.Err() != nil {
			l.count(func(s *LoadResult) { s.Hits, s.Lost = s.Hits+1, s.Lost+1 })
			return
		}
		// What came to a marshal may be at a node; what found none there has not begun.
		again = again || !refusedDial(err)
		at = (at + 1) % len(l.fleet.names)
		time.Sleep(5 * time.Millisecond)
	}
}

func (l *Load) count(add func(*LoadResult)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	add(&l.sum)
}

func (l *Load) ended(e Ended, group string, again bool) {
	l.count(func(s *LoadResult) {
		s.Hits++
		if again {
			s.Resumed++
			if group == "send-text" {
				s.Refused++
			}
		}
		switch e.Status {
		case http.StatusOK:
			s.Delivered++
		case http.StatusServiceUnavailable:
			s.Bounced++
		default:
			s.Errored++
		}
	})
}

// refusedDial tells whether no connection came up at all.
func refusedDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
