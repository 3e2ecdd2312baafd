package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"ottershed/decision"
	"ottershed/internal/clock"
	"ottershed/internal/engine"
	"ottershed/internal/settings"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// stand is a node's stand-in: answer does what it likes with each request on each connection.
type fakeEndpoint struct {
	net.Listener
	requests, conns atomic.Int32
	closed          chan struct{} // one for each connection that the marshal ended
}

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

func newFakeEndpoint(t *testing.T, respond func(net.Conn, *http.Request)) *fakeEndpoint {
	s := &fakeEndpoint{Listener: listen(t), closed: make(chan struct{}, 100)}
	go func() {
		for {
			c, err := s.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						s.closed <- struct{}{}
						return
					}
					s.requests.Add(1)
					body, _ := io.ReadAll(req.Body)
					req.Header.Set("Body", string(body))
					respond(c, req)
				}
			}()
		}
	}()
	return s
}

func say(text string) func(net.Conn, *http.Request) {
	return func(c net.Conn, _ *http.Request) { io.WriteString(c, text) }
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Backend-Load: inflight=7,queue=2,util=0.61\r\n\r\nhi"

func newPool(maxConnections int) *Pool {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return NewPool(clock.New(), settings.Network{IdleAfter: 2000, ConnectTimeout: 100}, maxConnections, log)
}

// forward carries one forward to address and waits for its ending.
func (p *Pool) attempt(address, method string, remaining decision.Millis, during func(cancel func())) engine.AttemptResult {
	ends := make(chan engine.AttemptResult, 2)
	p.SetAddress("n", address)
	cancel := p.StartAttempt(engine.Attempt{
		Endpoint: "n", Address: address, Deadline: p.clock.Now() + remaining,
		Request: &engine.Request{
			Method: method, URI: "/read/x?q=%2f;1", Host: "app.svc", Body: []byte("body"),
			Fields: map[string][]string{"X-Correlation-Id": {"c1"}, "Idempotency-Key": {"k"}, "X-Time-Left": {"9"}},
		},
		OnEnd: func(e engine.AttemptResult) { ends <- e },
	})
	if during != nil {
		during(cancel)
	}
	return <-ends
}

func refusing(t *testing.T) string {
	l := listen(t)
	defer l.Close()
	return l.Addr().String()
}

// never gives an address at which no connection comes up: its queue is full.
func never(t *testing.T) string {
	l := listen(t)
	raw, err := l.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) { syscall.Listen(int(fd), 0) })
	for range 10 {
		c, err := net.DialTimeout("tcp", l.Addr().String(), 20*time.Millisecond)
		if err != nil {
			return l.Addr().String()
		}
		t.Cleanup(func() { c.Close() })
	}
	t.Fatal("the listener's queue never fills")
	return ""
}

