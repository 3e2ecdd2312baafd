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

// clientLoad runs clients that each send one request after another. Every second client sends non-idempotent requests.
type clientLoad struct {
	url       string // URL of the instance
	client    *http.Client
	pause     time.Duration              // pause of each client after a response
	check     func(*testing.T, response) // called with each response
	lastID    atomic.Int32               // X-Correlation-Id of the newest request
	requests  atomic.Int32               // number of requests
	responses atomic.Int32               // number of responses
	successes atomic.Int32               // number of responses with status 200
	stopping  chan struct{}              // closed when stop is called
	stopOnce  sync.Once
	clients   sync.WaitGroup
}

// response is a response with the time since its request was sent.
type response struct {
	status  int
	body    string
	err     error // error of reading the body
	latency time.Duration
}

// start starts the clients once the instance listens.
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

// send sends a request, and reports whether it got a response.
func (l *clientLoad) send(t *testing.T, nonIdempotent bool) bool {
	t.Helper()
	method, path, body := http.MethodGet, "/read/1", ""
	if nonIdempotent {
		method, path, body = http.MethodPost, "/pay/1", "body"
	}
	request, err := newRequest(method, l.url+path, body, fmt.Sprint(l.lastID.Add(1)), "0.250")
	if err != nil {
		t.Errorf("construct request: %v", err)
		return false
	}
	l.requests.Add(1)
	sentAt := time.Now()
	res, err := l.client.Do(request)
	if err != nil {
		t.Errorf("request got no response: %v", err)
		return false
	}
	raw, err := io.ReadAll(res.Body)
	_ = res.Body.Close() // the body was read to its end
	l.check(t, response{res.StatusCode, string(raw), err, time.Since(sentAt)})
	l.responses.Add(1)
	if res.StatusCode == http.StatusOK {
		l.successes.Add(1)
	}
	return true
}

// stop stops the clients, and returns once they have stopped. The end of the test stops them too.
func (l *clientLoad) stop() {
	l.stopOnce.Do(func() { close(l.stopping) })
	l.clients.Wait()
}

// awaitMore waits until a counter has grown by the number more.
func awaitMore(t *testing.T, counter *atomic.Int32, more int32) {
	t.Helper()
	target := counter.Load() + more
	waitFor(t, stepTimeout, fmt.Sprintf("got fewer than %d more responses", more), func() bool { return counter.Load() >= target })
}

// awaitListening waits until an instance responds, whatever the status.
func awaitListening(t *testing.T, client *http.Client, url string) {
	t.Helper()
	waitFor(t, stepTimeout, "instance does not listen", func() bool {
		res, err := client.Get(url + "/up")
		if err != nil {
			return false
		}
		_ = res.Body.Close() // any response will do
		return true
	})
}

// newRequest returns a request with the headers that clients send.
func newRequest(method, url, body, id, secondsLeft string) (*http.Request, error) {
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header.Set("X-Correlation-Id", id)
	request.Header.Set("X-Time-Left", secondsLeft)
	return request, nil
}
