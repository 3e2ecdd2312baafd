package ingress

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"ottershed/internal/clock"
)

// departures are the ways in which a client ends its connection.
var departures = map[string]func(*client){
	"closes": (*client).closeConn,
	"resets": func(c *client) {
		if err := c.Conn.(*net.TCPConn).SetLinger(0); err != nil {
			c.t.Error(err)
		}
		c.closeConn()
	},
}

// firstRequestTime is the X-Time-Left of firstRequest.
const firstRequestTime = time.Second

// furtherInput is what a client has sent behind a request that waits for its result.
var furtherInput = map[string]string{
	"nothing": "", "a byte": "G", "a request": nextRequest,
	"many requests": strings.Repeat(nextRequest, 100), // more than the buffer of http.Server holds
}

// Guards against a client's leaving that is not seen because it has sent more than the request that waits: the engine would
// start further attempts.
func TestDepartureBehindFurtherInputReachesEngine(t *testing.T) {
	for how, leave := range departures {
		for what, further := range furtherInput {
			t.Run(how+" behind "+what, func(t *testing.T) {
				_, fake, address := start(t, 10)
				c := dial(t, address)
				sentAt := time.Now()
				c.write(firstRequest)
				request := <-fake.requests
				c.write(further)
				if leave(c); <-fake.disconnected != request {
					t.Error("ClientDisconnected was called with another request")
				}
				if waited := time.Since(sentAt); waited >= firstRequestTime {
					t.Errorf("ClientDisconnected was called after %v, want it within the request's time of %v", waited, firstRequestTime)
				}
				if request.MaySend() {
					t.Error("attempts of the request may be sent, want none")
				}
				if len(fake.requests) > 0 {
					t.Error("engine: got a request behind the one whose client has left")
				}
			})
		}
	}
}

// Guards against a request that reaches the engine although its client had left before it was read.
func TestRequestOfDepartedClientNeverReachesEngine(t *testing.T) {
	for how, leave := range departures {
		for what, further := range furtherInput {
			t.Run(how+" behind "+what, func(t *testing.T) {
				gated := gatedListener{listen(t), make(chan struct{})}
				server, fake := serve(t, gated, 10, nil)
				c := dial(t, gated.Addr().String())
				c.write(firstRequest + further)
				leave(c)
				close(gated.accept)
				other := dial(t, gated.Addr().String())
				other.send("GET /up", "", "")
				other.readResponse() // the first connection was accepted before this one
				waitFor(t, "connection of the departed client has ended", func() bool { return server.limiter.connCount() == 1 })
				if len(fake.requests) > 0 {
					t.Error("engine: got a request, want none")
				}
			})
		}
	}
}

// Guards against requests that are sent on while it can't be seen whether their client has left, since it has sent more than
// is read ahead. They are rejected, on a connection that stays open for those behind them.
func TestRequestsBehindMuchInputAreRejected(t *testing.T) {
	_, fake, address := start(t, 10)
	c := dial(t, address)
	c.write(firstRequest)
	request := <-fake.requests
	if !request.MaySend() {
		t.Error("attempts of a request alone may not be sent, want them sent")
	}
	const further = 500
	c.write(strings.Repeat(nextRequest, further))
	waitFor(t, "attempts may no longer be sent", func() bool { return !request.MaySend() })
	request.Respond(failedResult())
	respondToRequests(t, fake, failedResult)
	c.readFailedOrKept()
	var statuses []int
	for range further {
		statuses = append(statuses, c.readFailedOrKept())
	}
	if statuses[0] != http.StatusServiceUnavailable || statuses[further-1] != http.StatusInternalServerError {
		t.Errorf("got status %d for the first request behind, %d for the last, want 503 while the end is not in sight, then 500",
			statuses[0], statuses[further-1])
	}
}

// Beyond the limit on connections, a rejection closes its connection, but not if further requests are here already: they
// would get no response.
func TestRejectionBeyondLimitLeavesNoRequestWithoutResponse(t *testing.T) {
	l := listen(t)
	serve(t, l, 10, func(server *Server) { server.limiter.maxConnections = 0 })
	address := l.Addr().String()
	for further := range 3 {
		c := dial(t, address)
		c.write(firstRequest + strings.Repeat(nextRequest, further))
		for i := range further + 1 {
			response, _ := c.readResponse()
			if response.StatusCode != http.StatusServiceUnavailable || response.Close != (i == further) {
				t.Errorf("response %d of %d: got status %d, close %v, want 503, and a close of the last alone", i+1, further+1,
					response.StatusCode, response.Close)
			}
		}
	}
}

// The time of a request that waits behind an earlier one of its connection counts from its arrival. Guards against responses
// that come after the client has given up, and against attempts that tell endpoints of time that is over.
func TestTimeOfRequestCountsFromArrivalBehindAnother(t *testing.T) {
	const served = 100 * time.Millisecond // time of the first request
	for timeLeft, reachesEngine := range map[string]bool{"0.050": false, "1": true} {
		server, fake, address := start(t, 10)
		conn := dial(t, address)
		conn.write(firstRequest)
		request := <-fake.requests
		conn.write(strings.Replace(nextRequest, "X-Time-Left: 1\r\n", "X-Time-Left: "+timeLeft+"\r\n", 1))
		waitFor(t, "the second request is read ahead", func() bool { return !server.limiter.hasUnreadBytes() })
		time.Sleep(served)
		request.Respond(failedResult())
		conn.readFailedOrKept()
		if !reachesEngine {
			if status := conn.readFailedOrKept(); status != http.StatusServiceUnavailable || len(fake.requests) > 0 {
				t.Errorf("time over: got status %d, %d requests at the engine, want 503, none", status, len(fake.requests))
			}
			continue
		}
		second := <-fake.requests
		if waited := server.clock.Now() - second.ReceivedAt; clock.Duration(waited) < served {
			t.Errorf("second request: counts from %g ms ago, want from its arrival at least %v ago", waited, served)
		}
		second.Respond(failedResult())
		conn.readFailedOrKept()
	}
}
