package ingress

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ottershed/internal/sockopt"
)

// peak is the most of each that stood at once.
type peak struct {
	mu                    sync.Mutex
	connections, requests int
}

// startWatched starts a server of which peak is taken at each step of a connection.
func startWatched(t *testing.T, maxConnections int) (*Server, fakeEngine, string, *peak) {
	t.Helper()
	l, most := listen(t), &peak{}
	server, fake := serve(t, l, maxConnections, func(server *Server) {
		observeStates(server, func(net.Conn, http.ConnState) {
			most.mu.Lock()
			defer most.mu.Unlock()
			most.connections, most.requests = max(most.connections, server.limiter.count()), max(most.requests, server.open())
		})
	})
	return server, fake, l.Addr().String(), most
}

// check fails if more connections stood, or requests were open, than may, or more goroutines are left than serve them:
// two for each, and some for the test, beside those that were there before.
func (most *peak) check(t *testing.T, server *Server, connections, before int) {
	t.Helper()
	most.mu.Lock()
	if most.connections > connections || most.requests > connections {
		t.Errorf("%d connections, %d requests; want %d at most", most.connections, most.requests, connections)
	}
	most.mu.Unlock()
	waitFor(t, "the end of all requests", func() bool { return server.open() == 0 })
	waitFor(t, "the end of goroutines", func() bool { return runtime.NumGoroutine() <= before+2*connections+10 })
}

// ask sends a request and checks that its response comes in time.
func (conn *client) ask() {
	conn.t.Helper()
	began := time.Now()
	conn.send("GET /read/other", "X-Time-Left: 1\r\n", "")
	if conn.wantResponse(); time.Since(began) > responseDue {
		conn.t.Errorf("responded to after %v", time.Since(began))
	}
}

// Guards against a flood of connections beyond the limit that takes descriptors and memory without bound, shuts other
// clients out, or is left without responses. While the engine is slow, all beyond the limit are rejected meanwhile.
func TestConnectionFlood(t *testing.T) {
	const limit, flood = 16, 100
	for name, test := range map[string]struct{ silent, slow bool }{
		"silent":                           {true, false},
		"asking":                           {false, false},
		"asking, while the engine is slow": {false, true},
	} {
		t.Run(name, func(t *testing.T) {
			before := runtime.NumGoroutine()
			server, fake, address, most := startWatched(t, limit)
			if !test.slow {
				respondToRequests(t, fake, failed)
			}
			var asking sync.WaitGroup
			var responded atomic.Int64
			for range flood {
				conn := dial(t, address)
				if !test.silent {
					conn.send("GET /read/flood", "X-Time-Left: 2\r\n", "")
					asking.Go(func() { conn.wantResponse(); responded.Add(1) })
				}
			}
			if test.slow {
				waitFor(t, "the responses that need no engine", func() bool {
					return len(fake.requests)+int(responded.Load()) == flood
				})
				respondToRequests(t, fake, failed)
			}
			for range 3 {
				dial(t, address).ask()
			}
			asking.Wait()
			most.check(t, server, limit+limit/8+1, before)
		})
	}
}

// Guards against hundreds of requests on one connection that hold up other clients, are kept in memory, or are lost.
func TestRequestFlood(t *testing.T) {
	const flood = 500
	for name, batch := range map[string]int{"one after the other": 1, "pipelined": flood} {
		t.Run(name, func(t *testing.T) {
			before := runtime.NumGoroutine()
			server, fake, address, most := startWatched(t, 16)
			respondToRequests(t, fake, failed)
			conn, other, done := dial(t, address), dial(t, address), make(chan bool, 1)
			go func() {
				for range flood / batch {
					for range batch {
						conn.send("GET /read/flood", "X-Time-Left: 2\r\n", "")
					}
					for range batch {
						conn.wantResponse()
					}
				}
				done <- true
			}()
			for len(done) == 0 {
				other.ask()
			}
			most.check(t, server, 2, before)
		})
	}
}

// Guards against a time limit that each byte starts anew: a client that sends a byte every few ms is cut off as early
// as a silent one, and its request never reaches the engine.
func TestTrickle(t *testing.T) {
	for name, begin := range map[string]string{"the head": "", "the body": "POST /pay/1 HTTP/1.1\r\nHost: app.svc\r\n" +
		"X-Time-Left: 2\r\nX-Correlation-Id: slow\r\nContent-Length: 2000\r\n\r\n"} {
		for kind, kept := range map[string]bool{"a first request": false, "a second request": true} {
			t.Run(name+" of "+kind, func(t *testing.T) {
				t.Parallel()
				server, fake, address := start(t, 10)
				conn := dial(t, address)
				if kept {
					conn.keep(server)
				}
				began, ended := time.Now(), make(chan error, 1)
				go func() {
					_, err := conn.r.ReadByte()
					ended <- err
				}()
				conn.write(begin)
				for i := 0; len(ended) == 0; i++ {
					conn.write(("GET /read/1 HTTP/1.1\r\nX-Filler: " + strings.Repeat("x", 2000))[i : i+1])
					time.Sleep(5 * time.Millisecond)
				}
				if err, took := <-ended, time.Since(began); err == nil || took > 2*readTimeout {
					t.Errorf("%v after %v, want a close after %v", err, took, readTimeout)
				}
				if len(fake.requests) != 0 {
					t.Error("it reached the engine")
				}
			})
		}
	}
}

// Guards against a client that reads its responses a byte at a time, and so holds up who writes them: others are served
// meanwhile, and no response is cut off.
func TestSlowReader(t *testing.T) {
	const requests = 8 // with responses that don't fit into the buffers of both sides
	l := listen(t)
	server, fake := serve(t, l, 10, func(server *Server) {
		observeStates(server, func(connection net.Conn, _ http.ConnState) {
			_ = connection.(*sockopt.Conn).SetWriteBuffer(4 << 10) // fails on a connection that has ended only
		})
	})
	respondToRequests(t, fake, succeeded(maxBody))
	conn, other := dial(t, l.Addr().String()), dial(t, l.Addr().String())
	if err := conn.Conn.(*net.TCPConn).SetReadBuffer(32 << 10); err != nil {
		t.Fatal(err)
	}
	for range requests {
		conn.send("GET /read/slow", "X-Time-Left: 1\r\n", "")
	}
	read := make([]byte, 200)
	for i := range read {
		if _, err := conn.Read(read[i : i+1]); err != nil {
			t.Fatal(err)
		}
		if i%10 == 0 {
			other.send("GET /read/other", "X-Time-Left: 1\r\n", "")
			if response, body := other.readResponse(); response.StatusCode != http.StatusOK || len(body) != maxBody {
				t.Errorf("another client: status %d, %d bytes", response.StatusCode, len(body))
			}
		}
	}
	waitFor(t, "the other client's rest", func() bool { return server.limiter.resting() == 1 }) // and none of the slow one
	conn.r.Reset(io.MultiReader(strings.NewReader(string(read)), conn.Conn))
	for range requests {
		if response, body := conn.readResponse(); response.StatusCode != http.StatusOK || len(body) != maxBody {
			t.Errorf("status %d, %d bytes", response.StatusCode, len(body))
		}
	}
}
