package engine

import (
	"strings"
	"testing"

	"ottershed/decision"
)

func TestEndpointUpdateReachesUpstreamAndModule(t *testing.T) {
	for name, test := range map[string]struct {
		update    EndpointUpdate
		calls     string
		remaining int // endpoints after the update
	}{
		"unchanged": {delta(newEndpoint("a", "a:1", decision.Serving)), "", 2},
		"address":   {delta(newEndpoint("a", "a:2", decision.Serving)), "set address a a:2", 2},
		"started":   {delta(Endpoint{decision.Endpoint{ID: "a", StartedAt: 7}, "a:1"}), "set address a a:1", 2},
		"build":     {delta(Endpoint{decision.Endpoint{ID: "a", Build: 7}, "a:1"}), "set address a a:1", 2},
		"draining":  {delta(newEndpoint("a", "a:1", decision.Draining)), "set address a ", 2},
		"two entries for one endpoint": {
			delta(newEndpoint("a", "a:2", decision.Serving), newEndpoint("a", "a:2", decision.Draining)),
			"set address a a:2,set address a ", 2,
		},
		"removed":          {delta(newEndpoint("a", "", decision.Removed)), "set address a ", 1},
		"removed, unknown": {delta(newEndpoint("c", "", decision.Removed)), "", 2},
		"added":            {delta(newEndpoint("c", "c:1", decision.Serving)), "set address c c:1", 3},
		"snapshot":         {snapshot(newEndpoint("a", "a:1", decision.Serving)), "set address b ", 1},
		"empty snapshot":   {EndpointUpdate{Kind: decision.CachedSnapshot, Version: 4}, "set address a ,set address b ", 0},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness()
			h.deliver(endpointsReceived{test.update})
			calls := strings.Join(h.calls, ",")
			if calls == "set address b ,set address a " { // map order
				calls = "set address a ,set address b "
			}
			got := h.module.received[0].(decision.EndpointsChanged)
			if calls != test.calls || len(h.endpoints) != test.remaining || got.Kind != test.update.Kind ||
				got.Version != test.update.Version || len(got.Endpoints) != len(test.update.Endpoints) {
				t.Errorf("calls: got %q, want %q; endpoints: got %d, want %d; event: got %+v, want that of update %+v", calls,
					test.calls, len(h.endpoints), test.remaining, got, test.update)
			}
			h.request(decision.StartAttempt{Request: 1, Endpoint: "a"})
			if started := len(h.attempts) == 1; started != (h.endpoints["a"].Address != "") {
				t.Errorf("attempt at endpoint a with address %q: got started %v, want %v", h.endpoints["a"].Address, started,
					!started)
			}
		})
	}
}

// Attempts that an earlier exposure cap allowed must not be sent when a lower cap already applies. No other stage
// update cancels attempts.
func TestLowerExposureCapCancelsUnsentAttempts(t *testing.T) {
	for name, test := range map[string]struct {
		update decision.StageUpdate
		calls  string
	}{
		"lower":         {decision.StageUpdate{Build: 7, Phase: decision.InTrial, ExposureCap: 0.1}, "cancel unsent b"},
		"rolling back":  {decision.StageUpdate{Build: 7, Phase: decision.RollingBack}, "cancel unsent b"},
		"unchanged":     {decision.StageUpdate{Build: 7, Phase: decision.InTrial, ExposureCap: 0.25}, ""},
		"higher":        {decision.StageUpdate{Build: 7, Phase: decision.InTrial, ExposureCap: 0.6}, ""},
		"another build": {decision.StageUpdate{Build: 8, Phase: decision.InTrial, ExposureCap: 0.1}, ""},
		"failed vote":   {decision.StageUpdate{IsVoteResult: true, VoteResult: decision.VoteTimedOut}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness()
			h.deliver(endpointsReceived{delta(
				Endpoint{decision.Endpoint{ID: "b", Build: 7}, "b:1"},
				Endpoint{decision.Endpoint{ID: "c", Build: 7, State: decision.Draining}, "c:1"},
			)})
			h.deliver(eventReceived{decision.StageUpdate{Build: 7, Phase: decision.InTrial, ExposureCap: 0.25}})
			h.calls = nil
			if h.deliver(eventReceived{test.update}); strings.Join(h.calls, ",") != test.calls {
				t.Errorf("calls: got %q, want %q", h.calls, test.calls)
			}
		})
	}
}
