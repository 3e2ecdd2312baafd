package discovery

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"ottershed/internal/engine"
)

// The response to a watch is read for as long as bytes come; one that stalls is followed by a call for a full snapshot.
func TestSlowWatch(t *testing.T) {
	part := []piece{{0, list(42, false, "Terminating")[:20]}, never}
	for name, test := range map[string]struct {
		watch   []piece
		version int64
		at      time.Duration
	}{
		"steadily":    {evenly(100*time.Millisecond, list(42, false, "Terminating"), 10), 42, time.Second},
		"only a part": {part, 43, stallTimeout},
		"too long": {
			evenly(100*time.Millisecond, list(42, false, "Terminating"), 60), 43, snapshotTimeout + 30*time.Millisecond,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				updates := make(chan engine.EndpointUpdate, 10)
				watches := 0
				agent := &slowAgent{respond: func(call int, since string) []piece {
					if since == "" {
						return []piece{{0, list(43, true, "Gone")}}
					}
					watches++
					if watches > 1 {
						return []piece{never}
					}
					pieces := slices.Clone(test.watch)
					pieces[0].after = 0
					return pieces
				}}
				slow := slowWatch(agent, offerTo(updates))
				slow.version = 41
				ctx, cancel := context.WithCancel(t.Context())
				began := time.Now()
				go slow.run(ctx)
				defer synctest.Wait()
				defer cancel()
				update := <-updates
				took := time.Since(began)
				early, late := took < test.at-100*time.Millisecond, took > test.at+10*time.Millisecond
				if update.Version != test.version || early || late {
					t.Errorf("list %d delivered after %v, want %d after %v", update.Version, took, test.version, test.at)
				}
			})
		})
	}
}