func TestOutcomes(t *testing.T) {
	held := make(chan struct{})
	defer close(held)
	hold := func(net.Conn, *http.Request) { <-held }
	reset := func(c net.Conn, _ *http.Request) { c.(*net.TCPConn).SetLinger(0); c.Close() }
	for name, tc := range map[string]struct {
		response func(net.Conn, *http.Request)
		want     decision.Outcome
		reused   int
	}{
		"delivered":              {say(ok), decision.Succeeded, 1},
		"delivered, then closes": {func(c net.Conn, _ *http.Request) { say("HTTP/1.1 200 OK\r\n\r\nhi")(c, nil); c.Close() }, decision.Succeeded, 0},
		"delivered in chunks":    {say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"), decision.Succeeded, 1},
		"after a continue":       {say("HTTP/1.1 100 Continue\r\n\r\n" + ok), decision.Succeeded, 1},
		"more than the answer":   {say(ok + "x"), decision.Succeeded, 0},
		"500":                    {say("HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n"), decision.EndpointFailed, 1},
		"400":                    {say("HTTP/1.1 400 E\r\nContent-Length: 0\r\n\r\n"), decision.EndpointFailed, 1},
		"turned away by 503":     {say("HTTP/1.1 503 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"), decision.EndpointRejected, 1},
		"turned away by 504":     {say("HTTP/1.1 504 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"), decision.EndpointRejected, 1},
		"503 that may have run":  {say("HTTP/1.1 503 E\r\nContent-Length: 0\r\n\r\n"), decision.EndpointFailed, 1},
		"500 that says it didn't": {
			say("HTTP/1.1 500 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"),
			decision.EndpointFailed, 1,
		},
		"reset":             {reset, decision.ConnectionBroken, 0},
		"closed":            {func(c net.Conn, _ *http.Request) { c.Close() }, decision.ConnectionBroken, 0},
		"cut short":         {func(c net.Conn, _ *http.Request) { say(ok[:len(ok)-1])(c, nil); c.Close() }, decision.ConnectionBroken, 0},
		"no HTTP":           {say("what?\r\n\r\n"), decision.MalformedResponse, 0},
		"noise":             {say("\x16\x03\x01\x00\xff\n\n"), decision.MalformedResponse, 0},
		"half a head":       {say("HTTP/1.1 200 OK\r\nContent-Le"), decision.MalformedResponse, 0},
		"half a body":       {say(ok[:len(ok)-1]), decision.MalformedResponse, 0},
		"a length too long": {say("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nhi"), decision.MalformedResponse, 0},
		"3 GB":              {say("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nhi"), decision.MalformedResponse, 0},
		"two lengths":       {say("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 1\r\n\r\nhi"), decision.MalformedResponse, 0},
		"a length below 0":  {say("HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nhi"), decision.MalformedResponse, 0},
		"no length":         {say("HTTP/1.1 200 OK\r\n\r\nhi"), decision.MalformedResponse, 0},
		"another protocol":  {say("HTTP/1.1 101 Go\r\nUpgrade: x\r\n\r\n"), decision.MalformedResponse, 0},
		"body too long":     {say("HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n" + strings.Repeat("x", 65537)), decision.MalformedResponse, 0},
		"headers too long":  {say("HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 3*maxBody)), decision.MalformedResponse, 0},
		"twice":             {say(ok + ok), decision.Succeeded, 0},
		"no answer":         {hold, decision.TimedOut, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s, p := newFakeEndpoint(t, tc.response), newPool(4)
			end := p.attempt(s.Addr().String(), "POST", 200, nil)
			if end.Outcome != tc.want || (end.Response != nil) != (tc.want == decision.Succeeded) {
				t.Errorf("ended %d, want %d; reply %v", end.Outcome, tc.want, end.Response)
			}
			if end.Response != nil && string(end.Response.Body) != "hi" {
				t.Errorf("body %q", end.Response.Body)
			}
			if n := s.requests.Load(); n != 1 {
				t.Errorf("sent %d times", n)
			}
			if p.connections != tc.reused || len(p.endpoints["n"].idle) != tc.reused {
				t.Errorf("held %d, idle %d, want %d", p.connections, len(p.endpoints["n"].idle), tc.reused)
			}
		})
	}
}

func TestNoConnection(t *testing.T) {
	for name, tc := range map[string]struct {
		address func(*testing.T) string
		left    decision.Millis
		want    decision.Outcome
	}{
		"refused":                    {refusing, 500, decision.Unreachable},
		"never up":                   {never, 500, decision.Unreachable},
		"never up in the hit's time": {never, 30, decision.NotSent},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool(4)
			if end := p.attempt(tc.address(t), "GET", tc.left, nil); end.Outcome != tc.want || p.connections != 0 {
				t.Errorf("ended %d, want %d; held %d", end.Outcome, tc.want, p.connections)
			}
		})
	}
}

// Figures of a load report that are none are left out.
func TestLoad(t *testing.T) {
	for text, want := range map[string]decision.Load{
		"util=0.5,queue=NaN": {Util: 0.5, Queue: -1}, "util=Inf,queue=3": {Util: -1, Queue: 3},
		"util=-Inf,queue=-3": {Util: -1, Queue: -1}, "util=1e999,;;,=,queue": {Util: -1, Queue: -1},
	} {
		if got := parseLoad(text); *got != want {
			t.Errorf("%q: %+v, want %+v", text, *got, want)
		}
	}
}

