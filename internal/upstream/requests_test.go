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

// oversizedBody is the size in bytes of a body that exceeds the buffers of listenSmallBuffers: a part of it stays
// unwritten.
const oversizedBody = 256 << 10

// acceptStarted accepts a connection and reads the first 4 bytes of its request.
func acceptStarted(t *testing.T, l *net.TCPListener) net.Conn {
	t.Helper()
	c, err := l.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() }) // the test may have closed it
	if _, err := io.ReadFull(c, make([]byte, 4)); err != nil {
		t.Fatal(err)
	}
	return c
}

// byteReader is a connection that is read one byte at a time, with a pause before each.
type byteReader struct {
	net.Conn
	pause time.Duration
}

func (r byteReader) Read(b []byte) (int, error) {
	time.Sleep(r.pause)
	return r.Conn.Read(b[:min(1, len(b))])
}

// An endpoint that reads a request one byte at a time blocks the attempt until the deadline at most. A request that is
// not written completely by then counts as not run; one that is written in time succeeds.
func TestSlowReaderEndsAtDeadline(t *testing.T) {
	for name, test := range map[string]struct {
		size    int // bytes of the body
		pause   time.Duration
		timeout decision.Millis
		want    decision.Outcome
		idle    int // open connections afterwards, all of them idle
	}{
		"complete in time":           {16 << 10, 0, longDeadline, decision.Succeeded, 1},
		"incomplete at the deadline": {oversizedBody, time.Millisecond, 300, decision.Unreachable, 0},
	} {
		t.Run(name, func(t *testing.T) {
			pool := newPool(4)
			l, results, startedAt := listenSmallBuffers(t, pool), make(chan engine.AttemptResult, 1), time.Now()
			pool.SetAddress("n", l.Addr().String())
			pool.StartAttempt(engine.Attempt{
				Endpoint: "n", Address: l.Addr().String(), Deadline: pool.clock.Now() + test.timeout,
				Request:  &engine.Request{Method: "POST", URI: "/pay/x", Host: "h", Body: make([]byte, test.size)},
				OnResult: func(r engine.AttemptResult) { results <- r },
			})
			endpoint := acceptStarted(t, l)
			go func() {
				input := io.MultiReader(strings.NewReader("POST"), byteReader{endpoint, test.pause}) // acceptStarted has read the method
				request, err := http.ReadRequest(bufio.NewReader(input))
				if err != nil {
					return
				}
				if n, _ := io.Copy(io.Discard, request.Body); n == int64(test.size) {
					respondWith(okResponse)(endpoint, request)
				}
			}()
			checkResult(t, pool, <-results, test.want, test.idle)
			if took := time.Since(startedAt); test.idle == 0 && (took < 290*time.Millisecond || took > maxWait) {
				t.Errorf("attempt: ended after %v, want 290 ms to %v", took, maxWait)
			}
		})
	}
}

// attemptSendBy runs an attempt that may be sent until sendBy, a time of the pool's clock in ms, with a body of this
// size.
func (pool *Pool) attemptSendBy(address string, sendBy decision.Millis, body int) engine.AttemptResult {
	return pool.runAttempt(context.Background(), engine.Attempt{
		Endpoint: "n", Address: address, SendBy: sendBy, Deadline: sendBy + 1000,
		Request: &engine.Request{Method: "POST", URI: "/mark/x", Host: "h", Body: make([]byte, body)},
	}, pool.lookupTarget("n", address))
}

// waitUntil waits until the pool's clock has this reading, in ms.
func (pool *Pool) waitUntil(reading decision.Millis) {
	for pool.clock.Now() < reading {
		time.Sleep(time.Millisecond)
	}
}

// SendBy limits sending only: an attempt that is sent before SendBy, on a reused or a new connection, may get its
// response later. From SendBy on nothing is sent, even if an idle connection is available.
func TestSendByLimitsOnlySending(t *testing.T) {
	for name, test := range map[string]struct {
		untilSendBy decision.Millis
		reuseDelay  time.Duration
		want        decision.Outcome
		sent        int32
	}{
		"before SendBy, reused connection": {400, 0, decision.Succeeded, 1},
		"before SendBy, new connection":    {400, time.Hour, decision.Succeeded, 1},
		"at SendBy, reused connection":     {0, 0, decision.NotSent, 0},
		"at SendBy, new connection":        {0, time.Hour, decision.NotSent, 0},
	} {
		t.Run(name, func(t *testing.T) {
			pool := newPool(4)
			var sendBy atomic.Int64
			server := newFakeEndpoint(t, func(c net.Conn, r *http.Request) {
				pool.waitUntil(float64(sendBy.Load()))
				respondWith(okResponse)(c, r)
			})
			address := server.Addr().String()
			pool.attempt(address, "GET", 1000, nil)
			pool.timing.reuseDelay = test.reuseDelay
			sendBy.Store(int64(pool.clock.Now() + test.untilSendBy))
			result := pool.attemptSendBy(address, float64(sendBy.Load()), 0)
			if sent := server.requests.Load() - 1; result.Outcome != test.want || sent != test.sent {
				t.Errorf("attempt: got outcome %d, sent %d times, want %d, %d times", result.Outcome, sent, test.want, test.sent)
			}
		})
	}
}

// An attempt whose idle connection turns out to be dead after SendBy gets no new connection. By then the endpoint of an
// earlier attempt may have forgotten the request, which would run twice.
func TestNoNewConnectionAfterSendBy(t *testing.T) {
	server, pool := newFakeEndpoint(t, respondWith(okResponse)), newPool(4)
	address, sendBy := server.Addr().String(), 0.0
	hookConns(pool, func() {}, func() error {
		if sendBy == 0 {
			return nil
		}
		pool.waitUntil(sendBy)
		return syscall.EPIPE
	})
	pool.attempt(address, "GET", 1000, nil)
	pool.expireReuseDelay()
	sendBy = pool.clock.Now() + 200
	checkResult(t, pool, pool.attemptSendBy(address, sendBy, 0), decision.NotSent, 0)
	if n := pool.Stats(); n.Opened != 1 || server.requests.Load() != 1 {
		t.Errorf("pool: got %d connections opened, request sent %d times, want 1, once", n.Opened, server.requests.Load())
	}
}

// A request that is partly written at SendBy is not written further: the endpoint, which runs it once it is complete,
// may have forgotten an earlier run by then. The endpoint does not count as unreachable.
func TestSendByInterruptsWrite(t *testing.T) {
	pool := newPool(4)
	l, results, sendBy := listenSmallBuffers(t, pool), make(chan engine.AttemptResult, 1), pool.clock.Now()+200
	pool.SetAddress("n", l.Addr().String())
	go func() { results <- pool.attemptSendBy(l.Addr().String(), sendBy, oversizedBody) }()
	endpoint := acceptStarted(t, l)
	pool.waitUntil(sendBy + 20)
	if received, _ := io.ReadAll(endpoint); len(received) >= oversizedBody {
		t.Errorf("endpoint: got %d bytes of the request, want fewer than %d", len(received), oversizedBody)
	}
	checkResult(t, pool, <-results, decision.NotSent, 0)
}
