package ingress

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ottershed/internal/sockopt"
)

// peakCounts holds the largest numbers of connections and of open requests at one time.
type peakCounts struct {
	mu                    sync.Mutex
	connections, requests int
}

// startCounting starts a server and counts its connections and requests at each state change of a connection.
func startCounting(t *testing.T, maxConnections int) (*Server, fakeEngine, string, *peakCounts) {
	t.Helper()
	l, peak := listen(t), &peakCounts{}
	server, fake := serve(t, l, maxConnections, func(server *Server) {
		observeStates(server, func(net.Conn, http.ConnState) {
			peak.mu.Lock()
			defer peak.mu.Unlock()
			peak.connections, peak.requests = max(peak.connections, server.limiter.connCount()), max(peak.requests, server.ids.count())
		})
	})
	return server, fake, l.Addr().String(), peak
}

// check fails the test if there were more connections or open requests than the given number. It also fails the test if
// requests stay open, or if more goroutines stay than before: two for each connection and ten for the test are allowed.
func (p *peakCounts) check(t *testing.T, server *Server, connections, goroutines int) {
	t.Helper()
	p.mu.Lock()
	if p.connections > connections || p.requests > connections {
		t.Errorf("peak: got %d connections, %d requests; want at most %d of each", p.connections, p.requests, connections)
	}
	p.mu.Unlock()
	waitFor(t, "all requests have ended", func() bool { return server.ids.count() == 0 })
	waitFor(t, "goroutines have ended", func() bool { return runtime.NumGoroutine() <= goroutines+2*connections+10 })
}

// exchangeInTime sends a request and checks that its response arrives within responseTimeout.
func (c *client) exchangeInTime() {
	c.t.Helper()
	began := time.Now()
	c.send("GET /read/other", "X-Time-Left: 1\r\n", "")
	if c.readFailedOrRejected(); time.Since(began) > responseTimeout {
		c.t.Errorf("response: got it after %v, want at most %v", time.Since(began), responseTimeout)
	}
}

// Guards against connections beyond the limit that use file descriptors and memory without bound, block other clients, or
// get no responses. While the engine does not respond, the requests beyond the limit are rejected.
func TestConnectionFloodIsBounded(t *testing.T) {
	const limit, flood = 16, 100
	for name, test := range map[string]struct {
		clientsSilent bool // the clients send no requests
		responsesLate bool // the engine responds only when all requests beyond the limit are rejected
	}{
		"no requests":              {true, false},
		"requests":                 {false, false},
		"requests, late responses": {false, true},
	} {
		t.Run(name, func(t *testing.T) {
			before := runtime.NumGoroutine()
			server, fake, address, peak := startCounting(t, limit)
			if !test.responsesLate {
				respondToRequests(t, fake, failedResult)
			}
			var clients sync.WaitGroup
			var responded atomic.Int64
			for range flood {
				conn := dial(t, address)
				if !test.clientsSilent {
					conn.send("GET /read/flood", "X-Time-Left: 2\r\n", "")
					clients.Go(func() { conn.readFailedOrRejected(); responded.Add(1) })
				}
			}
			if test.responsesLate {
				waitFor(t, "all other requests are rejected", func() bool {
					return len(fake.requests)+int(responded.Load()) == flood
				})
				respondToRequests(t, fake, failedResult)
			}
			for range 3 {
				dial(t, address).exchangeInTime()
			}
			clients.Wait()
			peak.check(t, server, limit+limit/8+1, before)
		})
	}
}