// What is called off ends as recalled, with its connection closed before that is told; so does nothing twice.
func TestCancel(t *testing.T) {
	came, held := make(chan struct{}), make(chan struct{})
	s := newFakeEndpoint(t, func(net.Conn, *http.Request) { close(came); <-held })
	p := newPool(4)
	end := p.attempt(s.Addr().String(), "POST", 5000, func(cancel func()) { <-came; cancel(); cancel() })
	if end.Outcome != decision.Canceled || p.connections != 0 {
		t.Errorf("ended %d, held %d", end.Outcome, p.connections)
	}
	close(held)
	<-s.closed
	if end := p.attempt(never(t), "POST", 5000, func(cancel func()) { cancel() }); end.Outcome != decision.NotSent {
		t.Errorf("called off before it was sent: ended %d", end.Outcome)
	}
}

// The request passes on as it came but for the time that is left.
func TestRequest(t *testing.T) {
	var got string
	s := newFakeEndpoint(t, func(c net.Conn, r *http.Request) {
		got = fmt.Sprint(r.Method, r.RequestURI, r.Host, r.Header["X-Correlation-Id"], r.Header["Idempotency-Key"], r.Header["Body"])
		if remaining := r.Header.Get("X-Time-Left"); remaining < "0.4" || remaining > "0.500" {
			t.Errorf("time left %q of half a second", remaining)
		}
		say(ok)(c, r)
	})
	end := newPool(4).attempt(s.Addr().String(), "POST", 500, nil)
	if want := "POST/read/x?q=%2f;1app.svc[c1] [k] [body]"; got != want || *end.Load != (decision.Load{Util: 0.61, Queue: 2}) {
		t.Errorf("got %s, want %s; load %+v", got, want, end.Load)
	}
}

// A kept connection serves the next forward, unless the node has closed it or its time is over.
func TestReuse(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(p *Pool, address string)
		conns  int32
	}{
		"again":            {func(p *Pool, _ string) { p.rested("n") }, 1},
		"not rested":       {func(p *Pool, _ string) { p.reuseDelay = time.Hour }, 2},
		"retired":          {func(p *Pool, _ string) { p.idleLimit = 0 }, 2},
		"swept":            {func(p *Pool, _ string) { p.idleLimit = 0; p.retire(false); p.idleLimit = time.Hour }, 2},
		"shut":             {func(p *Pool, _ string) { p.CloseIdle("n") }, 2},
		"drained and back": {func(p *Pool, address string) { p.SetAddress("n", ""); p.SetAddress("n", address) }, 2},
	} {
		t.Run(name, func(t *testing.T) {
			s, p := newFakeEndpoint(t, say(ok)), newPool(4)
			p.SetAddress("n", s.Addr().String())
			send := func() {
				ends := make(chan engine.AttemptResult, 1)
				p.StartAttempt(engine.Attempt{
					Endpoint: "n", Address: s.Addr().String(), Deadline: p.clock.Now() + 1000,
					Request: &engine.Request{Method: "GET", URI: "/", Host: "h"}, OnEnd: func(e engine.AttemptResult) { ends <- e },
				})
				if end := <-ends; end.Outcome != decision.Succeeded { // so the stand-in has counted its connection
					t.Errorf("ended %d", end.Outcome)
				}
			}
			send()
			tc.change(p, s.Addr().String())
			send()
			if n := s.conns.Load(); n != tc.conns {
				t.Errorf("%d connections, want %d", n, tc.conns)
			}
		})
	}
}

// rested has the idle connections to a node stand as if they had rested; they can't be used before.
func (p *Pool) rested(id decision.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.endpoints[id].idle {
		c.idleSince = c.idleSince.Add(-p.reuseDelay)
	}
}

