package lease

import "ottershed/decision"

// ResumeDecision says how to handle a request that the client resends because the instance that received it first died
// before responding. The progress of the first attempt is unknown.
type ResumeDecision int

// Decisions on a resent request.
const (
	ResumeAdmit  ResumeDecision = iota // handle the request like any other
	ResumeReject                       // fail the request immediately, without an attempt
)

// DecideResume admits a resent request only if a second execution does no harm. The first attempt may have run at an
// endpoint that is unknown here. A non-idempotent request must not run twice. A request that is idempotent with its key
// is safe only at endpoints that share the key and within their deduplication window, whose start is unknown too.
func DecideResume(class *decision.RequestClass) ResumeDecision {
	if class.Idempotency == decision.Idempotent {
		return ResumeAdmit
	}
	return ResumeReject
}
