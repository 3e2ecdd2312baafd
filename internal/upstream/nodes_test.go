package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"ottershed/decision"
	"ottershed/internal/clock"
	"ottershed/internal/engine"
	"ottershed/internal/settings"
)

// stand is a node's stand-in: answer does what it likes with each request on each connection.
type stand struct {
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

func newStand(t *testing.T, answer func(net.Conn, *http.Request)) *stand {
	s := &stand{Listener: listen(t), closed: make(chan struct{}, 100)}
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
					answer(c, req)
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

func newPool(most int) *Pool {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return NewPool(clock.New(), settings.Network{IdleAfter: 2000, ConnectTimeout: 100}, most, log)
}

// forward carries one forward to address and waits for its ending.
func (p *Pool) forward(address, method string, left decision.Millis, during func(recall func())) engine.End {
	ends := make(chan engine.End, 2)
	p.Moved("n", address)
	recall := p.Forward(engine.Forward{Node: "n", Address: address, Until: p.clock.Now() + left,
		Request: &engine.Request{Method: method, URI: "/read/x?q=%2f;1", Host: "app.svc", Body: []byte("body"),
			Fields: map[string][]string{"X-Correlation-Id": {"c1"}, "Idempotency-Key": {"k"}, "X-Time-Left": {"9"}}},
		Ended: func(e engine.End) { ends <- e }})
	if during != nil {
		during(recall)
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

func TestEndings(t *testing.T) {
	held := make(chan struct{})
	defer close(held)
	hold := func(net.Conn, *http.Request) { <-held }
	reset := func(c net.Conn, _ *http.Request) { c.(*net.TCPConn).SetLinger(0); c.Close() }
	for name, tc := range map[string]struct {
		answer func(net.Conn, *http.Request)
		want   decision.Ending
		kept   int
	}{
		"delivered":              {say(ok), decision.Delivered, 1},
		"delivered, then closes": {func(c net.Conn, _ *http.Request) { say("HTTP/1.1 200 OK\r\n\r\nhi")(c, nil); c.Close() }, decision.Delivered, 0},
		"delivered in chunks":    {say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"), decision.Delivered, 1},
		"after a continue":       {say("HTTP/1.1 100 Continue\r\n\r\n" + ok), decision.Delivered, 1},
		"more than the answer":   {say(ok + "x"), decision.Delivered, 0},
		"500":                    {say("HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n"), decision.NodeError, 1},
		"400":                    {say("HTTP/1.1 400 E\r\nContent-Length: 0\r\n\r\n"), decision.NodeError, 1},
		"turned away by 503":     {say("HTTP/1.1 503 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"), decision.NodeFull, 1},
		"turned away by 504":     {say("HTTP/1.1 504 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"), decision.NodeFull, 1},
		"503 that may have run":  {say("HTTP/1.1 503 E\r\nContent-Length: 0\r\n\r\n"), decision.NodeError, 1},
		"500 that says it didn't": {say("HTTP/1.1 500 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n"),
			decision.NodeError, 1},
		"reset":             {reset, decision.Broken, 0},
		"closed":            {func(c net.Conn, _ *http.Request) { c.Close() }, decision.Broken, 0},
		"cut short":         {func(c net.Conn, _ *http.Request) { say(ok[:len(ok)-1])(c, nil); c.Close() }, decision.Broken, 0},
		"no HTTP":           {say("what?\r\n\r\n"), decision.Spoilt, 0},
		"noise":             {say("\x16\x03\x01\x00\xff\n\n"), decision.Spoilt, 0},
		"half a head":       {say("HTTP/1.1 200 OK\r\nContent-Le"), decision.Spoilt, 0},
		"half a body":       {say(ok[:len(ok)-1]), decision.Spoilt, 0},
		"a length too long": {say("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nhi"), decision.Spoilt, 0},
		"3 GB":              {say("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nhi"), decision.Spoilt, 0},
		"two lengths":       {say("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 1\r\n\r\nhi"), decision.Spoilt, 0},
		"a length below 0":  {say("HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nhi"), decision.Spoilt, 0},
		"no length":         {say("HTTP/1.1 200 OK\r\n\r\nhi"), decision.Spoilt, 0},
		"another protocol":  {say("HTTP/1.1 101 Go\r\nUpgrade: x\r\n\r\n"), decision.Spoilt, 0},
		"body too long":     {say("HTTP/1.1 200 OK\r\nContent-Length: 65537\r\n\r\n" + strings.Repeat("x", 65537)), decision.Spoilt, 0},
		"headers too long":  {say("HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 3*longest)), decision.Spoilt, 0},
		"twice":             {say(ok + ok), decision.Delivered, 0},
		"no answer":         {hold, decision.TimedOut, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s, p := newStand(t, tc.answer), newPool(4)
			end := p.forward(s.Addr().String(), "POST", 200, nil)
			if end.Ending != tc.want || (end.Reply != nil) != (tc.want == decision.Delivered) {
				t.Errorf("ended %d, want %d; reply %v", end.Ending, tc.want, end.Reply)
			}
			if end.Reply != nil && string(end.Reply.Body) != "hi" {
				t.Errorf("body %q", end.Reply.Body)
			}
			if n := s.requests.Load(); n != 1 {
				t.Errorf("sent %d times", n)
			}
			if p.held != tc.kept || len(p.nodes["n"].idle) != tc.kept {
				t.Errorf("held %d, idle %d, want %d", p.held, len(p.nodes["n"].idle), tc.kept)
			}
		})
	}
}

func TestNoConnection(t *testing.T) {
	for name, tc := range map[string]struct {
		address func(*testing.T) string
		left    decision.Millis
		want    decision.Ending
	}{
		"refused":                    {refusing, 500, decision.Unreachable},
		"never up":                   {never, 500, decision.Unreachable},
		"never up in the hit's time": {never, 30, decision.NeverSent},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool(4)
			if end := p.forward(tc.address(t), "GET", tc.left, nil); end.Ending != tc.want || p.held != 0 {
				t.Errorf("ended %d, want %d; held %d", end.Ending, tc.want, p.held)
			}
		})
	}
}

// Figures of a load report that are none are left out.
func TestLoad(t *testing.T) {
	for text, want := range map[string]decision.Load{"util=0.5,queue=NaN": {Util: 0.5, Queue: -1}, "util=Inf,queue=3": {Util: -1, Queue: 3},
		"util=-Inf,queue=-3": {Util: -1, Queue: -1}, "util=1e999,;;,=,queue": {Util: -1, Queue: -1}} {
		if got := load(text); *got != want {
			t.Errorf("%q: %+v, want %+v", text, *got, want)
		}
	}
}

// What is called off ends as recalled, with its connection closed before that is told; so does nothing twice.
func TestRecall(t *testing.T) {
	came, held := make(chan struct{}), make(chan struct{})
	s := newStand(t, func(net.Conn, *http.Request) { close(came); <-held })
	p := newPool(4)
	end := p.forward(s.Addr().String(), "POST", 5000, func(recall func()) { <-came; recall(); recall() })
	if end.Ending != decision.Recalled || p.held != 0 {
		t.Errorf("ended %d, held %d", end.Ending, p.held)
	}
	close(held)
	<-s.closed
	if end := p.forward(never(t), "POST", 5000, func(recall func()) { recall() }); end.Ending != decision.NeverSent {
		t.Errorf("called off before it was sent: ended %d", end.Ending)
	}
}

// The request passes on as it came but for the time that is left.
func TestRequest(t *testing.T) {
	var got string
	s := newStand(t, func(c net.Conn, r *http.Request) {
		got = fmt.Sprint(r.Method, r.RequestURI, r.Host, r.Header["X-Correlation-Id"], r.Header["Idempotency-Key"], r.Header["Body"])
		if left := r.Header.Get("X-Time-Left"); left < "0.4" || left > "0.500" {
			t.Errorf("time left %q of half a second", left)
		}
		say(ok)(c, r)
	})
	end := newPool(4).forward(s.Addr().String(), "POST", 500, nil)
	if want := "POST/read/x?q=%2f;1app.svc[c1] [k] [body]"; got != want || *end.Load != (decision.Load{Util: 0.61, Queue: 2}) {
		t.Errorf("got %s, want %s; load %+v", got, want, end.Load)
	}
}

// A kept connection serves the next forward, unless the node has closed it or its time is over.
func TestKept(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(p *Pool, address string)
		conns  int32
	}{
		"again":            {func(p *Pool, _ string) { p.rested("n") }, 1},
		"not rested":       {func(p *Pool, _ string) { p.cool = time.Hour }, 2},
		"retired":          {func(p *Pool, _ string) { p.idle = 0 }, 2},
		"swept":            {func(p *Pool, _ string) { p.idle = 0; p.retire(false); p.idle = time.Hour }, 2},
		"shut":             {func(p *Pool, _ string) { p.CloseIdle("n") }, 2},
		"drained and back": {func(p *Pool, address string) { p.Moved("n", ""); p.Moved("n", address) }, 2},
	} {
		t.Run(name, func(t *testing.T) {
			s, p := newStand(t, say(ok)), newPool(4)
			p.Moved("n", s.Addr().String())
			send := func() {
				ends := make(chan engine.End, 1)
				p.Forward(engine.Forward{Node: "n", Address: s.Addr().String(), Until: p.clock.Now() + 1000,
					Request: &engine.Request{Method: "GET", URI: "/", Host: "h"}, Ended: func(e engine.End) { ends <- e }})
				if end := <-ends; end.Ending != decision.Delivered { // so the stand-in has counted its connection
					t.Errorf("ended %d", end.Ending)
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
func (p *Pool) rested(id decision.NodeID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.nodes[id].idle {
		c.since = c.since.Add(-p.cool)
	}
}

// A second answer to a request, which comes when the next one has been written, is never taken for the answer to that.
func TestSecondAnswerLate(t *testing.T) {
	const late = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"
	firsts := make(chan net.Conn, 2)
	s := newStand(t, func(c net.Conn, r *http.Request) {
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
	p.cool = time.Hour
	p.Moved("n", s.Addr().String())
	send := func(id string) engine.End {
		ends := make(chan engine.End, 1)
		p.Forward(engine.Forward{Node: "n", Address: s.Addr().String(), Until: p.clock.Now() + 1000,
			Request: &engine.Request{Method: "POST", URI: "/", Host: "h", Fields: map[string][]string{"X-Correlation-Id": {id}}},
			Ended:   func(e engine.End) { ends <- e }})
		return <-ends
	}
	send("first")
	if end := send("next"); end.Ending != decision.Delivered || string(end.Reply.Body) != "hi" {
		t.Errorf("ended %d with %q", end.Ending, end.Reply.Body)
	}
	p.mu.Lock()
	old := p.nodes["n"].idle[0] // what has come on it meanwhile is seen once it has rested
	p.mu.Unlock()
	for end := time.Now().Add(5 * time.Second); old.quiet(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the second answer did not come")
		}
	}
	p.rested("n")
	p.mu.Lock()
	p.nodes["n"].idle = p.nodes["n"].idle[:1] // only that one
	p.held = 1
	p.mu.Unlock()
	if c := p.take(p.aimed("n", s.Addr().String())); c != nil || p.count() != 0 {
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
		"another machine there": {func(p *Pool, address string) { p.Moved("n", address) }, 0},
		"drains":                {func(p *Pool, _ string) { p.Moved("n", "") }, 0},
		"drains and is back":    {func(p *Pool, address string) { p.Moved("n", ""); p.Moved("n", address) }, 0},
		"a lower cap":           {func(p *Pool, _ string) { p.Unsend("n") }, 1},
	} {
		for _, when := range []string{"while it is dialed", "before it is taken"} {
			t.Run(name+" "+when, func(t *testing.T) {
				s, p := newStand(t, say(ok)), newPool(4)
				address := s.Addr().String()
				p.forward(address, "GET", 1000, nil)
				began := p.aimed("n", address)
				requests := s.requests.Load()
				if when == "while it is dialed" { // all that is idle has not rested yet
					p.cool = time.Hour
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
				end := p.run(t.Context(), engine.Forward{Node: "n", Address: address, Until: p.clock.Now() + 1000,
					Request: &engine.Request{Method: "POST", URI: "/", Host: "h"}}, began)
				if end.Ending != decision.NeverSent || s.requests.Load() != requests {
					t.Errorf("ended %d, sent %d times", end.Ending, s.requests.Load()-requests)
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
	for name, over := range map[string]func(recall func(), f *engine.Forward, p *Pool){
		"called off": func(recall func(), _ *engine.Forward, _ *Pool) { recall() },
		"too late": func(_ func(), f *engine.Forward, p *Pool) {
			for p.clock.Now() < f.SendBy {
				time.Sleep(time.Millisecond)
			}
		},
	} {
		for _, when := range []string{"while it is dialed", "before it begins"} {
			t.Run(name+" "+when, func(t *testing.T) {
				s, p := newStand(t, say(ok)), newPool(4)
				address := s.Addr().String()
				p.forward(address, "GET", 1000, nil)
				requests, to := s.requests.Load(), p.aimed("n", address)
				ctx, recall := context.WithCancel(t.Context())
				defer recall()
				now := p.clock.Now()
				f := engine.Forward{Node: "n", Address: address, SendBy: now + 20, Until: now + 1000,
					Request: &engine.Request{Method: "POST", URI: "/", Host: "h"}}
				if when == "before it begins" {
					p.rested("n")
					over(recall, &f, p)
				} else {
					p.cool = time.Hour // what is idle can't be taken
					dial := p.dial
					p.dial = func(_ context.Context, d *net.Dialer, to string) (net.Conn, error) {
						c, err := dial(t.Context(), d, to) // it is up as the end comes
						over(recall, &f, p)
						return c, err
					}
				}
				if end := p.run(ctx, f, to); end.Ending != decision.NeverSent || s.requests.Load() != requests {
					t.Errorf("ended %d, sent %d times", end.Ending, s.requests.Load()-requests)
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
	p.Moved("n", address)
	now := p.clock.Now()
	end := p.run(t.Context(), engine.Forward{Node: "n", Address: address, SendBy: now + 20, Until: now + 1000,
		Request: &engine.Request{Method: "POST", URI: "/", Host: "h"}}, p.aimed("n", address))
	if took := p.clock.Now() - now; end.Ending != decision.NeverSent || took > 90 || p.count() != 0 {
		t.Errorf("ended %d after %.0f ms, %d held", end.Ending, took, p.count())
	}
}

// A connection to the machine that was the node before is not kept for the one that is it now, at the same address.
func TestGivenBackToAnother(t *testing.T) {
	came, held := make(chan struct{}), make(chan struct{})
	s := newStand(t, func(c net.Conn, r *http.Request) { came <- struct{}{}; <-held; say(ok)(c, r) })
	p := newPool(4)
	address := s.Addr().String()
	end := p.forward(address, "GET", 1000, func(func()) { <-came; p.Moved("n", address); close(held) })
	if end.Ending != decision.Delivered || p.count() != 0 {
		t.Errorf("ended %d, %d connections kept", end.Ending, p.count())
	}
}

// A forward that ends without an answer when its node is another by now gives back what it holds and nothing else: the
// idle connections to the node before were closed and counted as the list told it.
func TestEndedAfterMoved(t *testing.T) {
	came, held := make(chan struct{}), make(chan struct{})
	defer close(held)
	s := newStand(t, func(c net.Conn, r *http.Request) {
		if r.Method == "GET" {
			say(ok)(c, r)
			return
		}
		close(came)
		<-held
	})
	p := newPool(4)
	address := s.Addr().String()
	p.forward(address, "GET", 1000, nil) // stays idle; it has not rested, so the next one opens another
	p.cool = time.Hour
	ends := make(chan engine.End, 1)
	recall := p.Forward(engine.Forward{Node: "n", Address: address, Until: p.clock.Now() + 1000,
		Request: &engine.Request{Method: "POST", URI: "/", Host: "h"}, Ended: func(e engine.End) { ends <- e }})
	<-came
	p.Moved("n", address)
	recall()
	if end := <-ends; end.Ending != decision.Recalled || p.count() != 0 {
		t.Errorf("ended %d, held %d", end.Ending, p.count())
	}
}

// A pool that has ended keeps no connection of a forward that is answered later, and opens none.
func TestEnd(t *testing.T) {
	came, held := make(chan struct{}, 9), make(chan struct{})
	s := newStand(t, func(c net.Conn, r *http.Request) { came <- struct{}{}; <-held; say(ok)(c, r) })
	p := newPool(4)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	end := p.forward(s.Addr().String(), "GET", 1000, func(func()) { <-came; p.Run(ctx); close(held) })
	if end.Ending != decision.Delivered || p.held != 0 {
		t.Errorf("out at the end: ended %d, held %d", end.Ending, p.held)
	}
	if end := p.forward(s.Addr().String(), "GET", 1000, nil); end.Ending != decision.NeverSent || p.held != 0 {
		t.Errorf("after the end: ended %d, held %d", end.Ending, p.held)
	}
}

// A forward without an answer ends the idle connections to its node, unless the node has answered another meanwhile.
func TestSilentNode(t *testing.T) {
	for name, tc := range map[string]struct {
		ending decision.Ending
		heard  bool
		idle   int
	}{
		"timed out": {decision.TimedOut, false, 0}, "recalled": {decision.Recalled, false, 0}, "broken": {decision.Broken, false, 0},
		"unreachable": {decision.Unreachable, false, 0}, "timed out, heard": {decision.TimedOut, true, 1},
		"never sent": {decision.NeverSent, false, 1}, "full": {decision.NodeFull, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			s, p := newStand(t, say(ok)), newPool(4)
			address := s.Addr().String()
			p.forward(address, "GET", 1000, nil)
			n, began := p.aimed("n", address).node, time.Now()
			if tc.heard {
				p.ended(n, began, decision.Delivered)
			}
			if p.ended(n, began, tc.ending); len(p.nodes["n"].idle) != tc.idle || p.held != tc.idle {
				t.Errorf("idle %d, held %d, want %d", len(p.nodes["n"].idle), p.held, tc.idle)
			}
		})
	}
}

// A node that has closed a kept connection costs no hit: nothing was sent on it.
func TestStale(t *testing.T) {
	s := newStand(t, func(c net.Conn, r *http.Request) { say(ok)(c, r); c.Close() })
	p := newPool(4)
	for range 3 {
		if end := p.forward(s.Addr().String(), "POST", 1000, nil); end.Ending != decision.Delivered {
			t.Errorf("ended %d", end.Ending)
		}
		<-s.closed
	}
	if n := s.requests.Load(); n != 3 {
		t.Errorf("sent %d times, want 3", n)
	}
}

// A forward whose connection comes up after its node has begun to drain is not sent.
func TestDrainMeanwhile(t *testing.T) {
	s, p := newStand(t, say(ok)), newPool(4)
	p.Moved("n", s.Addr().String())
	to := p.aimed("n", s.Addr().String())
	dial := p.dial
	p.dial = func(ctx context.Context, d *net.Dialer, address string) (net.Conn, error) {
		p.Moved("n", "")
		return dial(ctx, d, address)
	}
	c, ending := p.open(t.Context(), engine.Forward{Node: "n", Address: s.Addr().String()}, to, time.Now().Add(time.Second))
	if c != nil || ending != decision.NeverSent || p.held != 0 {
		t.Errorf("connection %v, ending %d, held %d", c, ending, p.held)
	}
}

// Short of descriptors, idle connections to other nodes go first, the longest idle at the head.
func TestShort(t *testing.T) {
	held := make(chan struct{})
	defer close(held)
	s := newStand(t, func(c net.Conn, r *http.Request) {
		if r.Method == "POST" {
			<-held
		}
		say(ok)(c, r)
	})
	p := newPool(2)
	address := s.Addr().String()
	send := func(id decision.NodeID, method string) chan engine.End {
		ends := make(chan engine.End, 1)
		p.Forward(engine.Forward{Node: id, Address: address, Until: p.clock.Now() + 300,
			Request: &engine.Request{Method: method, URI: "/", Host: "h"}, Ended: func(e engine.End) { ends <- e }})
		return ends
	}
	for _, id := range []decision.NodeID{"a", "b", "c"} {
		p.Moved(id, address)
		if end := <-send(id, "GET"); end.Ending != decision.Delivered {
			t.Errorf("%s ended %d", id, end.Ending)
		}
	}
	if a, b, c := len(p.nodes["a"].idle), len(p.nodes["b"].idle), len(p.nodes["c"].idle); a != 0 || b != 1 || c != 1 {
		t.Errorf("idle %d, %d, %d", a, b, c)
	}
	first, second := send("a", "POST"), send("b", "POST")
	for p.count() < 2 || s.requests.Load() < 5 {
		time.Sleep(time.Millisecond)
	}
	if end := <-send("c", "GET"); end.Ending != decision.NeverSent {
		t.Errorf("without room ended %d", end.Ending)
	}
	if a, b := <-first, <-second; a.Ending != decision.TimedOut || b.Ending != decision.TimedOut || p.count() != 0 {
		t.Errorf("ended %d, %d; held %d", a.Ending, b.Ending, p.count())
	}
}

func (p *Pool) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held
}

// Where idle connections break at their next request they are used sooner or not at all; while they hold, longer again.
// A break of one that was hardly idle says nothing of that.
func TestReused(t *testing.T) {
	p := newPool(4) // they are retired after a second
	for _, tc := range []struct {
		idle time.Duration
		held bool
		want time.Duration
	}{{100 * time.Millisecond, false, time.Second}, {600 * time.Millisecond, false, time.Second / 2},
		{300 * time.Millisecond, false, time.Second / 4}, {200 * time.Millisecond, true, 9 * time.Second / 32},
		{100 * time.Millisecond, true, 9 * time.Second / 32}} {
		if p.reused(tc.idle, tc.held); p.idle != tc.want {
			t.Errorf("idle %v, held %v: now %v, want %v", tc.idle, tc.held, p.idle, tc.want)
		}
	}
	for range 100 {
		p.retire(false)
	}
	if p.idle != time.Second {
		t.Errorf("with none used: %v", p.idle)
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
		end  func(node *net.TCPConn, recall func())
		want decision.Ending
	}{
		"the node resets": {func(node *net.TCPConn, _ func()) { node.SetLinger(0); node.Close() }, decision.Unreachable},
		"recalled":        {func(_ *net.TCPConn, recall func()) { recall() }, decision.NeverSent},
		"time is over":    {func(*net.TCPConn, func()) {}, decision.Unreachable},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool(4)
			l := narrow(t, p)
			address, ends := l.Addr().String(), make(chan engine.End, 1)
			p.Moved("n", address)
			recall := p.Forward(engine.Forward{Node: "n", Address: address, Until: p.clock.Now() + 500,
				Request: &engine.Request{Method: "POST", URI: "/pay/x", Host: "h", Body: make([]byte, 1<<20)},
				Ended:   func(e engine.End) { ends <- e }})
			node, err := l.AcceptTCP()
			if err != nil {
				t.Fatal(err)
			}
			defer node.Close()
			head := make([]byte, 16)
			if _, err := io.ReadFull(node, head); err != nil { // a part has come
				t.Fatal(err)
			}
			tc.end(node, recall)
			if end := <-ends; end.Ending != tc.want || p.count() != 0 {
				t.Errorf("ended %d, want %d; %d connections held", end.Ending, tc.want, p.count())
			}
			if rest, _ := io.ReadAll(node); len(rest) >= 1<<20 {
				t.Error("the whole request came")
			}
		})
	}
}