// A second answer to a request, which comes when the next one has been written, is never taken for the answer to that.
func TestLateSecondResponse(t *testing.T) {
	const late = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
	firsts := make(chan net.Conn, 2)
	s := newFakeEndpoint(t, func(c net.Conn, r *http.Request) {
		if r.Header.Get("X-Correlation-Id") == "first" {
			say(ok)(c, r)
			firsts <- c
			return
		}
		first := <-firsts
		io.WriteString(first, late) // the node's own fault: it answers the first request once more
		if first != c {
			say(ok)(c, r)
		}
	})
	p := newPool(4)
	p.reuseDelay = time.Hour
	p.SetAddress("n", s.Addr().String())
	send := func(id string) engine.AttemptResult {
		ends := make(chan engine.AttemptResult, 1)
		p.StartAttempt(engine.Attempt{
			Endpoint: "n", Address: s.Addr().String(), Deadline: p.clock.Now() + 1000,
			Request: &engine.Request{Method: "POST", URI: "/", Host: "h", Fields: map[string][]string{"X-Correlation-Id": {id}}},
			OnEnd:   func(e engine.AttemptResult) { ends <- e },
		})
		return <-ends
	}
	send("first")
	if end := send("next"); end.Outcome != decision.Succeeded || string(end.Response.Body) != "hi" {
		t.Errorf("ended %d with %q", end.Outcome, end.Response.Body)
	}
	p.mu.Lock()
	old := p.endpoints["n"].idle[0] // what has come on it meanwhile is seen once it has rested
	p.mu.Unlock()
	for end := time.Now().Add(5 * time.Second); old.quiet(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the second answer did not come")
		}
	}
	p.rested("n")
	p.mu.Lock()
	p.endpoints["n"].idle = p.endpoints["n"].idle[:1] // only that one
	p.connections = 1
	p.mu.Unlock()
	if c := p.takeIdle(p.targetAt("n", s.Addr().String())); c != nil || p.count() != 0 {
		t.Errorf("a connection with a second answer on it is used again, %d held", p.count())
	}
}

// What comes between the decision for a node and the first byte: another machine at the node's address, its drain, a
// lower cap. The forward isn't sent, and the next one is.
func TestBetweenDecisionAndSending(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(p *Pool, address string)
		idle   int // connections that are kept nevertheless
	}{
		"another machine there": {func(p *Pool, address string) { p.SetAddress("n", address) }, 0},
		"drains":                {func(p *Pool, _ string) { p.SetAddress("n", "") }, 0},
		"drains and is back":    {func(p *Pool, address string) { p.SetAddress("n", ""); p.SetAddress("n", address) }, 0},
		"a lower cap":           {func(p *Pool, _ string) { p.CancelUnsent("n") }, 1},
	} {
		for _, when := range []string{"while it is dialed", "before it is taken"} {
			t.Run(name+" "+when, func(t *testing.T) {
				s, p := newFakeEndpoint(t, say(ok)), newPool(4)
				address := s.Addr().String()
				p.attempt(address, "GET", 1000, nil)
				began := p.targetAt("n", address)
				requests := s.requests.Load()
				if when == "while it is dialed" { // all that is idle has not rested yet
					p.reuseDelay = time.Hour
					dial := p.dial
					p.dial = func(ctx context.Context, d *net.Dialer, to string) (net.Conn, error) {
						c, err := dial(ctx, d, to)
						tc.change(p, address)
						return c, err
					}
				} else {
					p.rested("n")
					tc.change(p, address)
				}
				end := p.runAttempt(t.Context(), engine.Attempt{
					Endpoint: "n", Address: address, Deadline: p.clock.Now() + 1000,
					Request: &engine.Request{Method: "POST", URI: "/", Host: "h"},
				}, began)
				if end.Outcome != decision.NotSent || s.requests.Load() != requests {
					t.Errorf("ended %d, sent %d times", end.Outcome, s.requests.Load()-requests)
				}
				if p.count() != tc.idle {
					t.Errorf("%d connections kept, want %d", p.count(), tc.idle)
				}
			})
		}
	}
}

