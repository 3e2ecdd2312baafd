package raftlog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"ottershed/internal/clock"
)

const (
	maxMessageBytes     = 4 << 20 // maximum size of the body of a proposal or a response
	idleConnTimeout     = time.Minute
	maxIdleConnsPerHost = 2
)

// ErrNoLeader is returned if no leader responded in time. It is then unknown whether a proposal was committed.
var ErrNoLeader = errors.New("log: no leader answered in time")

// Client accesses the log from a process that may not be a server. It remembers the last leader. All exported fields
// are required. Its methods may be called from any goroutine.
type Client struct {
	Servers []Server
	HTTP    *http.Client // client for calls to servers, created by NewHTTPClient
	// ElectionTimeout is that of the servers' Config. Time limits of attempts and pauses between them are derived from it.
	ElectionTimeout time.Duration
	Clock           *clock.Clock // clock of this process
	readings        leaderReadings
}

// NewHTTPClient returns an HTTP client for calls to servers, authenticated by key. The host of a URL is the ip:port of
// a server.
func NewHTTPClient(key []byte) *http.Client {
	return &http.Client{Transport: &http.Transport{
		Proxy:               nil,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return dial(ctx, address, httpKind, key)
		},
	}}
}

// Get sends a GET request to one server after another until one succeeds or ctx ends, and decodes the response as Call
// does. It returns the error of the last server.
func (c *Client) Get(ctx context.Context, path string, reply any) (err error) {
	for _, s := range c.Servers {
		attemptCtx, cancel := context.WithTimeout(ctx, c.ElectionTimeout)
		err = Call(attemptCtx, c.HTTP, s.Address, http.MethodGet, path, nil, reply)
		cancel()
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	return err
}

// address returns the address of a server; empty if there is no server of this name.
func (c *Client) address(name string) string {
	for _, s := range c.Servers {
		if s.Name == name {
			return s.Address
		}
	}
	return ""
}

// callLeader sends a POST request to the current leader, again and again until it succeeds or ctx ends. After
// the end of ctx, the error wraps ErrNoLeader.
func (n *Node) callLeader(ctx context.Context, path string, request, reply any) error {
	raw, err := json.Marshal(request)
	if err != nil {
		return err
	}
	for attempt := 0; ; attempt++ {
		address := n.leaderAddress()
		// A server that has lost the connection to its leader still names it as leader, so every other attempt goes to the
		// next server in turn.
		if address == "" || attempt%2 == 1 {
			address = n.cfg.Servers[attempt/2%len(n.cfg.Servers)].Address
		}
		attemptCtx, cancel := context.WithTimeout(ctx, 3*n.cfg.ElectionTimeout)
		err := Call(attemptCtx, n.httpClient, address, http.MethodPost, path, raw, reply)
		cancel()
		if err == nil {
			return nil
		}
		if !sleepContext(ctx, n.cfg.ElectionTimeout/10) {
			return fmt.Errorf("%w: %w", ErrNoLeader, err)
		}
	}
}

// leaderAddress returns the address of the leader as known to this server; empty if it knows none.
func (n *Node) leaderAddress() string {
	name := n.leaderName()
	if name == n.cfg.Name && !n.IsLeader() {
		return ""
	}
	address, err := n.address(name)
	if err != nil {
		return ""
	}
	return address
}

// Call sends a request with the body raw to the server at an address, and decodes the response into reply: the bytes
// unchanged if reply is a *[]byte, else JSON. Any status but 200 is an error.
func Call(ctx context.Context, c *http.Client, address, method, path string, raw []byte, reply any) error {
	res, err := exchange(ctx, c, address, method, path, raw)
	if err != nil {
		return err
	}
	if res.status != http.StatusOK {
		return fmt.Errorf("call %s%s: %d: %s", address, path, res.status, strings.TrimSpace(string(res.body)))
	}
	if body, ok := reply.(*[]byte); ok {
		*body = res.body
		return nil
	}
	if err := json.Unmarshal(res.body, reply); err != nil {
		return fmt.Errorf("call %s%s: %w", address, path, err)
	}
	return nil
}

// response is an HTTP response with its complete body.
type response struct {
	status int
	header http.Header
	body   []byte
}

// exchange sends a request and reads the response, regardless of its status.
func exchange(ctx context.Context, c *http.Client, address, method, path string, raw []byte) (response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(raw))
	if err != nil {
		return response{}, fmt.Errorf("call %s: %w", address, err)
	}
	res, err := c.Do(req)
	if err != nil {
		return response{}, fmt.Errorf("call %s: %w", address, err)
	}
	defer func() { _ = res.Body.Close() }() // the body was read, or the error of the read is returned
	body, err := io.ReadAll(io.LimitReader(res.Body, maxMessageBytes))
	if err != nil {
		return response{}, fmt.Errorf("call %s: %w", address, err)
	}
	return response{status: res.StatusCode, header: res.Header, body: body}, nil
}

// WriteJSON writes a value as a JSON response.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

// sleepContext waits for a span. It returns false if ctx ends before.
func sleepContext(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
