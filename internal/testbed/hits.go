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
type Ended struct {
	Status   int // 0: no answer
	ComeBack string
	Node     string // that delivered it
	Took     time.Duration
}

// Hit sends one hit to a marshal: a repeatable one to "read", a mutating one to "send-text".
func (c *Clients) Hit(ctx context.Context, address, group, id string) (Ended, error) {
	return c.hit(ctx, address, group, id, false)
}

// Resume brings a hit again, by its id, that another marshal had when it was lost.
func (c *Clients) Resume(ctx context.Context, address, group, id string) (Ended, error) {
	return c.hit(ctx, address, group, id, true)
}

func (c *Clients) hit(ctx context.Context, address, group, id string, again bool) (Ended, error) {
	method, body := http.MethodGet, io.Reader(nil)
	if group == "send-text" {
		method, body = http.MethodPost, strings.NewReader("the river rises")
	}
	began := time.Now()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/"+group+"/1", body)
	if err != nil {
		return Ended{}, fmt.Errorf("hit: %w", err)
	}
	req.Header.Set("X-Correlation-Id", id)
	req.Header.Set("X-Time-Left", fmt.Sprintf("%.3f", clientTimeout.Seconds()))
	if again {
		req.Header.Set("X-Resume", "1")
	}
	res, err := c.http.Do(req)
	if err != nil {
		return Ended{Took: time.Since(began)}, err
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return Ended{Took: time.Since(began)}, err
	}
	e := Ended{Status: res.StatusCode, ComeBack: res.Header.Get("Retry-After"), Took: time.Since(began)}
	if mine, node, ok := strings.Cut(string(text), " of "); ok && res.StatusCode == http.StatusOK {
		if mine != id {
			return e, fmt.Errorf("hit %s was answered as %s", id, mine)
		}
		e.Node = node
	}
	return e, nil
}
