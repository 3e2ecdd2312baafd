package lease

import "ottershed/decision"

// ResumeDecision is what becomes of a request that its client sends again because the instance that had it died
// before it responded. How far the first attempt came is unknown.
type ResumeDecision int

// Decisions on a request that is sent again.
const (
	ResumeAdmit  ResumeDecision = iota // handle it as any other request
	ResumeReject                       // fail it at once, without an attempt
)

// DecideResume decides by what a second execution would do. The first attempt may have run at an endpoint that is
// unknown. A non-idempotent request must not run twice. One that is idempotent with its key is safe only at endpoints
// that share the key, for the length of their deduplication window, and when that began is unknown too.
func DecideResume(class *decision.RequestClass) ResumeDecision {
	if class.Idempotency == decision.Idempotent {
		return ResumeAdmit
	}
	return ResumeReject
}
