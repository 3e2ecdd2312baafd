package policysync

import (
	"testing"
	"time"
)

// Guards against a proposal that waits without a limit.
func TestProposeRequestWaitIsLimited(t *testing.T) {
	for _, request := range []struct {
		name   string
		waitMS int64
		want   time.Duration
	}{
		{"none", 0, 15 * time.Second},
		{"negative", -1, 15 * time.Second},
		{"shorter than the limit", 2500, 2500 * time.Millisecond},
		{"longer than the limit", 60_000, 15 * time.Second},
	} {
		if got := (&ProposeRequest{WaitMS: request.waitMS}).wait(); got != request.want {
			t.Errorf("%s: got wait %v, want %v", request.name, got, request.want)
		}
	}
}
