package decision

// Action is something to be done, a message out of the balancer. Each kind is a type of this file.
type Action interface{ action() }

// StartAttempt sends a request to an endpoint.
type StartAttempt struct {
	Request  RequestID
	Endpoint EndpointID
	Timeout  Millis // from now; 0: as long as the client waits
	SendBy   Millis // it is not sent from this time on; 0: as long as the client waits
}

// Reject gives a request its final response: it was not served and may be sent again.
type Reject struct {
	Request    RequestID
	RetryAfter Millis // 0: no advice
}

// Fail gives a request its final response: an error. It may have run.
type Fail struct{ Request RequestID }

// Cancel ends an attempt, whose AttemptEnded follows.
type Cancel struct {
	Request RequestID
	Attempt int // counted from 0
}

// WakeAt asks for a TimerFired.
type WakeAt struct {
	Token Token
	At    Millis
}

// StartHealthCheck checks an endpoint; a HealthCheckEnded follows.
type StartHealthCheck struct{ Endpoint EndpointID }

// CloseIdle closes the idle connections to an endpoint.
type CloseIdle struct{ Endpoint EndpointID }

// SendToPeer sends a message to another instance, or to all. The balancer emits none.
type SendToPeer struct {
	To   InstanceID
	All  bool
	Data []byte
}

// Log writes a line to the instance's log.
type Log struct{ Text string }

// WatchEndpoints asks for the endpoint list where it is polled: the first time, and again after a
// PollRejected. An EndpointsChanged follows. On is always true.
type WatchEndpoints struct{ On bool }

// ResolveEndpoints asks for a full snapshot of the endpoint list. The balancer emits none.
type ResolveEndpoints struct{}

// Vote casts this instance's vote on a stage; a StageUpdate that answers it follows.
type Vote struct {
	Build   Build
	Stage   int
	Verdict Verdict
}

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
