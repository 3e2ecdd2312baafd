package engine

import "ottershed/decision"

// Request is what a client asked, decoded once; it passes to nodes as it is.
type Request struct {
	Method, URI, Host string
	Fields            map[string][]string
	Body              []byte
}

// Reply is a node's whole answer.
type Reply struct {
	Fields map[string][]string
	Body   []byte
}

// Hit is a client's request with what the module is told of it.
type Hit struct {
	Group   decision.GroupName
	Tenant  decision.TenantID
	Key     decision.Key
	Left    decision.Millis // until the client gives up, from Taken on
	Taken   decision.Millis
	Hint    decision.Millis
	Retried bool
	Request *Request
	Answer  func(Answer) // called once at most, by the owner; it doesn't block

	id decision.HitID // the owner's
}

// AnswerKind is how a hit ended.
type AnswerKind int

const (
	Delivered AnswerKind = iota
	Bounced
	Errored
)

// Answer is the final answer to a hit.
type Answer struct {
	Kind     AnswerKind
	ComeBack decision.Millis // of a bounce; 0: no advice
	Reply    *Reply          // of a delivery
}

// Forward is one sending of a request to a node.
type Forward struct {
	Node    decision.NodeID
	Address string
	Request *Request
	SendBy  decision.Millis // not sent from then on; 0: sent as long as Until
	Until   decision.Millis // no answer by then: timed out
	Ended   func(End)       // called exactly once, from any goroutine; the connection is given back before
}

// End is how a forward ended.
type End struct {
	Ending decision.Ending
	At     decision.Millis
	Reply  *Reply
	Load   *decision.Load
}

// Entry is a node with the address at which this marshal reaches it.
type Entry struct {
	decision.Node
	Address string
}

// List is what discovery tells.
type List struct {
	How     decision.ListKind
	Stamp   int64
	Entries []Entry
}

// Nodes carries forwards. Its methods don't block.
type Nodes interface {
	// Forward starts a forward; what it returns calls it off.
	Forward(Forward) (recall func())
	// Moved says that another machine is this node now and has this address, or none has if it is empty.
	Moved(id decision.NodeID, address string)
	// Unsend has forwards to a node end that are not yet sent.
	Unsend(decision.NodeID)
	CloseIdle(decision.NodeID)
}

// Desk takes votes; the fate of each comes back as news. It doesn't block.
type Desk interface{ Vote(decision.Vote) }

// Discovery asks for the list. Its methods don't block.
type Discovery interface {
	Lookup()
	// Watch has a call that was refused go out again; what isn't refused is watched without.
	Watch()
}
