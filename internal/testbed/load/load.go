package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"ottershed/internal/testbed/fleet"
)

// RequestLatency is how long endpoints should work on a request (platform.Endpoint.Behave) while balancers are killed
// under load, so that requests are in flight when their balancer dies.
const RequestLatency = 30 * time.Millisecond

const (
	resumeTimeout      = 5 * time.Second      // for which a client looks for a balancer that takes its request
	resumeInterval     = 5 * time.Millisecond // between two balancers that it tries
	maxThinkTimeMillis = 20                   // between two requests of a client, drawn
	sendTextOneIn      = 3                    // one request in so many is non-idempotent
)

// Generator is clients that each send one request after another to the balancers of a fleet, and resume a request at another
// balancer where the first one was lost with it.
type Generator struct {
	fleet   *fleet.Fleet
	clients int
	seed    uint64
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu     sync.Mutex
	result Result
}

// Result counts requests by how they ended.
type Result struct {
	Requests        int
	Succeeded       int
	Rejected        int
	Failed          int
	Resumed         int // sent again, for their balancer was lost
	ResumesRejected int // of those: non-idempotent ones, which a balancer never forwards again
	Lost            int // without a response of any balancer
	Wrong           int // with a response to another request
}

// String writes all figures. `testbed fleet` prints them, so their names are fixed here.
func (r Result) String() string {
	return fmt.Sprintf("{Hits:%d Delivered:%d Bounced:%d Errored:%d Resumed:%d Refused:%d Lost:%d Wrong:%d}",
		r.Requests, r.Succeeded, r.Rejected, r.Failed, r.Resumed, r.ResumesRejected, r.Lost, r.Wrong)
}

// New makes a load of so many clients; the seed decides what they send.
func New(f *fleet.Fleet, clients int, seed uint64) *Generator {
	return &Generator{fleet: f, clients: clients, seed: seed}
}

// Start starts the clients.
func (l *Generator) Start(ctx context.Context) {
	ctx, l.cancel = context.WithCancel(ctx)
	for client := range l.clients {
		l.running.Go(func() { l.runClient(ctx, client) })
	}
}

// Stop ends the clients, each after the request that it is sending, and returns the counts.
func (l *Generator) Stop() Result {
	l.cancel()
	l.running.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.result
}

// runClient is one client.
func (l *Generator) runClient(ctx context.Context, client int) {
	random := rand.New(rand.NewPCG(l.seed, uint64(client)+1))
	clients := NewClients()
	defer clients.Close()
	for n := 0; ctx.Err() == nil; n++ {
		class := ClassRead
		if random.IntN(sendTextOneIn) == 0 {
			class = ClassSendText
		}
		l.sendUntilDone(clients, random.IntN(len(l.fleet.Names())), class, fmt.Sprintf("c%d-%d", client, n))
		time.Sleep(time.Duration(random.IntN(maxThinkTimeMillis)) * time.Millisecond)
	}
}

// sendUntilDone sends one request, first to an instance and then to those after it, until one responds.
func (l *Generator) sendUntilDone(clients *Clients, instance int, class, id string) {
	// The request's context is not the load's: a request that the end of the load cuts off would count as lost.
	ctx, cancel := context.WithTimeout(context.Background(), resumeTimeout)
	defer cancel()
	resumed := false
	for {
		response, err := clients.send(ctx, l.fleet.Listen(instance), class, id, resumed)
		switch {
		case err == nil:
			l.record(response.Status, class, resumed)
			return
		case errors.Is(err, ErrMismatchedResponse):
			l.count(func(r *Result) { r.Wrong++ })
			return
		case ctx.Err() != nil:
			l.count(func(r *Result) { r.Lost++ })
			return
		}
		// A request that came to a balancer may be at an endpoint; one whose connection failed has not begun.
		resumed = resumed || !isDialError(err)
		instance = (instance + 1) % len(l.fleet.Names())
		time.Sleep(resumeInterval)
	}
}

// count counts a request and how it ended.
func (l *Generator) count(add func(*Result)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Requests++
	add(&l.result)
}

// record counts a request that has a response.
func (l *Generator) record(status int, class string, resumed bool) {
	l.count(func(r *Result) {
		if resumed {
			r.Resumed++
			if class == ClassSendText {
				r.ResumesRejected++
			}
		}
		switch status {
		case http.StatusOK:
			r.Succeeded++
		case http.StatusServiceUnavailable:
			r.Rejected++
		default:
			r.Failed++
		}
	})
}

// isDialError tells whether a request failed because its connection did not come up.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