// Guards against hundreds of requests on one connection that delay other clients, accumulate in memory, or are lost.
func TestRequestFloodIsBounded(t *testing.T) {
	const flood = 500
	for name, batch := range map[string]int{"sequential": 1, "pipelined": flood} {
		t.Run(name, func(t *testing.T) {
			before := runtime.NumGoroutine()
			server, fake, address, peak := startCounting(t, 16)
			respondToRequests(t, fake, failedResult)
			conn, other, done := dial(t, address), dial(t, address), make(chan bool, 1)
			go func() {
				for range flood / batch {
					for range batch {
						conn.send("GET /read/flood", "X-Time-Left: 2\r\n", "")
					}
					for range batch {
						conn.readFailedOrKept()
					}
				}
				done <- true
			}()
			for len(done) == 0 {
				other.exchangeInTime()
			}
			peak.check(t, server, 2, before)
		})
	}
}

// Guards against a read timeout that each byte restarts. A client that sends a byte every 5 ms is disconnected as early as
// one that sends nothing, and its request never reaches the engine.
func TestTrickledRequestIsCutOff(t *testing.T) {
	for name, prefix := range map[string]string{"headers": "", "body": "POST /pay/1 HTTP/1.1\r\nHost: app.svc\r\n" +
		"X-Time-Left: 2\r\nX-Correlation-Id: slow\r\nContent-Length: 2000\r\n\r\n"} {
		for kind, idle := range map[string]bool{"first request": false, "second request": true} {
			t.Run(name+" of "+kind, func(t *testing.T) {
				t.Parallel()
				server, fake, address := start(t, 10)
				conn := dial(t, address)
				if idle {
					conn.makeIdle(server)
				}
				began, ended := time.Now(), make(chan error, 1)
				go func() {
					_, err := conn.r.ReadByte()
					ended <- err
				}()
				conn.write(prefix)
				for i := 0; len(ended) == 0; i++ {
					conn.write(("GET /read/1 HTTP/1.1\r\nX-Filler: " + strings.Repeat("x", 2000))[i : i+1])
					time.Sleep(5 * time.Millisecond)
				}
				if err, took := <-ended, time.Since(began); err == nil || took > 2*readTimeout {
					t.Errorf("connection: got error %v after %v, want a close after %v", err, took, readTimeout)
				}
				if len(fake.requests) != 0 {
					t.Error("engine: got an incomplete request, want none")
				}
			})
		}
	}
}

// Guards against a client that reads its responses byte by byte and blocks the writing goroutine. Other clients are served
// meanwhile, and no response is truncated.
func TestSlowReaderDoesNotBlockOthers(t *testing.T) {
	const requests = 8 // their responses exceed the socket buffers of both sides
	l := listen(t)
	server, fake := serve(t, l, 10, func(server *Server) {
		observeStates(server, func(connection net.Conn, _ http.ConnState) {
			_ = connection.(*sockopt.Conn).SetWriteBuffer(4 << 10) // fails only on a closed connection
		})
	})
	respondToRequests(t, fake, succeededResult(maxBodyBytes))
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
			if response, body := other.readResponse(); response.StatusCode != http.StatusOK || len(body) != maxBodyBytes {
				t.Errorf("other client: got status %d, %d bytes; want 200, %d", response.StatusCode, len(body), maxBodyBytes)
			}
		}
	}
	// The connection of the slow client is not idle.
	waitFor(t, "connection of the other client is idle", func() bool { return server.limiter.idleCount() == 1 })
	conn.r.Reset(io.MultiReader(strings.NewReader(string(read)), conn.Conn))
	for range requests {
		if response, body := conn.readResponse(); response.StatusCode != http.StatusOK || len(body) != maxBodyBytes {
			t.Errorf("response: got status %d, %d bytes; want 200, %d", response.StatusCode, len(body), maxBodyBytes)
		}
	}
}

// Guards against a client that takes the processor from others by small requests on one connection: beyond a burst, they are
// handled at connRequestRate. Each gets its response.
func TestRequestsOfOneConnectionArePaced(t *testing.T) {
	const beyondBurst = 100
	_, _, address := start(t, 10)
	c := dial(t, address)
	began := time.Now()
	c.write(strings.Repeat("GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n", connRequestBurst+beyondBurst))
	for i := range connRequestBurst + beyondBurst {
		if response, _ := c.readResponse(); response.StatusCode != http.StatusOK {
			t.Fatalf("response %d: got status %d, want 200", i, response.StatusCode)
		}
	}
	if took, want := time.Since(began), beyondBurst*time.Second/connRequestRate; took < want {
		t.Errorf("%d requests beyond the burst took %v, want at least %v", beyondBurst, took, want)
	}
}

