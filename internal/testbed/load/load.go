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

// RequestLatency is the latency that endpoints should have (platform.Endpoint.SetBehavior) while balancers are killed
// under load. It makes it likely that requests are in flight when their balancer dies.
const RequestLatency = 30 * time.Millisecond

const (
	resumeTimeout      = 5 * time.Second      // time limit of the search for a balancer that accepts the request
	resumeInterval     = 5 * time.Millisecond // pause between two attempts at different balancers
	maxThinkTimeMillis = 20                   // maximum of the random pause between two requests of a client
	sendTextOneIn      = 3                    // on average, one of this many requests is non-idempotent
)

// Generator runs clients that each send requests in sequence to the balancers of a fleet. A client resumes a request at
// another balancer if the first one was lost with the request.
type Generator struct {
	fleet   *fleet.Fleet
	clients int
	seed    uint64
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu     sync.Mutex
	result Result
}

// Result counts requests by outcome.
type Result struct {
	Requests        int
	Succeeded       int // requests with status 200
	Rejected        int // requests with status 503
	Failed          int // requests with any other status
	Resumed         int // requests that were sent again because their balancer was lost
	ResumesRejected int // non-idempotent requests among Resumed, which a balancer never forwards again
	Lost            int // requests without a response from any balancer within resumeTimeout
	Mismatched      int // requests that got the response to another request
}

// String formats all counts. The names are part of the output of `testbed fleet` and must not change.
func (r Result) String() string {
	return fmt.Sprintf("{Hits:%d Delivered:%d Bounced:%d Errored:%d Resumed:%d Refused:%d Lost:%d Wrong:%d}",
		r.Requests, r.Succeeded, r.Rejected, r.Failed, r.Resumed, r.ResumesRejected, r.Lost, r.Mismatched)
}

// New returns a generator with a number of clients. The seed determines the requests of each client.
func New(f *fleet.Fleet, clients int, seed uint64) *Generator {
	return &Generator{fleet: f, clients: clients, seed: seed}
}

// Start starts the clients, which run until Stop is called or ctx ends.
func (g *Generator) Start(ctx context.Context) {
	ctx, g.cancel = context.WithCancel(ctx)
	for client := range g.clients {
		g.running.Go(func() { g.runClient(ctx, client) })
	}
}

// Stop stops the clients after their current requests and returns the counts. Start must have been called.
func (g *Generator) Stop() Result {
	g.cancel()
	g.running.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.result
}

// runClient sends the requests of one client until ctx ends.
func (g *Generator) runClient(ctx context.Context, client int) {
	random := rand.New(rand.NewPCG(g.seed, uint64(client)+1))
	clients := NewClients()
	defer clients.Close()
	for n := 0; ctx.Err() == nil; n++ {
		class := ClassRead
		if random.IntN(sendTextOneIn) == 0 {
			class = ClassSendText
		}
		g.sendUntilDone(clients, random.IntN(len(g.fleet.Names())), class, fmt.Sprintf("c%d-%d", client, n))
		time.Sleep(time.Duration(random.IntN(maxThinkTimeMillis)) * time.Millisecond)
	}
}

// sendUntilDone sends one request to an instance and, on failure, to the following instances, until one responds.
func (g *Generator) sendUntilDone(clients *Clients, instance int, class, id string) {
	// The context does not derive from that of the generator: a request canceled by Stop would count as lost.
	ctx, cancel := context.WithTimeout(context.Background(), resumeTimeout)
	defer cancel()
	resumed := false
	for {
		response, err := clients.send(ctx, g.fleet.RequestAddress(instance), class, id, resumed)
		switch {
		case err == nil:
			g.record(response.Status, class, resumed)
			return
		case errors.Is(err, ErrMismatchedResponse):
			g.count(func(r *Result) { r.Mismatched++ })
			return
		case ctx.Err() != nil:
			g.count(func(r *Result) { r.Lost++ })
			return
		}
		// A request that reached a balancer may have reached an endpoint; a request without a connection has not.
		resumed = resumed || !isDialError(err)
		instance = (instance + 1) % len(g.fleet.Names())
		time.Sleep(resumeInterval)
	}
}

// count counts one request and applies add to the result.
func (g *Generator) count(add func(*Result)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.result.Requests++
	add(&g.result)
}

// record counts a request that got a response.
func (g *Generator) record(status int, class string, resumed bool) {
	g.count(func(r *Result) {
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

// isDialError reports whether a request failed because no connection was established.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}
