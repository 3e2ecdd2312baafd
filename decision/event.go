package decision

// Event is something that happened, a message into the balancer. Each kind is a type of this file.
type Event interface{ event() }

// Endpoint is an entry of the endpoint list.
type Endpoint struct {
	ID          EndpointID
	Cell        Cell
	Started     Millis // when its process started; 0: long ago
	Zone        Zone
	Build       Build
	MachineType MachineType
	State       EndpointState
	Capacity    float64 // in units, relative to other endpoints
}

// SnapshotKind is what an EndpointsChanged holds.
type SnapshotKind int

// The kinds of endpoint lists.
const (
	Delta          SnapshotKind = iota // the entries that have changed
	FullSnapshot                       // all entries
	CachedSnapshot                     // all entries as they were known before
	PollRejected                       // none: the poll was rejected
)

// EndpointsChanged brings the endpoint list or changes of it.
type EndpointsChanged struct {
	Kind      SnapshotKind
	Version   int64 // version of the list
	Endpoints []Endpoint
}

// RequestReceived is a client's request. It stays open until the balancer has emitted its final response (or
// its client has gone) and all its attempts have ended.
type RequestReceived struct {
	Request RequestID
	Class   ClassName
	Tenant  TenantID
	Key     Key
	TTL     Millis // until the client gives up
	Hint    Millis // the client's own estimate of the work; 0: none
	Retried bool   // the client has sent it before
}

// ResponseStarted says that an endpoint streams its response.
type ResponseStarted struct {
	Request  RequestID
	Attempt  int // counted from 0
	Endpoint EndpointID
	After    Millis // from the attempt's start
}

// AttemptEnded is the outcome of an attempt. Each attempt that was started ends exactly once.
type AttemptEnded struct {
	Request      RequestID
	Outcome      Outcome
	Endpoint     EndpointID
	Attempt      int    // counted from 0
	After        Millis // from the attempt's start
	RequestEnded bool   // the request has its final response
	Load         *Load  // reported by the endpoint; nil: none
}

// ClientDisconnected says that a request's client has left.
type ClientDisconnected struct{ Request RequestID }

// TimerFired is the time that a WakeAt asked for.
type TimerFired struct{ Token Token }

// HealthCheckEnded is the outcome of a health check.
type HealthCheckEnded struct {
	Endpoint EndpointID
	Outcome  Outcome
	After    Millis
	Load     *Load // reported by the endpoint; nil: none
}

// PeerMessage is a message of another instance. The balancer ignores it.
type PeerMessage struct {
	From InstanceID
	Data []byte
}

// StageUpdate is what the rollout controller says of the newest build.
type StageUpdate struct {
	Age          Millis // of the stage
	Build        Build
	Phase        Phase
	IsVoteResult bool // it is the response to a vote
	ExposureCap  float64
	Stage        int        // counted from 0
	VoteResult   VoteResult // other than VoteAccepted: the rest of the update is not set
}

// ControllerCounts are the rollout controller's counts of one period, class and build, over all instances.
type ControllerCounts struct {
	Build  Build
	Class  ClassName
	Count  int // responses
	Failed int // of these
	Mean   Millis
	Age    Millis
}

// ResponseFlagged says that a client found a response wrong.
type ResponseFlagged struct {
	Endpoint EndpointID
	Class    ClassName
	Age      Millis
}

// SettingsChanged brings new settings of the deployment to a running balancer. Its classes, tenants and clock
// granularity stay as at its start.
type SettingsChanged struct{ Settings Settings }

// EvidenceAcquired hands over the evidence of an instance that is gone. The balancer counts it as its own.
type EvidenceAcquired struct{ Evidence }

// EvidenceRevoked says that another instance has taken over this one's evidence. The balancer begins the
// stage anew.
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
func (EvidenceAcquired) event()   {}
func (EvidenceRevoked) event()    {}
