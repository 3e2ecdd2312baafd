// Package load sends requests to the balancers of a fleet. Clients sends single requests. Generator runs a number of
// clients that send requests in sequence and resume requests whose balancer was lost.
//
// Files: clients.go (one request and its response), load.go (many clients and the outcomes of their requests).
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

// Request classes that the balancers of a fleet are configured with.
const (
	ClassRead     = "read"      // idempotent
	ClassSendText = "send-text" // non-idempotent
)

const (
	clientDeadline     = time.Second        // deadline that a request carries to the balancer
	clientTimeout      = 3 * clientDeadline // time limit of the client, independent of the balancer
	maxIdleConnections = 64                 // maximum of idle connections from one Clients to one balancer
)

// ErrMismatchedResponse reports a response that belongs to another request.
var ErrMismatchedResponse = errors.New("response to another request")

// Clients sends requests over persistent connections. It is safe for concurrent use.
type Clients struct {
	http *http.Client
}

// NewClients returns clients that must be closed after use.
func NewClients() *Clients {
	transport := &http.Transport{Proxy: nil, MaxIdleConnsPerHost: maxIdleConnections}
	return &Clients{http: &http.Client{Timeout: clientTimeout, Transport: transport}}
}

// Close closes the idle connections.
func (c *Clients) Close() { c.http.CloseIdleConnections() }

// Response is a response as the client received it.
type Response struct {
	Status     int    // HTTP status; 0 if there is no response
	RetryAfter string // value of the Retry-After header
	Endpoint   string // name of the endpoint that handled the request; empty if the request failed
	Latency    time.Duration
}

// Send sends a request of a class, ClassRead or ClassSendText, to a balancer. A non-2xx response is not an error. A
// response that belongs to another request is an error that wraps ErrMismatchedResponse.
func (c *Clients) Send(ctx context.Context, address, class, id string) (Response, error) {
	return c.send(ctx, address, class, id, false)
}

// Resume sends a request again with the same id, after the balancer that received the request was lost.
func (c *Clients) Resume(ctx context.Context, address, class, id string) (Response, error) {
	return c.send(ctx, address, class, id, true)
}

func (c *Clients) send(ctx context.Context, address, class, requestID string, resume bool) (Response, error) {
	start := time.Now()
	request, err := newRequest(ctx, address, class, requestID, resume)
	if err != nil {
		return Response{}, err
	}
	reply, err := c.http.Do(request)
	if err != nil {
		return Response{Latency: time.Since(start)}, err
	}
	defer func() { _ = reply.Body.Close() }() // the body has been read
	text, err := io.ReadAll(reply.Body)
	if err != nil {
		return Response{Latency: time.Since(start)}, err
	}
	response := Response{
		Status: reply.StatusCode, RetryAfter: reply.Header.Get("Retry-After"), Latency: time.Since(start),
	}
	responseID, endpoint, ok := strings.Cut(string(text), " of ")
	if !ok || reply.StatusCode != http.StatusOK {
		return response, nil
	}
	if responseID != requestID {
		return response, fmt.Errorf("request %s: %w: %q", requestID, ErrMismatchedResponse, responseID)
	}
	response.Endpoint = endpoint
	return response, nil
}

func newRequest(ctx context.Context, address, class, id string, resume bool) (*http.Request, error) {
	method, body := http.MethodGet, io.Reader(nil)
	if class == ClassSendText {
		method, body = http.MethodPost, strings.NewReader("message text")
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/"+class+"/1", body)
	if err != nil {
		return nil, fmt.Errorf("create request %s: %w", id, err)
	}
	request.Header.Set("X-Correlation-Id", id)
	request.Header.Set("X-Time-Left", fmt.Sprintf("%.3f", clientDeadline.Seconds()))
	if resume {
		request.Header.Set("X-Resume", "1")
	}
	return request, nil
}
