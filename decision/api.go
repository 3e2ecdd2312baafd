package decision

// Every time is in milliseconds with fractions, counted on the caller's clock.
type Millis = float64

// Each kind of id is a type of its own, so that one is never passed for another.
type (
	RequestID   uint32
	EndpointID  string
	ClassName   string // path group
	TenantID    string
	Key         string // what a hit is about
	Zone        string
	Cell        int
	MachineType string // kind of machine
	Build       int
	InstanceID  int
	Token       uint64 // of a timer
)

// Effect says what a second run of a hit would do.
type Idempotency int

const (
	NonIdempotent     Idempotency = iota // must never run twice
	IdempotentWithKey                    // a repeat is dropped by the nodes that know its mark
	Idempotent                           // may run again
)

// Scope is the set of nodes that drop the repeats of a tagged hit.
type RetryScope int

const (
	ScopeCell RetryScope = iota
	ScopeZone
	ScopeAll
)

// Control is how the build is moved: by votes, or by a clock that votes can hold.
type Control int

const (
	ByVotes Control = iota
	ByClock
)

// PathGroup holds the figures of one path group.
type RequestClass struct {
	Name             ClassName
	LatencyObjective Millis // target latency
	Idempotency      Idempotency
	RetryScope       RetryScope
	DedupWindow      Millis // how long a tag is known, from the first forward that may have run
}

// Settings are the figures handed to a marshal at its start.
type Settings struct {
	Instances        int
	Zone             Zone
	ClockGranularity Millis
	Classes          []RequestClass
	Tenants          []TenantID
	PollEndpoints    bool // the list must be asked for
	PollWithin       Millis

	CrossZonePrice, HealthCheckPrice float64 // off the result, for each hit

	CancelAllowed, HedgingAllowed, HealthChecksAllowed bool
	MaxRetryAfter                                      Millis // longest time to come back
	MaxAttempts                                        int

	SlowStartFloor, OverloadFactor  float64
	SlowStartWindow, OverloadWindow Millis

	Control              Control
	InPlace              bool // earlier nodes drain as their successors run
	ExposureCaps, Stages []float64
	FreeAttempts         float64 // forwards to a build on trial that are not counted
	ExposurePerClass     bool    // exposure is counted for each path group by itself
	GuardedStages        int     // stages open to repeatable hits only
	StickyKeys           bool    // no way back for a key that the new build answered
	FlagShare            float64
	VoteTTL              Millis
	VoteWait             Millis
	AdvanceQuorum        int    // marshals whose votes move a stage on
	RollbackQuorum       int    // marshals whose votes send a build back
	HoldQuorum           int    // marshals whose votes stop the clock; 0: not told, as one
	CountInterval        Millis // time between the desk's counts; 0: none

	// By the operators' word, beside the deployment's figures:
	WithheldShare float64 // share of hits that goes to no build on trial, whatever the cap; 0: none
	Halt          bool    // no vote that moves a build on; back stays open
}

// Event is what happened; each concrete type below is one kind.
type Event interface{ event() }

// SettingsChanged brings new figures of the deployment to a running marshal. Its path groups, tenants and
// granularity stay as at its start; what it has taken stays open.
type SettingsChanged struct{ Settings Settings }

// Evidence is what a marshal has seen of the newest build, in a form that another can take over. Tags name its
// parts in stores; they stay whatever the fields are called.
type Evidence struct {
	Build   Build           `msgpack:"Build"`
	Stage   int             `msgpack:"Stage"`
	Classes []ClassEvidence `msgpack:"Groups"` // of this stage
	Counts  []EndpointCount `msgpack:"Counts"` // since the build was offered
}

// GroupEvidence holds one path group's outcomes of either build, oldest first, each against the pace of the earlier build;
// a failure is infinite. No name: all path groups together.
type ClassEvidence struct {
	Class     ClassName `msgpack:"Group"`
	Baseline  []float64 `msgpack:"Blue"`
	Candidate []float64 `msgpack:"Grn"`
}

// NodeCount holds how many hits of a path group a node has answered, good and bad. No node: earlier ones that have left.
type EndpointCount struct {
	Endpoint  EndpointID `msgpack:"Node"`
	Build     Build      `msgpack:"Build"`
	Class     ClassName  `msgpack:"Group"`
	Succeeded float64    `msgpack:"Good"`
	Failed    float64    `msgpack:"Bad"`
}

// Adopted hands over the evidence of a marshal that is gone, once.
type EvidenceAcquired struct{ Evidence }

// Disowned says that this marshal's evidence has been taken over by another: it begins the stage anew.
type EvidenceRevoked struct{}

// NodeState is what the list says of a node.
type EndpointState int

const (
	Serving EndpointState = iota
	Draining
	Removed
)

