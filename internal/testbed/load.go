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
	Requests        int
	Succeeded       int
	Rejected        int
	Failed          int
	Resumed         int // brought again, for their marshal was lost
	ResumesRejected int // of those: mutating ones, never forwarded again
	Lost            int // without a final answer at any marshal
	Wrong           int // with an answer that was not theirs
}

// String tells all figures. Their names are fixed here: otterlab prints them.
func (r LoadResult) String() string {
	return fmt.Sprintf("{Hits:%d Delivered:%d Bounced:%d Errored:%d Resumed:%d Refused:%d Lost:%d Wrong:%d}", r.Requests, r.Succeeded,
		r.Rejected, r.Failed, r.Resumed, r.ResumesRejected, r.Lost, r.Wrong)
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
	random := rand.New(rand.NewPCG(l.seed, uint64(no)+1))
	clients := NewClients()
	defer clients.Close()
	for n := 0; ctx.Err() == nil; n++ {
		class := "read"
		if random.IntN(3) == 0 {
			class = "send-text"
		}
		l.sendUntilDone(clients, random, class, fmt.Sprintf("c%d-%d", no, n))
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	}
}

// hit sends one hit and follows it to its end.
func (l *Load) sendUntilDone(clients *Clients, random *rand.Rand, class, id string) {
	at := random.IntN(len(l.fleet.names))
	// Danger: a hit that is cut off as the load ends would count as lost; so each has a time of its own.
	ctx, cancel := context.WithTimeout(context.Background(), resumeWithin)
	defer cancel()
	resumed := false
	for {
		e, err := clients.send(ctx, l.fleet.Listen(at), class, id, resumed)
		if err == nil {
			l.record(e, class, resumed)
			return
		}
		if e.Status == http.StatusOK {
			l.count(func(s *LoadResult) { s.Requests, s.Wrong = s.Requests+1, s.Wrong+1 })
			return
		}
		if ctx.Err() != nil {
			l.count(func(s *LoadResult) { s.Requests, s.Lost = s.Requests+1, s.Lost+1 })
			return
		}
		// What came to a marshal may be at a node; what found none there has not begun.
		resumed = resumed || !neverConnected(err)
		at = (at + 1) % len(l.fleet.names)
		time.Sleep(5 * time.Millisecond)
	}
}

func (l *Load) count(add func(*LoadResult)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	add(&l.sum)
}

func (l *Load) record(e Result, class string, resumed bool) {
	l.count(func(s *LoadResult) {
		s.Requests++
		if resumed {
			s.Resumed++
			if class == "send-text" {
				s.ResumesRejected++
			}
		}
		switch e.Status {
		case http.StatusOK:
			s.Succeeded++
		case http.StatusServiceUnavailable:
			s.Rejected++
		default:
			s.Failed++
		}
	})
}

// refusedDial tells whether no connection came up at all.
func neverConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
