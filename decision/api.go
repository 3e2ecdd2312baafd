package decision

// Every time is in milliseconds with fractions, counted on the caller's clock.
type Millis = float64

// Each kind of id is a type of its own, so that one is never passed for another.
type (
	HitID     uint32
	NodeID    string
	GroupName string // path group
	TenantID  string
	Key       string // what a hit is about
	Zone      string
	Cell      int
	Kind      string // kind of machine
	Build     int
	MarshalNo int
	Token     uint64 // of a timer
)

// Effect says what a second run of a hit would do.
type Effect int

const (
	Mutating   Effect = iota // must never run twice
	Tagged                   // a repeat is dropped by the nodes that know its mark
	Repeatable               // may run again
)

// Scope is the set of nodes that drop the repeats of a tagged hit.
type Scope int

const (
	ScopeCell Scope = iota
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
type PathGroup struct {
	Name     GroupName
	Target   Millis // target latency
	Effect   Effect
	Scope    Scope
	Remember Millis // how long a tag is known, from the first forward that may have run
}

// Settings are the figures handed to a marshal at its start.
type Settings struct {
	Marshals    int
	Zone        Zone
	Granularity Millis
	Groups      []PathGroup
	Tenants     []TenantID
	AskList     bool // the list must be asked for
	AskWithin   Millis

	CrossPrice, ProbePrice float64 // off the result, for each hit

	MayCancel, MayCopy, MayProbe bool
	MaxComeBack                  Millis // longest time to come back
	MaxForwards                  int

	ColdFrom, OverFactor float64
	WarmAfter, OverFor   Millis

	Control      Control
	InPlace      bool // earlier nodes drain as their successors run
	Caps, Stages []float64
	Free         float64 // forwards to a build on trial that are not counted
	PerGroup     bool    // exposure is counted for each path group by itself
	Guarded      int     // stages open to repeatable hits only
	KeysStay     bool    // no way back for a key that the new build answered
	FlagShare    float64
	VoteLife     Millis
	VoteWait     Millis
	OnVotes      int    // marshals whose votes move a stage on
	BackVotes    int    // marshals whose votes send a build back
	HoldVotes    int    // marshals whose votes stop the clock; 0: not told, as one
	TallyEvery   Millis // time between the desk's counts; 0: none

	// By the operators' word, beside the deployment's figures:
	Withheld float64 // share of hits that goes to no build on trial, whatever the cap; 0: none
	Halt     bool    // no vote that moves a build on; back stays open
}

// Event is what happened; each concrete type below is one kind.
type Event interface{ event() }

// SettingsChanged brings new figures of the deployment to a running marshal. Its path groups, tenants and
// granularity stay as at its start; what it has taken stays open.
type SettingsChanged struct{ Settings Settings }

// Evidence is what a marshal has seen of the newest build, in a form that another can take over. Tags name its
// parts in stores; they stay whatever the fields are called.
type Evidence struct {
	Build  Build           `msgpack:"Build"`
	Stage  int             `msgpack:"Stage"`
	Groups []GroupEvidence `msgpack:"Groups"` // of this stage
	Counts []NodeCount     `msgpack:"Counts"` // since the build was offered
}

// GroupEvidence holds one path group's outcomes of either build, oldest first, each against the pace of the earlier build;
// a failure is infinite. No name: all path groups together.
type GroupEvidence struct {
	Group GroupName `msgpack:"Group"`
	Blue  []float64 `msgpack:"Blue"`
	Grn   []float64 `msgpack:"Grn"`
}

// NodeCount holds how many hits of a path group a node has answered, good and bad. No node: earlier ones that have left.
type NodeCount struct {
	Node  NodeID    `msgpack:"Node"`
	Build Build     `msgpack:"Build"`
	Group GroupName `msgpack:"Group"`
	Good  float64   `msgpack:"Good"`
	Bad   float64   `msgpack:"Bad"`
}

// Adopted hands over the evidence of a marshal that is gone, once.
type Adopted struct{ Evidence }

// Disowned says that this marshal's evidence has been taken over by another: it begins the stage anew.
type Disowned struct{}

// NodeState is what the list says of a node.
type NodeState int

const (
	Up NodeState = iota
	Draining
	Removed
)

type Node struct {
	ID      NodeID
	Cell    Cell
	Started Millis // 0: long ago
	Zone    Zone
	Build   Build
	Kind    Kind
	State   NodeState
	Units   float64
}

type ListKind int

const (
	Changes ListKind = iota
	Whole
	Remembered
	ListRefused
)

// Ending is how one forward ended.
type Ending int

const (
	Delivered Ending = iota
	NodeError
	NodeFull    // never ran
	TimedOut    // may have run
	Unreachable // never ran
	Broken      // may have run
	Recalled    // may have run
	NeverSent
	Spoilt // an answer came that can't be read; may have run
)

// VoteFate is how the desk took a vote.
type VoteFate int

const (
	VoteOK VoteFate = iota
	VoteMoot
	VoteFull
	VoteError
	VoteTimeout
)

// Phase is where the newest build stands.
type Phase int

const (
	OnTrial Phase = iota
	GoingBack
	Released
	Withdrawn
)

// Load is a node's own report; a figure that is absent is negative.
type Load struct{ Util, Queue float64 }

type (
	NodesChanged struct {
		How   ListKind
		Stamp int64
		Nodes []Node
	}
	HitTaken struct {
		Hit     HitID
		Group   GroupName
		Tenant  TenantID
		Key     Key
		TTL     Millis
		Hint    Millis // 0: none
		Retried bool
	}
	AnswerStarted struct {
		Hit     HitID
		Forward int
		Node    NodeID
		After   Millis
	}
	ForwardEnded struct {
		Hit      HitID
		Ending   Ending
		Node     NodeID
		Forward  int
		After    Millis
		HitEnded bool
		Load     *Load
	}
	HitGone    struct{ Hit HitID }
	TimerDue   struct{ Token Token }
	ProbeEnded struct {
		Node   NodeID
		Ending Ending
		After  Millis
		Load   *Load
	}
	PeerSaid struct {
		From MarshalNo
		Data []byte
	}
	StageNews struct {
		Age      Millis
		Build    Build
		Phase    Phase
		ToVote   bool // the answer to a vote
		Cap      float64
		Stage    int
		VoteFate VoteFate
	}
	Tally struct {
		Build  Build
		Group  GroupName
		Count  int
		Failed int
		Mean   Millis
		Age    Millis
	}
	Flagged struct {
		Node  NodeID
		Group GroupName
		Age   Millis
	}
)

func (NodesChanged) event()    {}
func (HitTaken) event()        {}
func (AnswerStarted) event()   {}
func (ForwardEnded) event()    {}
func (HitGone) event()         {}
func (TimerDue) event()        {}
func (ProbeEnded) event()      {}
func (PeerSaid) event()        {}
func (StageNews) event()       {}
func (SettingsChanged) event() {}
func (Adopted) event()         {}
func (Disowned) event()        {}
func (Tally) event()           {}
func (Flagged) event()         {}

// Action is what is to be done; each concrete type below is one kind.
type Action interface{ action() }

// Verdict is what a vote says.
type Verdict int

const (
	VoteNone Verdict = iota
	VoteOn
	VoteHold
	VoteBack
)

type (
	Forward struct {
		Hit     HitID
		Node    NodeID
		Timeout Millis // 0: as long as the client waits
		SendBy  Millis // not sent from then on; 0: as long as the client waits
	}
	Bounce struct {
		Hit      HitID
		ComeBack Millis
	}
	Fail   struct{ Hit HitID }
	Cancel struct {
		Hit     HitID
		Forward int
	}
	WakeAt struct {
		Token Token
		At    Millis
	}
	Probe     struct{ Node NodeID }
	CloseIdle struct{ Node NodeID } // idle connections to it
	Tell      struct {
		To   MarshalNo
		All  bool
		Data []byte
	}
	Log    struct{ Text string }
	Watch  struct{ On bool }
	Lookup struct{}
	Vote   struct {
		Build   Build
		Stage   int
		Verdict Verdict
	}
)

func (Forward) action()   {}
func (Bounce) action()    {}
func (Fail) action()      {}
func (Cancel) action()    {}
func (WakeAt) action()    {}
func (Probe) action()     {}
func (CloseIdle) action() {}
func (Tell) action()      {}
func (Log) action()       {}
func (Watch) action()     {}
func (Lookup) action()    {}
func (Vote) action()      {}
