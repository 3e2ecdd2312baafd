package failover

import (
	"slices"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"ottershed/decision"
	"ottershed/internal/cluster/lease"
)

// A merge whose first command is lost is sent again, without a second takeover, and its checkpoint holds the evidence
// and the merged leases of both.
func TestLostMergeIsResent(t *testing.T) {
	earlier := lease.Grant{ID: "trial/c", Token: 1}
	theirs, err := msgpack.Marshal(&checkpoint{
		Evidence: []decision.Evidence{evidenceWith(40)}, Merged: []lease.Grant{earlier},
	})
	if err != nil {
		t.Fatal(err)
	}
	log, _, _ := startManager(t, 200*time.Millisecond, theirs)
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
	waitFor(t, "merged", func() bool { _, there := log.get("trial/a"); return !there })
	if len(merges) != 2 || takeovers != 1 {
		t.Errorf("%d merges, %d takeovers", len(merges), takeovers)
	}
	first := <-merges
	united, err := decodeCheckpoint(first.Checkpoint)
	if err != nil || len(united.Evidence) != 2 || countResponses(&united.Evidence[0])+countResponses(&united.Evidence[1]) != 43 {
		t.Errorf("%v: %+v", err, united)
	}
	want := []lease.Grant{earlier, {ID: "trial/a", Token: first.Token}}
	if !slices.Equal(united.Merged, want) {
		t.Errorf("merged leases %+v", united.Merged)
	}
}
