package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ottershed/decision"
	"ottershed/internal/engine"
)

// unread is the size of a body that a narrow endpoint's connection does not hold: a part of it stays unwritten.
const unread = 256 << 10

// accept gives the endpoint's side of a connection on which a part of a request has come.
func accept(t *testing.T, l *net.TCPListener) net.Conn {
	t.Helper()
	c, err := l.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() }) // a test may have closed it
	if _, err := io.ReadFull(c, make([]byte, 4)); err != nil {
		t.Fatal(err)
	}
	return c
}

// sips is a connection that is read a byte at a time, with a pause before each.
type sips struct {
	net.Conn
	pause time.Duration
}

func (server sips) Read(b []byte) (int, error) {
	time.Sleep(server.pause)
	return server.Conn.Read(b[:min(1, len(b))])
}

// An endpoint that reads its request a byte at a time holds the attempt no longer than its deadline; a request that was
// not written whole by then never ran, and one that was is responded to.
func TestSlowReader(t *testing.T) {
	for name, test := range map[string]struct {
		size  int
		pause time.Duration
		left  decision.Millis
		want  decision.Outcome
		held  int
	}{
		"whole in time":     {16 << 10, 0, deadline, decision.Succeeded, 1},
		"not whole in time": {unread, time.Millisecond, 300, decision.Unreachable, 0},
	} {
		t.Run(name, func(t *testing.T) {
			pool := newPool(4)
			l, ends, began := narrow(t, pool), make(chan engine.AttemptResult, 1), time.Now()
			pool.SetAddress("n", l.Addr().String())
			pool.StartAttempt(engine.Attempt{
				Endpoint: "n", Address: l.Addr().String(), Deadline: pool.clock.Now() + test.left,
				Request: &engine.Request{Method: "POST", URI: "/pay/x", Host: "h", Body: make([]byte, test.size)},
				OnEnd:   func(e engine.AttemptResult) { ends <- e },
			})
			endpoint := accept(t, l)
			go func() {
				all := io.MultiReader(strings.NewReader("POST"), sips{endpoint, test.pause}) // accept has read the method
				request, err := http.ReadRequest(bufio.NewReader(all))
				if err != nil {
					return
				}
				if n, _ := io.Copy(io.Discard, request.Body); n == int64(test.size) {
					say(ok)(endpoint, request)
				}
			}()
			checkEnd(t, pool, <-ends, test.want, test.held)
			if took := time.Since(began); test.held == 0 && (took < 290*time.Millisecond || took > soon) {
				t.Errorf("ended after %v", took)
			}
		})
	}
}

// bound carries an attempt that may be sent for so many ms only, on a kept connection if there is a rested one.
func (pool *Pool) bound(address string, sendBy decision.Millis, body int) engine.AttemptResult {
	return pool.runAttempt(context.Background(), engine.Attempt{
		Endpoint: "n", Address: address, SendBy: sendBy, Deadline: sendBy + 1000,
		Request: &engine.Request{Method: "POST", URI: "/mark/x", Host: "h", Body: make([]byte, body)},
	}, pool.targetAt("n", address))
}

// until waits for a moment of the pool's clock.
func (pool *Pool) until(at decision.Millis) {
	for pool.clock.Now() < at {
		time.Sleep(time.Millisecond)
	}
}

// The last moment to send binds the sending alone: an attempt that is sent before it, on a kept connection or a new
// one, may be responded to after it. At that moment itself nothing is sent any more, though a kept connection stands
// ready.
func TestSendByBinds(t *testing.T) {
	for name, test := range map[string]struct {
		left decision.Millis
		cool time.Duration // for so long a kept connection is not used
		want decision.Outcome
		sent int32
	}{
		"before, kept connection":         {400, 0, decision.Succeeded, 1},
		"before, new connection":          {400, time.Hour, decision.Succeeded, 1},
		"at that moment, kept connection": {0, 0, decision.NotSent, 0},
		"at that moment, new connection":  {0, time.Hour, decision.NotSent, 0},
	} {
		t.Run(name, func(t *testing.T) {
			pool := newPool(4)
			var sendBy atomic.Int64
			server := newFakeEndpoint(t, func(c net.Conn, r *http.Request) { pool.until(float64(sendBy.Load())); say(ok)(c, r) })
			address := server.Addr().String()
			pool.attempt(address, "GET", 1000, nil)
			pool.times.reuseDelay = test.cool
			sendBy.Store(int64(pool.clock.Now() + test.left))
			end := pool.bound(address, float64(sendBy.Load()), 0)
			if sent := server.requests.Load() - 1; end.Outcome != test.want || sent != test.sent {
				t.Errorf("ended %d, want %d; sent %d times", end.Outcome, test.want, sent)
			}
		})
	}
}

// An attempt whose kept connection turns out to be dead when the last moment to send has passed gets no new one: the
// endpoint that it went to first has forgotten it by then, and it would run twice.
func TestSendByBeforeNewConnection(t *testing.T) {
	server, pool := newFakeEndpoint(t, say(ok)), newPool(4)
	address, sendBy := server.Addr().String(), 0.0
	hook(pool, func() {}, func() error {
		if sendBy == 0 {
			return nil
		}
		pool.until(sendBy)
		return syscall.EPIPE
	})
	pool.attempt(address, "GET", 1000, nil)
	pool.rested()
	sendBy = pool.clock.Now() + 200
	checkEnd(t, pool, pool.bound(address, sendBy, 0), decision.NotSent, 0)
	if n := pool.Stats(); n.Opened != 1 || server.requests.Load() != 1 {
		t.Errorf("opened %d connections, sent %d times", n.Opened, server.requests.Load())
	}
}

// A request of which a part is written when the last moment to send comes is not written on: the endpoint, which runs
// it when it is whole, would not remember that it ran before. That says nothing of the endpoint.
func TestSendByWhileWritten(t *testing.T) {
	pool := newPool(4)
	l, ends, sendBy := narrow(t, pool), make(chan engine.AttemptResult, 1), pool.clock.Now()+200
	pool.SetAddress("n", l.Addr().String())
	go func() { ends <- pool.bound(l.Addr().String(), sendBy, unread) }()
	endpoint := accept(t, l)
	pool.until(sendBy + 20)
	if rest, _ := io.ReadAll(endpoint); len(rest) >= unread {
		t.Errorf("the whole request came after the last moment to send it")
	}
	checkEnd(t, pool, <-ends, decision.NotSent, 0)
}