// A forward that is called off, or whose last moment to be sent passes, before its first byte is out is never sent: the
// hit may have its final answer by then, or the nodes may have forgotten the forward that it repeats.
func TestNotSentAnyMore(t *testing.T) {
	for name, over := range map[string]func(cancel func(), f *engine.Attempt, p *Pool){
		"called off": func(cancel func(), _ *engine.Attempt, _ *Pool) { cancel() },
		"too late": func(_ func(), f *engine.Attempt, p *Pool) {
			for p.clock.Now() < f.SendBy {
				time.Sleep(time.Millisecond)
			}
		},
	} {
		for _, when := range []string{"while it is dialed", "before it begins"} {
			t.Run(name+" "+when, func(t *testing.T) {
				s, p := newFakeEndpoint(t, say(ok)), newPool(4)
				address := s.Addr().String()
				p.attempt(address, "GET", 1000, nil)
				requests, to := s.requests.Load(), p.targetAt("n", address)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				now := p.clock.Now()
				f := engine.Attempt{
					Endpoint: "n", Address: address, SendBy: now + 20, Deadline: now + 1000,
					Request: &engine.Request{Method: "POST", URI: "/", Host: "h"},
				}
				if when == "before it begins" {
					p.rested("n")
					over(cancel, &f, p)
				} else {
					p.reuseDelay = time.Hour // what is idle can't be taken
					dial := p.dial
					p.dial = func(_ context.Context, d *net.Dialer, to string) (net.Conn, error) {
						c, err := dial(t.Context(), d, to) // it is up as the end comes
						over(cancel, &f, p)
						return c, err
					}
				}
				if end := p.runAttempt(ctx, f, to); end.Outcome != decision.NotSent || s.requests.Load() != requests {
					t.Errorf("ended %d, sent %d times", end.Outcome, s.requests.Load()-requests)
				}
				if p.count() != 1 {
					t.Errorf("%d connections held, want the idle one", p.count())
				}
			})
		}
	}
}

// A connection that doesn't come up by the last moment to send says nothing of the node.
func TestNotUpInTimeToSend(t *testing.T) {
	p, address := newPool(4), never(t)
	p.SetAddress("n", address)
	now := p.clock.Now()
	end := p.runAttempt(t.Context(), engine.Attempt{
		Endpoint: "n", Address: address, SendBy: now + 20, Deadline: now + 1000,
		Request: &engine.Request{Method: "POST", URI: "/", Host: "h"},
	}, p.targetAt("n", address))
	if took := p.clock.Now() - now; end.Outcome != decision.NotSent || took > 90 || p.count() != 0 {
		t.Errorf("ended %d after %.0f ms, %d held", end.Outcome, took, p.count())
	}
}

// A connection to the machine that was the node before is not kept for the one that is it now, at the same address.
func TestGivenBackToAnother(t *testing.T) {
	came, held := make(chan struct{}), make(chan struct{})
	s := newFakeEndpoint(t, func(c net.Conn, r *http.Request) { came <- struct{}{}; <-held; say(ok)(c, r) })
	p := newPool(4)
	address := s.Addr().String()
	end := p.attempt(address, "GET", 1000, func(func()) { <-came; p.SetAddress("n", address); close(held) })
	if end.Outcome != decision.Succeeded || p.count() != 0 {
		t.Errorf("ended %d, %d connections kept", end.Outcome, p.count())
	}
}

// A forward that ends without an answer when its node is another by now gives back what it holds and nothing else: the
// idle connections to the node before were closed and counted as the list told it.
func TestEndedAfterSetAddress(t *testing.T) {
	came, held := make(chan struct{}), make(chan struct{})
	defer close(held)
	s := newFakeEndpoint(t, func(c net.Conn, r *http.Request) {
		if r.Method == "GET" {
			say(ok)(c, r)
			return
		}
		close(came)
		<-held
	})
	p := newPool(4)
	address := s.Addr().String()
	p.attempt(address, "GET", 1000, nil) // stays idle; it has not rested, so the next one opens another
	p.reuseDelay = time.Hour
	ends := make(chan engine.AttemptResult, 1)
	cancel := p.StartAttempt(engine.Attempt{
		Endpoint: "n", Address: address, Deadline: p.clock.Now() + 1000,
		Request: &engine.Request{Method: "POST", URI: "/", Host: "h"}, OnEnd: func(e engine.AttemptResult) { ends <- e },
	})
	<-came
	p.SetAddress("n", address)
	cancel()
	if end := <-ends; end.Outcome != decision.Canceled || p.count() != 0 {
		t.Errorf("ended %d, held %d", end.Outcome, p.count())
	}
}

