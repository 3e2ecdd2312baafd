package decision

// Action is an output of the balancer, such as StartAttempt or Vote, for the caller to carry out.
type Action interface{ action() }

// StartAttempt sends a request to an endpoint.
type StartAttempt struct {
	Request  RequestID
	Endpoint EndpointID
	Timeout  Millis // from now; 0: until the client's deadline
	SendBy   Millis // the request must not be sent at or after this time; 0: the client's deadline
}

// Reject sends the final response to a request: the request was not served and may be sent again.
type Reject struct {
	Request    RequestID
	RetryAfter Millis // time after which the client may send the request again; 0: no Retry-After is sent
}

// Fail sends an error as the final response to a request. The request may have run.
type Fail struct{ Request RequestID }

// Cancel cancels an attempt. An AttemptEnded follows.
type Cancel struct {
	Request RequestID
	Attempt int // index, from 0
}

// WakeAt requests a TimerFired event with this token at this time.
type WakeAt struct {
	Token Token
	At    Millis
}

// StartHealthCheck starts a health check of an endpoint. A HealthCheckEnded follows.
type StartHealthCheck struct{ Endpoint EndpointID }

// CloseIdleConnections closes the idle connections to an endpoint.
type CloseIdleConnections struct{ Endpoint EndpointID }

// SendToPeer sends a message to one other instance, or to all. The balancer never emits this action.
type SendToPeer struct {
	To   InstanceID
	All  bool
	Data []byte
}

// Log writes a line to the instance's log.
type Log struct{ Text string }

// WatchEndpoints polls for the endpoint list, with Settings.PollEndpoints only: once after the start, and again
// after each PollRejected. An EndpointsChanged follows. On is always true.
type WatchEndpoints struct{ On bool }

// RequestSnapshot requests a full snapshot of the endpoint list. The balancer never emits this action.
type RequestSnapshot struct{}

// Vote casts this instance's vote on a stage. A StageUpdate with IsVoteResult follows.
type Vote struct {
	Build   Build
	Stage   int
	Verdict Verdict
}

func (StartAttempt) action()         {}
func (Reject) action()               {}
func (Fail) action()                 {}
func (Cancel) action()               {}
func (WakeAt) action()               {}
func (StartHealthCheck) action()     {}
func (CloseIdleConnections) action() {}
func (SendToPeer) action()           {}
func (Log) action()                  {}
func (WatchEndpoints) action()       {}
func (RequestSnapshot) action()      {}
func (Vote) action()                 {}
