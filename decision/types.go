package decision

// Millis is a time or a duration in milliseconds; fractions are allowed. Times are relative to an epoch that
// the caller chooses.
type Millis = float64

// RequestID identifies a client's request and is unique among the open requests. Each kind of identifier has
// its own type, so that the compiler rejects one kind in place of another.
type RequestID uint32

// EndpointID identifies a server that requests are balanced to.
type EndpointID string

// ClassName is the name of a request class.
type ClassName string

// TenantID identifies the tenant that a request belongs to.
type TenantID string

// Key is the key of a request. The keys of requests become sticky keys where Settings.StickyKeys is set; a
// request without a key has an empty one.
type Key string

// Zone is the name of an availability zone.
type Zone string

// Cell identifies a subset of a zone's endpoints that share one store of idempotency keys.
type Cell int

// MachineType is the name of a type of machine. Machines of one type are equally fast.
type MachineType string

// Build is the version of the software that an endpoint runs; a higher number is newer.
type Build int

// InstanceID identifies a load balancer instance.
type InstanceID int

// Token identifies a timer; 0 identifies the periodic tick.
type Token uint64

// Idempotency states whether a request may run more than once.
type Idempotency int

// The kinds of idempotency.
const (
	NonIdempotent     Idempotency = iota // must not run twice
	IdempotentWithKey                    // endpoints within the RetryScope drop repeats during the DedupWindow
	Idempotent                           // may run again on any endpoint
)

// RetryScope is the set of endpoints that recognise repeats of a request by its idempotency key.
type RetryScope int

// The retry scopes, smallest first.
const (
	ScopeCell RetryScope = iota
	ScopeZone
	ScopeAll
)

// Control is the way in which a rollout advances from stage to stage.
type Control int

// The ways to control a rollout.
const (
	ByVotes Control = iota // the votes of instances advance a stage
	ByClock                // a clock advances a stage, votes can hold the clock
)

// EndpointState is the state of an endpoint in the endpoint list.
type EndpointState int

// The states of an endpoint.
const (
	Serving  EndpointState = iota
	Draining               // finishes its requests in flight and takes no new ones
	Removed
)

// Outcome is the result of an attempt or a health check.
type Outcome int

// The outcomes of an attempt. The comments state whether the endpoint may have run the request.
const (
	Succeeded         Outcome = iota
	EndpointFailed            // error response; the request ran
	EndpointRejected          // the endpoint is at its limit; the request did not run
	TimedOut                  // the request may have run
	Unreachable               // no connection; the request did not run
	ConnectionBroken          // the request may have run
	Canceled                  // cancelled by the balancer; the request may have run
	NotSent                   // never sent by the instance; the request did not run
	MalformedResponse         // the response cannot be parsed; the request may have run
)

// MayHaveRun reports whether the endpoint may have run the request.
func (o Outcome) MayHaveRun() bool {
	return o != EndpointRejected && o != Unreachable && o != NotSent
}

// Phase is the state of the newest build's rollout.
type Phase int

// The phases of a rollout.
const (
	InTrial Phase = iota
	RollingBack
	Released
	RolledBack
)

// Verdict is the content of a vote.
type Verdict int

// The verdicts.
const (
	VoteNone Verdict = iota
	VoteAdvance
	VoteHold
	VoteRollback
)

// VoteResult is the rollout controller's response to a vote.
type VoteResult int

// The results of a vote.
const (
	VoteAccepted  VoteResult = iota
	VoteObsolete             // the stage that the vote is for has ended
	VoteThrottled            // the controller received too many votes at once
	VoteFailed               // the controller returned an error
	VoteTimedOut             // the controller did not respond in time
)

// Load is the load that an endpoint reports of itself. A value that was not reported is negative.
type Load struct {
	Utilisation float64 // share of busy cores, 0 to 1
	Queue       float64 // number of queued requests
}
