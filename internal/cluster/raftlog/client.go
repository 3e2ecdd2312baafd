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
	maxMessageBytes     = 4 << 20 // bytes of a request or a response
	idleConnTimeout     = time.Minute
	maxIdleConnsPerHost = 2
)

// ErrNoLeader means that no leader responded in time. Whether a proposal was committed is then unknown.
var ErrNoLeader = errors.New("log: no leader answered in time")

// Client reaches the log from a process that does not keep it. It remembers the last leader. All fields are required.
type Client struct {
	Servers         []Server
	HTTP            *http.Client
	ElectionTimeout time.Duration
	Clock           *clock.Clock
	readings        leaderReadings
}

// NewHTTPClient makes a client for calls to servers; the host of a URL is a server's address.
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

// Get makes a GET request to one server after another until one responds.
func (c *Client) Get(ctx context.Context, path string, reply any) (err error) {
	for _, s := range c.Servers {
		tryCtx, cancel := context.WithTimeout(ctx, c.ElectionTimeout)
		err = Call(tryCtx, c.HTTP, s.Address, http.MethodGet, path, nil, reply)
		cancel()
		if err == nil || ctx.Err() != nil {
			break
		}
	}
	return err
}

func (c *Client) address(name string) string {
	for _, s := range c.Servers {
		if s.Name == name {
			return s.Address
		}
	}
	return ""
}

// callLeader makes a POST request to the leader, whichever server that is by then, until it succeeds or ctx ends.
func (n *Node) callLeader(ctx context.Context, path string, request, reply any) error {
	raw, err := json.Marshal(request)
	if err != nil {
		return err
	}
	for try := 0; ; try++ {
		address := n.leaderAddress()
		// A server that is cut off from its leader still names it; so every other try asks the next server.
		if address == "" || try%2 == 1 {
			address = n.cfg.Servers[try/2%len(n.cfg.Servers)].Address
		}
		tryCtx, cancel := context.WithTimeout(ctx, 3*n.cfg.ElectionTimeout)
		err := Call(tryCtx, n.httpClient, address, http.MethodPost, path, raw, reply)
		cancel()
		if err == nil {
			return nil
		}
		if !sleepContext(ctx, n.cfg.ElectionTimeout/10) {
			return fmt.Errorf("%w: %w", ErrNoLeader, err)
		}
	}
}

// leaderAddress is the address of the leader that this server knows of; empty if it knows none.
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

// Call makes a request to a server and decodes its response: JSON, or the bytes as they are if reply is a *[]byte.
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

// response is a response that was read whole.
type response struct {
	status int
	header http.Header
	body   []byte
}

// exchange makes a request and reads the response, whatever its status.
func exchange(ctx context.Context, c *http.Client, address, method, path string, raw []byte) (response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(raw))
	if err != nil {
		return response{}, fmt.Errorf("call %s: %w", address, err)
	}
	res, err := c.Do(req)
	if err != nil {
		return response{}, fmt.Errorf("call %s: %w", address, err)
	}
	defer func() { _ = res.Body.Close() }() // it was read, or the read has failed
	body, err := io.ReadAll(io.LimitReader(res.Body, maxMessageBytes))
	if err != nil {
		return response{}, fmt.Errorf("call %s: %w", address, err)
	}
	return response{status: res.StatusCode, header: res.Header, body: body}, nil
}

// WriteJSON writes a response.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

// sleepContext waits; false if ctx ended before.
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
