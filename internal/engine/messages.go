package engine

import "ottershed/decision"

// Request is what a client asked, decoded once; it passes to nodes as it is.
type Request struct {
	Method, URI, Host string
	Fields            map[string][]string
	Body              []byte
}

// Reply is a node's whole answer.
type Response struct {
	Fields map[string][]string
	Body   []byte
}

// Hit is a client's request with what the module is told of it.
type ClientRequest struct {
	Class      decision.ClassName
	Tenant     decision.TenantID
	Key        decision.Key
	Remaining  decision.Millis // until the client gives up, from Taken on
	ReceivedAt decision.Millis
	Hint       decision.Millis
	Retried    bool
	Request    *Request
	Respond    func(Result) // called once at most, by the owner; it doesn't block

	id decision.RequestID // the owner's
}

// AnswerKind is how a hit ended.
type ResultKind int

const (
	Succeeded ResultKind = iota
	Rejected
	Failed
)

// Answer is the final answer to a hit.
type Result struct {
	Kind       ResultKind
	RetryAfter decision.Millis // of a bounce; 0: no advice
	Response   *Response       // of a delivery
}

// Forward is one sending of a request to a node.
type Attempt struct {
	Endpoint decision.EndpointID
	Address  string
	Request  *Request
	SendBy   decision.Millis     // not sent from then on; 0: sent as long as Until
	Deadline decision.Millis     // no answer by then: timed out
	OnEnd    func(AttemptResult) // called exactly once, from any goroutine; the connection is given back before
}

// End is how a forward ended.
type AttemptResult struct {
	Outcome  decision.Outcome
	EndedAt  decision.Millis
	Response *Response
	Load     *decision.Load
}

// Entry is a node with the address at which this marshal reaches it.
type Endpoint struct {
	decision.Endpoint
	Address string
}

// List is what discovery tells.
type EndpointUpdate struct {
	Kind      decision.SnapshotKind
	Version   int64
	Endpoints []Endpoint
}

// Nodes carries forwards. Its methods don't block.
type Upstream interface {
	// Forward starts a forward; what it returns calls it off.
	StartAttempt(Attempt) (recall func())
	// Moved says that another machine is this node now and has this address, or none has if it is empty.
	SetAddress(id decision.EndpointID, address string)
	// Unsend has forwards to a node end that are not yet sent.
	CancelUnsent(decision.EndpointID)
	CloseIdle(decision.EndpointID)
}

// Desk takes votes; the fate of each comes back as news. It doesn't block.
type Controller interface{ Vote(decision.Vote) }

// Discovery asks for the list. Its methods don't block.
type Discovery interface {
	Resolve()
	// Watch has a call that was refused go out again; what isn't refused is watched without.
	ResumeWatch()
}
