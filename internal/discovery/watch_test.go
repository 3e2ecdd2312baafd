package discovery

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"ottershed/internal/engine"
)

// The response to a watch is read as long as bytes arrive, up to snapshotTimeout. After a stalled or too slow response
// the watch fetches a full snapshot.
func TestStalledWatchFetchesSnapshot(t *testing.T) {
	stalled := []segment{{0, encodeUpdate(42, false, "Terminating")[:20]}, neverSent}
	for name, test := range map[string]struct {
		response       []segment     // response to the first watch call
		version        int64         // version of the delivered list
		deliveredAfter time.Duration // time until the list is delivered
	}{
		"steadily": {splitEvenly(100*time.Millisecond, encodeUpdate(42, false, "Terminating"), 10), 42, time.Second},
		"stalls":   {stalled, 43, stallTimeout},
		"steadily, too long": {
			splitEvenly(100*time.Millisecond, encodeUpdate(42, false, "Terminating"), 60), 43,
			snapshotTimeout + 30*time.Millisecond,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				updates := make(chan engine.EndpointUpdate, 10)
				watchCalls := 0
				agent := &slowAgent{respond: func(call int, since string) []segment {
					if since == "" {
						return []segment{{0, encodeUpdate(43, true, "Gone")}}
					}
					watchCalls++
					if watchCalls > 1 {
						return []segment{neverSent}
					}
					segments := slices.Clone(test.response)
					segments[0].delay = 0
					return segments
				}}
				slowWatch := newSlowWatch(agent, sendOrDrop(updates))
				slowWatch.version = 41
				ctx, cancel := context.WithCancel(t.Context())
				startedAt := time.Now()
				go slowWatch.run(ctx)
				defer synctest.Wait()
				defer cancel()
				update := <-updates
				took := time.Since(startedAt)
				tooEarly, tooLate := took < test.deliveredAfter-100*time.Millisecond, took > test.deliveredAfter+10*time.Millisecond
				if update.Version != test.version || tooEarly || tooLate {
					t.Errorf("handler: got list version %d after %v, want list version %d after %v",
						update.Version, took, test.version, test.deliveredAfter)
				}
			})
		})
	}
}
