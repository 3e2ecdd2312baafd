package ingress

import (
	"io"
	"net"
	"net/http"
	"ottershed/internal/sockopt"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// peak is the most of each that was held at once.
type peak struct {
	mu                    sync.Mutex
	connections, requests int
}

// startWatched starts a front of which peak is taken at each step of a connection.
func startWatched(t *testing.T, maxConnections int) (*Server, fakeEngine, string, *peak) {
	l, p := listen(t), &peak{}
	f, m := serve(t, l, maxConnections, func(f *Server) {
		observeStates(f, func(net.Conn, http.ConnState) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.connections, p.requests = max(p.connections, f.limiter.count()), max(p.requests, f.open())
		})
	})
	return f, m, l.Addr().String(), p
}

// check fails if more connections were held, more hits than connections, or more goroutines are left than serve them: two
// for each, and some for the test, beside those that were there before.
func (p *peak) check(t *testing.T, f *Server, connections, before int) {
	t.Helper()
	p.mu.Lock()
	if p.connections > connections || p.requests > connections {
		t.Errorf("%d connections, %d hits; want %d at most", p.connections, p.requests, connections)
	}
	p.mu.Unlock()
	waitFor(t, "the end of all hits", func() bool { return f.open() == 0 })
	waitFor(t, "the end of goroutines", func() bool { return runtime.NumGoroutine() <= before+2*connections+10 })
}

// ask sends a request and wants the answer in time.
func (c *client) ask() {
	c.t.Helper()
	began := time.Now()
	c.send("GET /read/other", "X-Time-Left: 1\r\n", "")
	if c.wantResponse(); time.Since(began) > responseDue {
		c.t.Errorf("answered after %v", time.Since(began))
	}
}

// Guards against a flood of connections beyond the limit that takes descriptors and memory without bound, shuts other
// clients out, or is left without answers. While the marshal is slow, all beyond the limit are answered before it answers.
func TestConnectionFlood(t *testing.T) {
	const most, flood = 16, 100
	for name, tc := range map[string]struct{ silent, slow bool }{
		"silent":                            {true, false},
		"asking":                            {false, false},
		"asking, while the marshal is slow": {false, true},
	} {
		t.Run(name, func(t *testing.T) {
			before := runtime.NumGoroutine()
			f, m, address, p := startWatched(t, most)
			if !tc.slow {
				respondToRequests(t, m, failed)
			}
			var asking sync.WaitGroup
			var responded atomic.Int64
			for range flood {
				c := dial(t, address)
				if !tc.silent {
					c.send("GET /read/flood", "X-Time-Left: 2\r\n", "")
					asking.Go(func() { c.wantResponse(); responded.Add(1) })
				}
			}
			if tc.slow {
				waitFor(t, "the answers that need no marshal", func() bool { return len(m.requests)+int(responded.Load()) == flood })
				respondToRequests(t, m, failed)
			}
			for range 3 {
				dial(t, address).ask()
			}
			asking.Wait()
			p.check(t, f, most+most/8+1, before)
		})
	}
}

// Guards against hundreds of requests on one connection that hold up other clients, are kept in memory, or are lost.
func TestRequestFlood(t *testing.T) {
	const flood = 500
	for name, batch := range map[string]int{"one after the other": 1, "pipelined": flood} {
		t.Run(name, func(t *testing.T) {
			before := runtime.NumGoroutine()
			f, m, address, p := startWatched(t, 16)
			respondToRequests(t, m, failed)
			c, other, done := dial(t, address), dial(t, address), make(chan bool, 1)
			go func() {
				for range flood / batch {
					for range batch {
						c.send("GET /read/flood", "X-Time-Left: 2\r\n", "")
					}
					for range batch {
						c.wantResponse()
					}
				}
				done <- true
			}()
			for len(done) == 0 {
				other.ask()
			}
			p.check(t, f, 2, before)
		})
	}
}

// Guards against a time limit that each byte starts anew: a client that sends a byte every few ms is cut off as early as a
// silent one, and its request never reaches the marshal.
func TestTrickle(t *testing.T) {
	for name, begin := range map[string]string{"the head": "", "the body": "POST /pay/1 HTTP/1.1\r\nHost: app.svc\r\n" +
		"X-Time-Left: 2\r\nX-Correlation-Id: slow\r\nContent-Length: 2000\r\n\r\n"} {
		for kind, kept := range map[string]bool{"a first request": false, "a second request": true} {
			t.Run(name+" of "+kind, func(t *testing.T) {
				t.Parallel()
				f, m, address := start(t, 10)
				c := dial(t, address)
				if kept {
					c.keep(f)
				}
				began, ended := time.Now(), make(chan error, 1)
				go func() {
					_, err := c.r.ReadByte()
					ended <- err
				}()
				io.WriteString(c, begin)
				for i := 0; len(ended) == 0; i++ {
					io.WriteString(c, ("GET /read/1 HTTP/1.1\r\nX-Filler: " + strings.Repeat("x", 2000))[i:i+1])
					time.Sleep(5 * time.Millisecond)
				}
				if err, took := <-ended, time.Since(began); err == nil || took > 2*readTimeout {
					t.Errorf("%v after %v, want a close after %v", err, took, readTimeout)
				}
				if len(m.requests) != 0 {
					t.Error("it reached the marshal")
				}
			})
		}
	}
}

// Guards against a client that reads its answers a byte at a time, and so holds up who writes them: others are served
// meanwhile, and no answer is cut off.
func TestSlowReader(t *testing.T) {
	const requests = 8 // with answers that don't fit into the buffers of both sides
	l := listen(t)
	f, m := serve(t, l, 10, func(f *Server) {
		observeStates(f, func(connection net.Conn, _ http.ConnState) { connection.(*sockopt.Conn).SetWriteBuffer(4 << 10) })
	})
	respondToRequests(t, m, succeeded(maxBody))
	c, other := dial(t, l.Addr().String()), dial(t, l.Addr().String())
	c.Conn.(*net.TCPConn).SetReadBuffer(32 << 10)
	for range requests {
		c.send("GET /read/slow", "X-Time-Left: 1\r\n", "")
	}
	read := make([]byte, 200)
	for i := range read {
		if _, err := c.Read(read[i : i+1]); err != nil {
			t.Fatal(err)
		}
		if i%10 == 0 {
			other.send("GET /read/other", "X-Time-Left: 1\r\n", "")
			if response, body := other.readResponse(); response.StatusCode != http.StatusOK || len(body) != maxBody {
				t.Errorf("another client: status %d, %d bytes", response.StatusCode, len(body))
			}
		}
	}
	waitFor(t, "the other client's rest", func() bool { return f.limiter.resting() == 1 }) // and none of the slow one
	c.r.Reset(io.MultiReader(strings.NewReader(string(read)), c.Conn))
	for range requests {
		if response, body := c.readResponse(); response.StatusCode != http.StatusOK || len(body) != maxBody {
			t.Errorf("status %d, %d bytes", response.StatusCode, len(body))
		}
	}
}
