package failover

import (
	"slices"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"ottershed/decision"
	"ottershed/internal/cluster/lease"
)

// Guards against evidence that is lost with a merge command: the merge is sent again, without a second takeover, and
// its checkpoint has the evidence and the merged leases of both instances.
func TestLostMergeIsResent(t *testing.T) {
	earlier := lease.Grant{ID: "trial/c", Token: 1}
	deadCheckpoint, err := msgpack.Marshal(&checkpoint{
		Evidence: []decision.Evidence{evidenceWith(40)}, Merged: []lease.Grant{earlier},
	})
	if err != nil {
		t.Fatalf("encode the dead instance's checkpoint: %v", err)
	}
	log, _, _ := startManager(t, 200*time.Millisecond, deadCheckpoint)
	takeovers := 0
	merges := make(chan lease.Command, 1000)
	log.setIntercept(func(c *lease.Command) error {
		switch c.Operation {
		case lease.TakeOver:
			takeovers++
		case lease.Merge:
			merges <- *c
			if len(merges) == 1 {
				return errCommandLost
			}
		}
		return nil
	})
	log.expire()
	waitFor(t, "lease of a merged", func() bool { _, exists := log.get("trial/a"); return !exists })
	if len(merges) != 2 || takeovers != 1 {
		t.Errorf("commands in the log: got %d merges, %d takeovers, want 2, 1", len(merges), takeovers)
	}
	first := <-merges
	combined, err := decodeCheckpoint(first.Checkpoint)
	if err != nil || len(combined.Evidence) != 2 ||
		countResponses(&combined.Evidence[0])+countResponses(&combined.Evidence[1]) != 43 {
		t.Errorf("got decoding error %v, checkpoint %+v, want evidence of two instances with 43 responses", err, combined)
	}
	want := []lease.Grant{earlier, {ID: "trial/a", Token: first.Token}}
	if !slices.Equal(combined.Merged, want) {
		t.Errorf("got merged leases %+v, want trial/c and trial/a", combined.Merged)
	}
}
