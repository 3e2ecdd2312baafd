package engine

// Types and interfaces that the package shares with its callers.

import "ottershed/decision"

// Request holds the parts of a client's HTTP request. It is decoded once, for all attempts.
type Request struct {
	Method, URI, Host string
	Header            map[string][]string // HTTP header fields
	Body              []byte
}

// Response holds the header and the complete body of an endpoint's response.
type Response struct {
	Header map[string][]string // HTTP header fields
	Body   []byte
}

// ClientRequest holds a client's request with the data that the decision module needs to route it.
type ClientRequest struct {
	CorrelationID        string // the client's id of the request
	Class                decision.ClassName
	Tenant               decision.TenantID
	Key                  decision.Key    // sticky key; empty if there is none
	Remaining            decision.Millis // time left at ReceivedAt until the client gives up
	ReceivedAt           decision.Millis // time by the engine's clock
	EstimatedServiceTime decision.Millis // client's estimate of the processing time; 0 if there is none
	Retried              bool            // the client repeats an earlier request
	Request              *Request

	// MaySend reports whether attempts may still be sent: whether the client is known to wait for the result. It is called
	// right before each attempt is sent, from any goroutine, and must not block. If it is nil, attempts may be sent.
	MaySend func() bool

	// Respond receives the result. The event loop calls Respond at most once, and not after it has handled
	// ClientDisconnected. Respond must not block.
	Respond func(Result)

	// OnEnd is called once the request has its result, or its client has disconnected, and all its attempts have ended. If
	// no attempt is in flight when the result is known, the call comes before Respond. mayHaveRun reports whether an attempt
	// may have run. The event loop calls OnEnd, which must not block. It may be nil.
	OnEnd func(mayHaveRun bool)

	id decision.RequestID // assigned by the event loop
}

// ResultKind tells how a request ended.
type ResultKind int

// The kinds of results. Only Succeeded has a response.
const (
	Succeeded ResultKind = iota
	Rejected
	Failed
)

// Result is the final result of a client's request.
type Result struct {
	Kind       ResultKind
	RetryAfter decision.Millis // set if Kind is Rejected; 0 for a rejection without Retry-After
	Response   *Response       // nil unless Kind is Succeeded
}

// Attempt describes one attempt to send a request to an endpoint.
type Attempt struct {
	Endpoint decision.EndpointID
	Address  string
	Request  *Request
	MaySend  func() bool     // see ClientRequest.MaySend
	SendBy   decision.Millis // time before which the request must be sent; 0 means Deadline
	Deadline decision.Millis // time at which the attempt times out

	// OnResult receives the result. It is called exactly once, from any goroutine, after the connection was released.
	OnResult func(AttemptResult)
}

// AttemptResult holds the outcome of an attempt.
type AttemptResult struct {
	Outcome  decision.Outcome
	EndedAt  decision.Millis // time by the engine's clock
	Response *Response       // nil unless Outcome is decision.Succeeded
	Load     *decision.Load  // load report in the endpoint's response; nil without a report
}

// Endpoint is an entry of the endpoint list with the address at which this instance reaches the endpoint.
type Endpoint struct {
	decision.Endpoint
	Address string
}

// EndpointUpdate holds a snapshot of the endpoint list, or changes to it.
type EndpointUpdate struct {
	Kind      decision.SnapshotKind
	Version   int64
	Endpoints []Endpoint
	// PollDuration is the time from the sending of a poll to its failure, with PollRejected only.
	PollDuration decision.Millis
}

// Upstream sends requests to endpoints. Its methods must not block.
type Upstream interface {
	// StartAttempt starts an attempt and returns a function that cancels it.
	StartAttempt(attempt Attempt) (cancel func())
	// SetAddress reports that a new process of an endpoint is reachable at address, or that the endpoint is not
	// reachable any more if address is empty.
	SetAddress(id decision.EndpointID, address string)
	// CancelUnsent ends those attempts to an endpoint that have not been sent yet.
	CancelUnsent(id decision.EndpointID)
	// CloseIdleConnections closes the idle connections to an endpoint.
	CloseIdleConnections(id decision.EndpointID)
}

// Controller sends votes to the rollout controller. Vote must not block. The result of each vote arrives later as a
// decision.StageUpdate.
type Controller interface{ Vote(vote decision.Vote) }

// Discovery fetches the endpoint list. Its methods must not block.
type Discovery interface {
	// RequestSnapshot requests a full snapshot of the endpoint list.
	RequestSnapshot()
	// ResumeWatch repeats a watch call that was rejected. A watch that was not rejected continues without it.
	ResumeWatch()
}
