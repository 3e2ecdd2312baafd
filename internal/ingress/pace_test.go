package ingress

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// checkRequest is a request that needs no engine.
const checkRequest = "GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n"

// startPaced starts a server that has a number of cores, and counts the requests that it delays.
func startPaced(t *testing.T, cores float64) (address string, delayed *atomic.Int64) {
	t.Helper()
	l := listen(t)
	delayed = &atomic.Int64{}
	serve(t, l, 10, func(server *Server) {
		server.pacer = newPacer(cores)
		server.pacer.sleep = func(delay time.Duration) {
			if delay > 0 {
				delayed.Add(1)
			}
			time.Sleep(delay)
		}
	})
	return l.Addr().String(), delayed
}

// Guards against several clients that send requests without waiting for responses, each below the rate of one connection, and
// together take the processor from others.
func TestPipeliningConnectionsShareOneRate(t *testing.T) {
	const cores, clients, requests = 0.1, 2, connRequestBurst / 2
	address, _ := startPaced(t, cores)
	began := time.Now()
	var pipelining []*client
	for range clients {
		c := dial(t, address)
		c.write(strings.Repeat(checkRequest, requests))
		pipelining = append(pipelining, c)
	}
	for _, c := range pipelining {
		for i := range requests {
			if response, _ := c.readResponse(); response.StatusCode != http.StatusOK {
				t.Fatalf("response %d: got status %d, want 200", i, response.StatusCode)
			}
		}
	}
	const delayed = clients*(requests-1) - 1 // but the first of each connection, and the first of all others
	want := time.Duration(float64(delayed) / (cores * sharedRequestRate) * float64(time.Second))
	if took := time.Since(began); took < want {
		t.Errorf("%d requests of %d connections took %v, want at least %v", clients*requests, clients, took, want)
	}
}

// Guards against clients that keep to the protocol and are delayed: each sends its next request as soon as it has a response,
// and the process has hardly any processor time.
func TestClientsThatAwaitResponsesAreNotPaced(t *testing.T) {
	address, delayed := startPaced(t, 0.01)
	first, second := dial(t, address), dial(t, address)
	for range connRequestBurst {
		for _, c := range []*client{first, second} {
			c.write(checkRequest)
			if response, _ := c.readResponse(); response.StatusCode != http.StatusOK {
				t.Fatalf("response: got status %d, want 200", response.StatusCode)
			}
		}
	}
	if n := delayed.Load(); n > 0 {
		t.Errorf("delayed requests: got %d, want none", n)
	}
}

// Guards against a delay of a request that grows with the number of connections: its client would have no response in time.
func TestSharedDelayIsBounded(t *testing.T) {
	var longest time.Duration
	p := newPacer(0.01)
	p.sleep = func(delay time.Duration) { longest = max(longest, delay) }
	for range 1000 {
		p.awaitShared()
	}
	if longest != maxSharedDelay {
		t.Errorf("longest delay: got %v, want %v", longest, maxSharedDelay)
	}
	if delay := p.shared.Reserve().Delay(); delay > 2*maxSharedDelay {
		t.Errorf("delay after that: got %v, want at most %v: requests that did not wait must not count", delay, 2*maxSharedDelay)
	}
}

// Guards against clients that send invalid requests, each on a new connection as soon as they have their error, and take the
// processor from others. While more than half of the places are taken, they get their error at once and free theirs.
func TestInvalidRequestsShareOneRate(t *testing.T) {
	for name, test := range map[string]struct {
		request string
		status  int
	}{
		"unknown class":       {"GET /nothing HTTP/1.1\r\nHost: app.svc\r\nX-Time-Left: 1\r\n\r\n", http.StatusNotFound},
		"no HTTP":             {"\x01\x02\r\n\r\n", http.StatusBadRequest},
		"unknown transfer":    {"POST /pay/1 HTTP/1.1\r\nHost: app.svc\r\nTransfer-Encoding: gzip\r\n\r\n", http.StatusNotImplemented},
		"no HTTP behind more": {checkRequest + "\x01\x02\r\n\r\n", http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) { checkSharedRate(t, test.request, test.status) })
	}
}

// checkSharedRate fails the test if a text gets another status as its last response, or gets it faster than by the shared rate.
func checkSharedRate(t *testing.T, text string, status int) {
	t.Helper()
	const cores, requests, places = 0.1, 20, 10 // places of serve
	address, delayed := startPaced(t, cores)
	began := time.Now()
	refuse := func() {
		t.Helper()
		c := dial(t, address)
		c.write(text)
		response, _ := c.readResponse()
		for strings.HasPrefix(text, checkRequest) && response.StatusCode == http.StatusOK {
			response, _ = c.readResponse()
		}
		if response.StatusCode != status {
			t.Fatalf("response: got status %d, want %d", response.StatusCode, status)
		}
		c.closeConn()
	}
	for range requests {
		refuse()
	}
	want := time.Duration(float64(requests-1) / (cores * sharedRequestRate) * float64(time.Second))
	if took := time.Since(began); took < want {
		t.Errorf("%d invalid requests took %v, want at least %v", requests, took, want)
	}
	var open []*client
	for range places/2 + 1 {
		c := dial(t, address)
		c.write(checkRequest)
		c.readResponse()
		open = append(open, c)
	}
	before := delayed.Load()
	refuse()
	if n := delayed.Load() - before; n > 0 && !strings.HasPrefix(text, checkRequest) {
		t.Errorf("delayed requests with %d of %d places taken: got %d, want none", len(open), places, n)
	}
}
