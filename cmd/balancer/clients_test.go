package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// startRequests is clients that send one request after another, every second client non-idempotent ones.
type clientLoad struct {
	url       string // of the instance
	client    *http.Client
	pause     time.Duration              // of a client between a response and its next request
	check     func(*testing.T, response) // what is to hold for each response
	ids       atomic.Int32
	sent      atomic.Int32
	responded atomic.Int32
	succeeded atomic.Int32 // responses with status 200
	stopping  chan struct{}
	stopOnce  sync.Once
	clients   sync.WaitGroup
}

// response is what a client got.
type response struct {
	status int
	body   string
	err    error // of reading the body
	took   time.Duration
}

// start runs so many clients, once the instance listens.
func (l *clientLoad) start(t *testing.T, clients int) {
	t.Helper()
	l.stopping = make(chan struct{})
	t.Cleanup(l.stop)
	awaitListening(t, l.client, l.url)
	for i := range clients {
		l.clients.Go(func() {
			for !l.stopped() && l.send(t, i%2 == 0) {
				time.Sleep(l.pause)
			}
		})
	}
}

func (l *clientLoad) stopped() bool {
	select {
	case <-l.stopping:
		return true
	default:
		return false
	}
}

// send sends a request, and tells whether it got a response.
func (l *clientLoad) send(t *testing.T, nonIdempotent bool) bool {
	t.Helper()
	method, path, body := http.MethodGet, "/read/1", ""
	if nonIdempotent {
		method, path, body = http.MethodPost, "/pay/1", "body"
	}
	request, err := newRequest(method, l.url+path, body, fmt.Sprint(l.ids.Add(1)), "0.250")
	if err != nil {
		t.Error(err)
		return false
	}
	l.sent.Add(1)
	began := time.Now()
	res, err := l.client.Do(request)
	if err != nil {
		t.Errorf("a request got no response: %v", err)
		return false
	}
	raw, err := io.ReadAll(res.Body)
	_ = res.Body.Close() // read to its end
	l.check(t, response{res.StatusCode, string(raw), err, time.Since(began)})
	l.responded.Add(1)
	if res.StatusCode == http.StatusOK {
		l.succeeded.Add(1)
	}
	return true
}

// stop ends the clients, and returns once they have ended. The end of the test does so too.
func (l *clientLoad) stop() {
	l.stopOnce.Do(func() { close(l.stopping) })
	l.clients.Wait()
}

// awaitMore waits until a counter has grown by so much.
func awaitMore(t *testing.T, counter *atomic.Int32, more int32) {
	t.Helper()
	until := counter.Load() + more
	waitFor(t, stepTimeout, "too few requests get a response", func() bool { return counter.Load() >= until })
}

// awaitListening waits until an instance responds to anything at all.
func awaitListening(t *testing.T, client *http.Client, url string) {
	t.Helper()
	waitFor(t, stepTimeout, "the instance does not listen", func() bool {
		res, err := client.Get(url + "/up")
		if err != nil {
			return false
		}
		_ = res.Body.Close() // its status is not asked for
		return true
	})
}

// newRequest makes a request with the headers that clients send.
func newRequest(method, url, body, id, secondsLeft string) (*http.Request, error) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("X-Correlation-Id", id)
	request.Header.Set("X-Time-Left", secondsLeft)
	return request, nil
}
