package engine

// What goes in and out of the package.

import "ottershed/decision"

// Request is what a client requested, decoded once. Endpoints get it unchanged.
type Request struct {
	Method, URI, Host string
	Fields            map[string][]string // of the header
	Body              []byte
}

// Response is an endpoint's complete response.
type Response struct {
	Fields map[string][]string // of the header
	Body   []byte
}

// ClientRequest is a client's request with what the module needs to know of it.
type ClientRequest struct {
	Class      decision.ClassName
	Tenant     decision.TenantID
	Key        decision.Key    // sticky key; empty: none
	Remaining  decision.Millis // until the client gives up, from ReceivedAt on
	ReceivedAt decision.Millis // time of the clock
	Hint       decision.Millis // the client's own estimate of the work; 0: none
	Retried    bool            // the client has sent it before
	Request    *Request

	// Respond takes the result. The event loop calls it at most once (never after the client has left), and it must
	// not block.
	Respond func(Result)

	id decision.RequestID // of the event loop
}

// ResultKind tells how a request ended.
type ResultKind int

// The kinds of results.
const (
	Succeeded ResultKind = iota
	Rejected
	Failed
)

// Result is what a client gets for its request.
type Result struct {
	Kind       ResultKind
	RetryAfter decision.Millis // if rejected; 0: no advice
	Response   *Response       // if succeeded
}

// Attempt is one sending of a request to an endpoint.
type Attempt struct {
	Endpoint decision.EndpointID
	Address  string
	Request  *Request
	SendBy   decision.Millis // not sent from then on; 0: sent until Deadline
	Deadline decision.Millis // without a response by then it times out

	// OnEnd takes the result. It is called exactly once, from any goroutine, after the connection was released.
	OnEnd func(AttemptResult)
}

// AttemptResult tells how an attempt ended.
type AttemptResult struct {
	Outcome  decision.Outcome
	EndedAt  decision.Millis // time of the clock
	Response *Response       // if succeeded
	Load     *decision.Load  // reported by the endpoint; nil: none
}

// Endpoint is an entry of the endpoint list, with the address at which this instance reaches it.
type Endpoint struct {
	decision.Endpoint
	Address string
}

// EndpointUpdate is the endpoint list, or changes of it.
type EndpointUpdate struct {
	Kind      decision.SnapshotKind
	Version   int64
	Endpoints []Endpoint
}

// Upstream carries attempts. Its methods don't block.
type Upstream interface {
	// StartAttempt starts an attempt and returns what cancels it.
	StartAttempt(attempt Attempt) (cancel func())
	// SetAddress says that an endpoint is a new process at this address, or none if the address is empty.
	SetAddress(id decision.EndpointID, address string)
	// CancelUnsent ends the attempts to an endpoint that are not yet sent.
	CancelUnsent(id decision.EndpointID)
	// CloseIdle closes an endpoint's idle connections.
	CloseIdle(id decision.EndpointID)
}

// Controller takes votes and doesn't block. The result of each comes back as a StageUpdate.
type Controller interface{ Vote(vote decision.Vote) }

// Discovery fetches the endpoint list. Its methods don't block.
type Discovery interface {
	// Resolve polls the endpoint list.
	Resolve()
	// ResumeWatch repeats a watch call that was rejected. Without a rejection the watch goes on by itself.
	ResumeWatch()
}