// Guards against heads of very many short fields, which take much memory: they are refused before they are parsed, also on a
// connection that has carried requests, and as many fields as are allowed are accepted.
func TestHeaderFieldsAreLimited(t *testing.T) {
	_, fake, address := start(t, 10)
	respondToRequests(t, fake, failedResult)
	const ownFields = 3 // of send, with X-Time-Left
	send := func(c *client, lines int) {
		c.send("GET /read/1", "X-Time-Left: 1\r\n"+strings.Repeat("A:\r\n", lines-1-ownFields), "")
	}
	c := dial(t, address)
	for range 2 {
		send(c, maxHeaderLines)
		if response, _ := c.readResponse(); response.StatusCode != http.StatusInternalServerError {
			t.Errorf("%d lines: got status %d, want 500 from the engine", maxHeaderLines, response.StatusCode)
		}
	}
	send(c, maxHeaderLines+1)
	if response, _ := c.readResponse(); response.StatusCode != http.StatusBadRequest || !response.Close {
		t.Errorf("%d lines: got status %d, close %v, want 400 with close", maxHeaderLines+1, response.StatusCode, response.Close)
	}
}

// Guards against hundreds of clients that stop within a request and keep others from being accepted until readTimeout.
func TestIncompleteRequestsDoNotBlockOthers(t *testing.T) {
	const limit, clients = 16, 100
	for name, part := range map[string]string{
		"half heads": "GET /read/1 HTTP/1.1\r\nHost: app.svc\r\nX-Ti",
		"half bodies": "POST /pay/1 HTTP/1.1\r\nHost: app.svc\r\nX-Time-Left: 2\r\nX-Correlation-Id: %d\r\nContent-Length: 9\r\n\r\n" +
			"half",
	} {
		t.Run(name, func(t *testing.T) {
			_, fake, address := start(t, limit)
			respondToRequests(t, fake, failedResult)
			for i := range clients {
				dial(t, address).write(strings.Replace(part, "%d", strconv.Itoa(i), 1))
			}
			for range 3 {
				dial(t, address).exchangeInTime()
			}
		})
	}
}

// A connection whose request is incomplete is evicted only beyond the limit, only after its grace period, and never with bytes
// in its socket, which may be the rest.
func TestIncompleteRequestIsEvictedOnlyWhileItsRestIsMissing(t *testing.T) {
	server, fake, address := start(t, 10)
	respondToRequests(t, fake, failedResult)
	c := dial(t, address)
	c.write(nextRequest[:len(nextRequest)/2])
	waitFor(t, "server has read the request part", func() bool { return server.limiter.pendingCount() == 1 })
	if server.limiter.evictAll(); server.limiter.connCount() != 1 {
		t.Fatal("connection: evicted within its grace period, want it kept")
	}
	time.Sleep(newConnectionGrace)
	server.limiter.mu.Lock() // holds up the eviction, not the reader
	c.write(nextRequest[len(nextRequest)/2:])
	server.limiter.mu.Unlock()
	server.limiter.evictAll()
	c.readFailedOrRejected()
	other := dial(t, address)
	other.write(nextRequest[:len(nextRequest)/2])
	waitFor(t, "server has read the request part", func() bool { return server.limiter.pendingCount() == 1 })
	time.Sleep(newConnectionGrace)
	server.limiter.evictAll()
	if response, _ := other.readResponse(); response.StatusCode != 0 {
		t.Errorf("response: got status %d, want a close without a response", response.StatusCode)
	}
}
