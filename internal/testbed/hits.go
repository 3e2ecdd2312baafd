package testbed

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// clientTimeout is how long a client of the lab waits for an answer.
const clientTimeout = time.Second

// Clients send hits as the fleet's clients do.
type Clients struct {
	http *http.Client
}

// NewClients makes clients that keep their connections.
func NewClients() *Clients {
	return &Clients{http: &http.Client{Timeout: 3 * clientTimeout, Transport: &http.Transport{Proxy: nil, MaxIdleConnsPerHost: 64}}}
}

// Close closes their connections.
func (c *Clients) Close() { c.http.CloseIdleConnections() }

// Ended is how a hit ended at its client.
type Result struct {
	Status     int // 0: no answer
	RetryAfter string
	Endpoint   string // that delivered it
	Took       time.Duration
}

// Hit sends one hit to a marshal: a repeatable one to "read", a mutating one to "send-text".
func (c *Clients) Send(ctx context.Context, address, class, id string) (Result, error) {
	return c.send(ctx, address, class, id, false)
}

// Resume brings a hit again, by its id, that another marshal had when it was lost.
func (c *Clients) Resume(ctx context.Context, address, class, id string) (Result, error) {
	return c.send(ctx, address, class, id, true)
}

func (c *Clients) send(ctx context.Context, address, class, id string, resume bool) (Result, error) {
	method, body := http.MethodGet, io.Reader(nil)
	if class == "send-text" {
		method, body = http.MethodPost, strings.NewReader("the river rises")
	}
	began := time.Now()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/"+class+"/1", body)
	if err != nil {
		return Result{}, fmt.Errorf("hit: %w", err)
	}
	req.Header.Set("X-Correlation-Id", id)
	req.Header.Set("X-Time-Left", fmt.Sprintf("%.3f", clientTimeout.Seconds()))
	if resume {
		req.Header.Set("X-Resume", "1")
	}
	res, err := c.http.Do(req)
	if err != nil {
		return Result{Took: time.Since(began)}, err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return Result{Took: time.Since(began)}, err
	}
	e := Result{Status: res.StatusCode, RetryAfter: res.Header.Get("Retry-After"), Took: time.Since(began)}
	if gotID, endpoint, ok := strings.Cut(string(text), " of "); ok && res.StatusCode == http.StatusOK {
		if gotID != id {
			return e, fmt.Errorf("hit %s was answered as %s", id, gotID)
		}
		e.Endpoint = endpoint
	}
	return e, nil
}
