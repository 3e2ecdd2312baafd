package lease

import (
	"testing"

	"ottershed/decision"
)

// Guards against a second execution of a resent request whose class is not idempotent, or only with its key.
func TestDecideResumeAdmitsIdempotentOnly(t *testing.T) {
	zoneKey := decision.RequestClass{Idempotency: decision.IdempotentWithKey, RetryScope: decision.ScopeZone}
	sharedKey := decision.RequestClass{
		Idempotency: decision.IdempotentWithKey, RetryScope: decision.ScopeAll, DedupWindow: 1000,
	}
	for _, test := range []struct {
		name  string
		class decision.RequestClass
		want  ResumeDecision
	}{
		{"idempotent", decision.RequestClass{Idempotency: decision.Idempotent}, ResumeAdmit},
		{"non-idempotent", decision.RequestClass{Idempotency: decision.NonIdempotent}, ResumeReject},
		{"with a key that a zone shares", zoneKey, ResumeReject},
		{"with a key that all endpoints share", sharedKey, ResumeReject},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := DecideResume(&test.class); got != test.want {
				t.Errorf("got resume decision %v, want %v", got, test.want)
			}
		})
	}
}
