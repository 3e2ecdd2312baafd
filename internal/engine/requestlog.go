package engine

// Debug lines on each step of a request.

import (
	"github.com/sirupsen/logrus"

	"ottershed/decision"
)

// outcomeNames are the names of outcomes in the log.
var outcomeNames = map[decision.Outcome]string{
	decision.Succeeded: "succeeded", decision.EndpointFailed: "endpoint failed",
	decision.EndpointRejected: "endpoint rejected", decision.TimedOut: "timed out", decision.Unreachable: "unreachable",
	decision.ConnectionBroken: "connection broken", decision.Canceled: "canceled", decision.NotSent: "not sent",
	decision.MalformedResponse: "malformed response",
}

// resultNames are the names of results in the log.
var resultNames = map[ResultKind]string{Succeeded: "succeeded", Rejected: "rejected", Failed: "failed"}

// requestLog writes a line at the debug level for each step of a request, with its correlation id. At other levels it
// does nothing, and costs no allocation.
type requestLog struct {
	log     logrus.FieldLogger
	enabled bool
}

func newRequestLog(log logrus.FieldLogger) requestLog {
	entry := log.WithFields(nil) // logrus.FieldLogger does not tell its level
	return requestLog{log, entry.Logger.IsLevelEnabled(logrus.DebugLevel)}
}

func (l requestLog) received(request *ClientRequest, remaining decision.Millis) {
	if l.enabled {
		l.log.WithFields(logrus.Fields{
			"id": request.CorrelationID, "class": request.Class, "remaining_ms": int(remaining),
		}).Debug("request received")
	}
}

func (l requestLog) attemptStarted(request *ClientRequest, index int, endpoint decision.EndpointID) {
	if l.enabled {
		l.log.WithFields(logrus.Fields{
			"id": request.CorrelationID, "attempt": index, "endpoint": endpoint,
		}).Debug("attempt started")
	}
}

func (l requestLog) attemptCanceled(request *ClientRequest, index int) {
	if l.enabled {
		l.log.WithFields(logrus.Fields{"id": request.CorrelationID, "attempt": index}).Debug("attempt canceled")
	}
}

func (l requestLog) attemptEnded(request *ClientRequest, index int, ended decision.AttemptEnded) {
	if l.enabled {
		l.log.WithFields(logrus.Fields{
			"id": request.CorrelationID, "attempt": index, "endpoint": ended.Endpoint,
			"outcome": outcomeNames[ended.Outcome], "after_ms": int(ended.After), "request_ended": ended.RequestEnded,
		}).Debug("attempt ended")
	}
}

func (l requestLog) responded(request *ClientRequest, kind ResultKind) {
	if l.enabled {
		l.log.WithFields(logrus.Fields{"id": request.CorrelationID, "result": resultNames[kind]}).Debug("request ended")
	}
}

func (l requestLog) clientDisconnected(request *ClientRequest, inFlight int) {
	if l.enabled {
		l.log.WithFields(logrus.Fields{
			"id": request.CorrelationID, "in_flight": inFlight,
		}).Debug("request ended: client disconnected")
	}
}
