package decision

// Event is an input of the balancer, such as RequestReceived or TimerFired.
type Event interface{ event() }

// Endpoint is an entry in the endpoint list.
type Endpoint struct {
	ID          EndpointID
	Cell        Cell
	StartedAt   Millis // start time of the process; 0: unknown, long ago
	Zone        Zone
	Build       Build
	MachineType MachineType
	State       EndpointState
	Capacity    float64 // relative to other endpoints
}

// SnapshotKind states which part of the endpoint list an EndpointsChanged holds.
type SnapshotKind int

// The kinds of updates to the endpoint list.
const (
	Delta          SnapshotKind = iota // the changed entries only
	FullSnapshot                       // all entries
	CachedSnapshot                     // all entries as last known, possibly outdated
	PollRejected                       // no entries, because the poll was rejected
)

// EndpointsChanged delivers the endpoint list, or changes to it.
type EndpointsChanged struct {
	Kind         SnapshotKind
	Version      int64 // version of the list
	Endpoints    []Endpoint
	PollDuration Millis // with PollRejected: time from the sending of the poll; 0: unknown, since the last WatchEndpoints
}

// RequestReceived delivers a client's request. The request stays open until the balancer has emitted its final
// response, or its client has disconnected, and all its attempts have ended.
type RequestReceived struct {
	Request              RequestID
	Class                ClassName
	Tenant               TenantID
	Key                  Key
	Remaining            Millis // time from now after which the client stops waiting
	EstimatedServiceTime Millis // the client's estimate of the service time; 0: none
	Retried              bool   // the client has sent the request before
}

// ResponseStarted reports that an endpoint has begun to stream its response.
type ResponseStarted struct {
	Request  RequestID
	Attempt  int // index, from 0
	Endpoint EndpointID
	After    Millis // since the attempt's start
}

// AttemptEnded reports the outcome of an attempt. Each started attempt ends exactly once.
type AttemptEnded struct {
	Request      RequestID
	Outcome      Outcome
	Endpoint     EndpointID
	Attempt      int    // index, from 0
	After        Millis // since the attempt's start
	RequestEnded bool   // the client has the final response to its request
	Load         *Load  // reported by the endpoint; nil: none
}

// ClientDisconnected reports that the client of a request has disconnected.
type ClientDisconnected struct{ Request RequestID }

// TimerFired reports that the time of a WakeAt has come.
type TimerFired struct{ Token Token }

// HealthCheckEnded reports the outcome of a health check.
type HealthCheckEnded struct {
	Endpoint EndpointID
	Outcome  Outcome
	After    Millis // duration of the health check
	Load     *Load  // reported by the endpoint; nil: none
}

// PeerMessage is a message from another instance. The balancer ignores it.
type PeerMessage struct {
	From InstanceID
	Data []byte
}

// StageUpdate reports the newest build and its stage, as known to the rollout controller.
type StageUpdate struct {
	Age          Millis // time since the build entered this stage and phase
	Build        Build
	Phase        Phase
	IsVoteResult bool       // the update is the response to a vote
	ExposureCap  float64    // share of the requests that may go to the build, 0 to 1
	Stage        int        // index, from 0
	VoteResult   VoteResult // if not VoteAccepted, the other fields are not set except IsVoteResult
}

// ControllerCounts holds the rollout controller's counts for one period, class and build, from a sample of the
// attempts of all instances.
type ControllerCounts struct {
	Build  Build
	Class  ClassName
	Count  int    // attempts in the sample
	Failed int    // attempts in the sample that did not succeed
	Mean   Millis // mean response time of the others
	Age    Millis // time since the end of the period
}

// ResponseFlagged reports that a client found a response wrong.
type ResponseFlagged struct {
	Endpoint EndpointID
	Class    ClassName
	Age      Millis // time since the attempt was sent
}

// SettingsChanged delivers new settings of the deployment to a running balancer. The classes, tenants and
// clock granularity keep their values from the start.
type SettingsChanged struct{ Settings Settings }

// EvidenceAdded delivers the evidence of an instance that has terminated. The balancer adds that evidence
// to its own.
type EvidenceAdded struct{ Evidence }

// EvidenceRevoked reports that another instance has taken over this instance's evidence. The balancer discards
// its evidence on the newest build and its vote.
type EvidenceRevoked struct{}

func (EndpointsChanged) event()   {}
func (RequestReceived) event()    {}
func (ResponseStarted) event()    {}
func (AttemptEnded) event()       {}
func (ClientDisconnected) event() {}
func (TimerFired) event()         {}
func (HealthCheckEnded) event()   {}
func (PeerMessage) event()        {}
func (StageUpdate) event()        {}
func (ControllerCounts) event()   {}
func (ResponseFlagged) event()    {}
func (SettingsChanged) event()    {}
func (EvidenceAdded) event()      {}
func (EvidenceRevoked) event()    {}