type Endpoint struct {
	ID          EndpointID
	Cell        Cell
	Started     Millis // 0: long ago
	Zone        Zone
	Build       Build
	MachineType MachineType
	State       EndpointState
	Capacity    float64
}

type SnapshotKind int

const (
	Delta SnapshotKind = iota
	FullSnapshot
	CachedSnapshot
	PollRejected
)

// Ending is how one forward ended.
type Outcome int

const (
	Succeeded Outcome = iota
	EndpointFailed
	EndpointRejected // never ran
	TimedOut         // may have run
	Unreachable      // never ran
	ConnectionBroken // may have run
	Canceled         // may have run
	NotSent
	MalformedResponse // an answer came that can't be read; may have run
)

// VoteFate is how the desk took a vote.
type VoteResult int

const (
	VoteAccepted VoteResult = iota
	VoteObsolete
	VoteThrottled
	VoteFailed
	VoteTimedOut
)

// Phase is where the newest build stands.
type Phase int

const (
	InTrial Phase = iota
	RollingBack
	Released
	RolledBack
)

// Load is a node's own report; a figure that is absent is negative.
type Load struct{ Util, Queue float64 }

type (
	EndpointsChanged struct {
		Kind      SnapshotKind
		Version   int64
		Endpoints []Endpoint
	}
	RequestReceived struct {
		Request RequestID
		Class   ClassName
		Tenant  TenantID
		Key     Key
		TTL     Millis
		Hint    Millis // 0: none
		Retried bool
	}
	ResponseStarted struct {
		Request  RequestID
		Attempt  int
		Endpoint EndpointID
		After    Millis
	}
	AttemptEnded struct {
		Request      RequestID
		Outcome      Outcome
		Endpoint     EndpointID
		Attempt      int
		After        Millis
		RequestEnded bool
		Load         *Load
	}
	ClientDisconnected struct{ Request RequestID }
	TimerFired         struct{ Token Token }
	HealthCheckEnded   struct {
		Endpoint EndpointID
		Outcome  Outcome
		After    Millis
		Load     *Load
	}
	PeerMessage struct {
		From InstanceID
		Data []byte
	}
	StageUpdate struct {
		Age          Millis
		Build        Build
		Phase        Phase
		IsVoteResult bool // the answer to a vote
		ExposureCap  float64
		Stage        int
		VoteResult   VoteResult
	}
	ControllerCounts struct {
		Build  Build
		Class  ClassName
		Count  int
		Failed int
		Mean   Millis
		Age    Millis
	}
	ResponseFlagged struct {
		Endpoint EndpointID
		Class    ClassName
		Age      Millis
	}
)

func (EndpointsChanged) event()   {}
func (RequestReceived) event()    {}
func (ResponseStarted) event()    {}
func (AttemptEnded) event()       {}
func (ClientDisconnected) event() {}
func (TimerFired) event()         {}
func (HealthCheckEnded) event()   {}
func (PeerMessage) event()        {}
func (StageUpdate) event()        {}
func (SettingsChanged) event()    {}
func (EvidenceAcquired) event()   {}
func (EvidenceRevoked) event()    {}
func (ControllerCounts) event()   {}
func (ResponseFlagged) event()    {}

// Action is what is to be done; each concrete type below is one kind.
type Action interface{ action() }

// Verdict is what a vote says.
type Verdict int

const (
	VoteNone Verdict = iota
	VoteAdvance
	VoteHold
	VoteRollback
)

type (
	StartAttempt struct {
		Request  RequestID
		Endpoint EndpointID
		Timeout  Millis // 0: as long as the client waits
		SendBy   Millis // not sent from then on; 0: as long as the client waits
	}
	Reject struct {
		Request    RequestID
		RetryAfter Millis
	}
	Fail   struct{ Request RequestID }
	Cancel struct {
		Request RequestID
		Attempt int
	}
	WakeAt struct {
		Token Token
		At    Millis
	}
	StartHealthCheck struct{ Endpoint EndpointID }
	CloseIdle        struct{ Endpoint EndpointID } // idle connections to it
	SendToPeer       struct {
		To   InstanceID
		All  bool
		Data []byte
	}
	Log              struct{ Text string }
	WatchEndpoints   struct{ On bool }
	ResolveEndpoints struct{}
	Vote             struct {
		Build   Build
		Stage   int
		Verdict Verdict
	}
)

func (StartAttempt) action()     {}
func (Reject) action()           {}
func (Fail) action()             {}
func (Cancel) action()           {}
func (WakeAt) action()           {}
func (StartHealthCheck) action() {}
func (CloseIdle) action()        {}
func (SendToPeer) action()       {}
func (Log) action()              {}
func (WatchEndpoints) action()   {}
func (ResolveEndpoints) action() {}
func (Vote) action()             {}
