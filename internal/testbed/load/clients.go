// Package load sends requests to the balancers of a fleet as its clients do. Clients sends single requests; Load is a
// number of clients that send one after another and resume requests whose balancer was lost.
//
// Files: clients.go (a request and its response), load.go (many clients and what became of their requests).
package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Request classes of the fleet's balancers.
const (
	ClassRead     = "read"      // idempotent
	ClassSendText = "send-text" // non-idempotent
)

const (
	clientDeadline     = time.Second        // that a request carries to the balancer
	clientTimeout      = 3 * clientDeadline // after which a client gives up, whatever the balancer does
	maxIdleConnections = 64                 // that clients keep to each balancer
)

// ErrMismatchedResponse is a response that belongs to another request.
var ErrMismatchedResponse = errors.New("response to another request")

// Clients send requests over connections that they keep.
type Clients struct {
	http *http.Client
}

// NewClients makes clients; Close them at the end.
func NewClients() *Clients {
	transport := &http.Transport{Proxy: nil, MaxIdleConnsPerHost: maxIdleConnections}
	return &Clients{http: &http.Client{Timeout: clientTimeout, Transport: transport}}
}

// Close closes the connections that are idle.
func (c *Clients) Close() { c.http.CloseIdleConnections() }

// Response is what a client received.
type Response struct {
	Status     int    // 0: none
	RetryAfter string // the header of that name
	Endpoint   string // that handled the request; empty where it did not succeed
	Took       time.Duration
}

// Send sends one request of a class to a balancer.
func (c *Clients) Send(ctx context.Context, address, class, id string) (Response, error) {
	return c.send(ctx, address, class, id, false)
}

// Resume sends a request again, with the same id, whose first balancer was lost with it.
func (c *Clients) Resume(ctx context.Context, address, class, id string) (Response, error) {
	return c.send(ctx, address, class, id, true)
}

func (c *Clients) send(ctx context.Context, address, class, requestID string, resume bool) (Response, error) {
	began := time.Now()
	request, err := newRequest(ctx, address, class, requestID, resume)
	if err != nil {
		return Response{}, err
	}
	reply, err := c.http.Do(request)
	if err != nil {
		return Response{Took: time.Since(began)}, err
	}
	defer func() { _ = reply.Body.Close() }() // it has been read
	text, err := io.ReadAll(reply.Body)
	if err != nil {
		return Response{Took: time.Since(began)}, err
	}
	response := Response{
		Status: reply.StatusCode, RetryAfter: reply.Header.Get("Retry-After"), Took: time.Since(began),
	}
	ran, endpoint, ok := strings.Cut(string(text), " of ")
	if !ok || reply.StatusCode != http.StatusOK {
		return response, nil
	}
	if ran != requestID {
		return response, fmt.Errorf("request %s: %w: %s", requestID, ErrMismatchedResponse, ran)
	}
	response.Endpoint = endpoint
	return response, nil
}

func newRequest(ctx context.Context, address, class, id string, resume bool) (*http.Request, error) {
	method, body := http.MethodGet, io.Reader(nil)
	if class == ClassSendText {
		method, body = http.MethodPost, strings.NewReader("the river rises")
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/"+class+"/1", body)
	if err != nil {
		return nil, fmt.Errorf("request %s: %w", id, err)
	}
	request.Header.Set("X-Correlation-Id", id)
	request.Header.Set("X-Time-Left", fmt.Sprintf("%.3f", clientDeadline.Seconds()))
	if resume {
		request.Header.Set("X-Resume", "1")
	}
	return request, nil
}