// A pool that has ended keeps no connection of a forward that is answered later, and opens none.
func TestEnd(t *testing.T) {
	came, held := make(chan struct{}, 9), make(chan struct{})
	s := newFakeEndpoint(t, func(c net.Conn, r *http.Request) { came <- struct{}{}; <-held; say(ok)(c, r) })
	p := newPool(4)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	end := p.attempt(s.Addr().String(), "GET", 1000, func(func()) { <-came; p.Run(ctx); close(held) })
	if end.Outcome != decision.Succeeded || p.connections != 0 {
		t.Errorf("out at the end: ended %d, held %d", end.Outcome, p.connections)
	}
	if end := p.attempt(s.Addr().String(), "GET", 1000, nil); end.Outcome != decision.NotSent || p.connections != 0 {
		t.Errorf("after the end: ended %d, held %d", end.Outcome, p.connections)
	}
}

// A forward without an answer ends the idle connections to its node, unless the node has answered another meanwhile.
func TestSilentEndpoint(t *testing.T) {
	for name, tc := range map[string]struct {
		outcome   decision.Outcome
		responded bool
		idle      int
	}{
		"timed out": {decision.TimedOut, false, 0}, "recalled": {decision.Canceled, false, 0}, "broken": {decision.ConnectionBroken, false, 0},
		"unreachable": {decision.Unreachable, false, 0}, "timed out, heard": {decision.TimedOut, true, 1},
		"never sent": {decision.NotSent, false, 1}, "full": {decision.EndpointRejected, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s, p := newFakeEndpoint(t, say(ok)), newPool(4)
			address := s.Addr().String()
			p.attempt(address, "GET", 1000, nil)
			n, began := p.targetAt("n", address).endpoint, time.Now()
			if tc.responded {
				p.observeOutcome(n, began, decision.Succeeded)
			}
			if p.observeOutcome(n, began, tc.outcome); len(p.endpoints["n"].idle) != tc.idle || p.connections != tc.idle {
				t.Errorf("idle %d, held %d, want %d", len(p.endpoints["n"].idle), p.connections, tc.idle)
			}
		})
	}
}

// A node that has closed a kept connection costs no hit: nothing was sent on it.
func TestStale(t *testing.T) {
	s := newFakeEndpoint(t, func(c net.Conn, r *http.Request) { say(ok)(c, r); c.Close() })
	p := newPool(4)
	for range 3 {
		if end := p.attempt(s.Addr().String(), "POST", 1000, nil); end.Outcome != decision.Succeeded {
			t.Errorf("ended %d", end.Outcome)
		}
		<-s.closed
	}
	if n := s.requests.Load(); n != 3 {
		t.Errorf("sent %d times, want 3", n)
	}
}

// A forward whose connection comes up after its node has begun to drain is not sent.
func TestDrainMeanwhile(t *testing.T) {
	s, p := newFakeEndpoint(t, say(ok)), newPool(4)
	p.SetAddress("n", s.Addr().String())
	to := p.targetAt("n", s.Addr().String())
	dial := p.dial
	p.dial = func(ctx context.Context, d *net.Dialer, address string) (net.Conn, error) {
		p.SetAddress("n", "")
		return dial(ctx, d, address)
	}
	c, outcome := p.connect(t.Context(), engine.Attempt{Endpoint: "n", Address: s.Addr().String()}, to, time.Now().Add(time.Second))
	if c != nil || outcome != decision.NotSent || p.connections != 0 {
		t.Errorf("connection %v, ending %d, held %d", c, outcome, p.connections)
	}
}

// Short of descriptors, idle connections to other nodes go first, the longest idle at the head.
func TestShort(t *testing.T) {
	held := make(chan struct{})
	defer close(held)
	s := newFakeEndpoint(t, func(c net.Conn, r *http.Request) {
		if r.Method == "POST" {
			<-held
		}
		say(ok)(c, r)
	})
	p := newPool(2)
	address := s.Addr().String()
	send := func(id decision.EndpointID, method string) chan engine.AttemptResult {
		ends := make(chan engine.AttemptResult, 1)
		p.StartAttempt(engine.Attempt{
			Endpoint: id, Address: address, Deadline: p.clock.Now() + 300,
			Request: &engine.Request{Method: method, URI: "/", Host: "h"}, OnEnd: func(e engine.AttemptResult) { ends <- e },
		})
		return ends
	}
	for _, id := range []decision.EndpointID{"a", "b", "c"} {
		p.SetAddress(id, address)
		if end := <-send(id, "GET"); end.Outcome != decision.Succeeded {
			t.Errorf("%s ended %d", id, end.Outcome)
		}
	}
	if a, b, c := len(p.endpoints["a"].idle), len(p.endpoints["b"].idle), len(p.endpoints["c"].idle); a != 0 || b != 1 || c != 1 {
		t.Errorf("idle %d, %d, %d", a, b, c)
	}
	first, second := send("a", "POST"), send("b", "POST")
	for p.count() < 2 || s.requests.Load() < 5 {
		time.Sleep(time.Millisecond)
	}
	if end := <-send("c", "GET"); end.Outcome != decision.NotSent {
		t.Errorf("without room ended %d", end.Outcome)
	}
	if a, b := <-first, <-second; a.Outcome != decision.TimedOut || b.Outcome != decision.TimedOut || p.count() != 0 {
		t.Errorf("ended %d, %d; held %d", a.Outcome, b.Outcome, p.count())
	}
}

