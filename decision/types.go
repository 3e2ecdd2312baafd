package decision

// Millis is a time or a duration in milliseconds, with fractions. Times count from a start that the caller
// chooses.
type Millis = float64

// RequestID is the identifier of a client's request, unique among the open ones. Identifiers are types of
// their own, so that one kind is never passed for another.
type RequestID uint32

// EndpointID names a server that requests are balanced to.
type EndpointID string

// ClassName names a request class.
type ClassName string

// TenantID says whose request it is.
type TenantID string

// Key is what a request is about; requests with one key may have to stay together.
type Key string

// Zone names an availability zone.
type Zone string

// Cell is a subset of a zone's endpoints that share their memory of idempotency keys.
type Cell int

// MachineType names machines of one speed.
type MachineType string

// Build is a version of the endpoints' software; a higher one is newer.
type Build int

// InstanceID is a load balancer instance.
type InstanceID int

// Token identifies a timer; 0 is the periodic tick.
type Token uint64

// Idempotency says what a second run of a request would do.
type Idempotency int

// The kinds of request by what a second run does.
const (
	NonIdempotent     Idempotency = iota // it must never run twice
	IdempotentWithKey                    // endpoints within the RetryScope drop a repeat for the DedupWindow
	Idempotent                           // it may run again anywhere
)

// RetryScope is the set of endpoints that recognise a repeat of a request with an idempotency key.
type RetryScope int

// The scopes, from the smallest.
const (
	ScopeCell RetryScope = iota
	ScopeZone
	ScopeAll
)

// Control is how the rollout moves from stage to stage.
type Control int

// The ways of control.
const (
	ByVotes Control = iota // instances vote to advance
	ByClock                // a clock advances, votes can hold it
)

// EndpointState is the state of an endpoint in the endpoint list.
type EndpointState int

// The states of an endpoint.
const (
	Serving  EndpointState = iota
	Draining               // finishes what it has and takes nothing new
	Removed
)

// Outcome is how an attempt or a health check ended.
type Outcome int

// The outcomes. Each says whether the endpoint may have run the request.
const (
	Succeeded         Outcome = iota
	EndpointFailed            // an error response; it ran
	EndpointRejected          // the endpoint is full; it never ran
	TimedOut                  // it may have run
	Unreachable               // no connection; it never ran
	ConnectionBroken          // it may have run
	Canceled                  // the balancer cancelled it; it may have run
	NotSent                   // it never left the instance
	MalformedResponse         // a response came that cannot be parsed; it may have run
)

// mayHaveRun tells whether the endpoint may have run the request.
func (o Outcome) mayHaveRun() bool {
	return o != EndpointRejected && o != Unreachable && o != NotSent
}

// Phase is where the newest build stands.
type Phase int

// The phases of a rollout.
const (
	InTrial Phase = iota
	RollingBack
	Released
	RolledBack
)

// Verdict is what a vote says.
type Verdict int

// The verdicts.
const (
	VoteNone Verdict = iota
	VoteAdvance
	VoteHold
	VoteRollback
)

// VoteResult is how the rollout controller took a vote.
type VoteResult int

// The results of a vote.
const (
	VoteAccepted  VoteResult = iota
	VoteObsolete             // the stage it speaks of is over
	VoteThrottled            // too many votes at once
	VoteFailed               // the controller answered with an error
	VoteTimedOut             // the controller did not answer
)

// Load is an endpoint's own load report. A figure that is absent is negative.
type Load struct {
	Util  float64 // share of its cores that are busy, 0 to 1
	Queue float64 // requests that wait there
}