func (p *Pool) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connections
}

// Where idle connections break at their next request they are used sooner or not at all; while they hold, longer again.
// A break of one that was hardly idle says nothing of that.
func TestReused(t *testing.T) {
	p := newPool(4) // they are retired after a second
	for _, tc := range []struct {
		idle      time.Duration
		succeeded bool
		want      time.Duration
	}{
		{100 * time.Millisecond, false, time.Second},
		{600 * time.Millisecond, false, time.Second / 2},
		{300 * time.Millisecond, false, time.Second / 4},
		{200 * time.Millisecond, true, 9 * time.Second / 32},
		{100 * time.Millisecond, true, 9 * time.Second / 32},
	} {
		if p.observeReuse(tc.idle, tc.succeeded); p.idleLimit != tc.want {
			t.Errorf("idle %v, held %v: now %v, want %v", tc.idle, tc.succeeded, p.idleLimit, tc.want)
		}
	}
	for range 100 {
		p.retire(false)
	}
	if p.idleLimit != time.Second {
		t.Errorf("with none used: %v", p.idleLimit)
	}
}

// narrow is a node that takes a part of a request only: its buffer and the marshal's are small.
func narrow(t *testing.T, p *Pool) *net.TCPListener {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	dial := p.dial
	p.dial = func(ctx context.Context, d *net.Dialer, address string) (net.Conn, error) {
		c, err := dial(ctx, d, address)
		if err == nil {
			err = c.(*net.TCPConn).SetWriteBuffer(4096)
		}
		return c, err
	}
	return l.(*net.TCPListener)
}

// A request of which a part is written when the node resets, the forward is recalled or its time is over has never run,
// and the connection with that part on it is closed.
func TestPartWritten(t *testing.T) {
	for name, tc := range map[string]struct {
		end  func(endpoint *net.TCPConn, cancel func())
		want decision.Outcome
	}{
		"the node resets": {func(endpoint *net.TCPConn, _ func()) { endpoint.SetLinger(0); endpoint.Close() }, decision.Unreachable},
		"recalled":        {func(_ *net.TCPConn, cancel func()) { cancel() }, decision.NotSent},
		"time is over":    {func(*net.TCPConn, func()) {}, decision.Unreachable},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool(4)
			l := narrow(t, p)
			address, ends := l.Addr().String(), make(chan engine.AttemptResult, 1)
			p.SetAddress("n", address)
			cancel := p.StartAttempt(engine.Attempt{
				Endpoint: "n", Address: address, Deadline: p.clock.Now() + 500,
				Request: &engine.Request{Method: "POST", URI: "/pay/x", Host: "h", Body: make([]byte, 1<<20)},
				OnEnd:   func(e engine.AttemptResult) { ends <- e },
			})
			endpoint, err := l.AcceptTCP()
			if err != nil {
				t.Fatal(err)
			}
			defer endpoint.Close()
			head := make([]byte, 16)
			if _, err := io.ReadFull(endpoint, head); err != nil { // a part has come
				t.Fatal(err)
			}
			tc.end(endpoint, cancel)
			if end := <-ends; end.Outcome != tc.want || p.count() != 0 {
				t.Errorf("ended %d, want %d; %d connections held", end.Outcome, tc.want, p.count())
			}
			if rest, _ := io.ReadAll(endpoint); len(rest) >= 1<<20 {
				t.Error("the whole request came")
			}
		})
	}
}
