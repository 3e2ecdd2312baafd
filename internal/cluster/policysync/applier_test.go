package policysync

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"ottershed/internal/cluster/policy"
	"ottershed/internal/cluster/raftlog"
)

// testApplier is an applier whose decisions are recorded.
type testApplier struct {
	*applier
	store           *raftlog.Store
	decisions       []string // "version admitted", in order
	rejectedVersion policy.Version
}

var errDoesNotFit = errors.New("does not fit")

func newTestApplier(t *testing.T) *testApplier {
	t.Helper()
	store, _, err := raftlog.OpenStore(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := store.Close(); err != nil {
			t.Error(err)
		}
	})
	log := logrus.New()
	log.SetOutput(io.Discard)
	a := &testApplier{store: store}
	a.applier = newApplier(a.recordDecision, store, log)
	return a
}

func (a *testApplier) recordDecision(d policy.Decision) error {
	a.decisions = append(a.decisions, fmt.Sprintf("%d %v", d.Record.Version, d.TrialsAdmitted))
	if a.rejectedVersion != 0 && d.Record.Version == a.rejectedVersion {
		return errDoesNotFit
	}
	return nil
}

func (a *testApplier) expectDecisions(t *testing.T, want ...string) {
	t.Helper()
	if !slices.Equal(a.decisions, want) {
		t.Errorf("decisions %q, want %q", a.decisions, want)
	}
	a.decisions = nil
}

func testProposal(id string) *policy.Proposal {
	return &policy.Proposal{ID: id, Body: []byte(fmt.Sprintf(`{"note":%q}`, id))}
}

// Committed versions wait until the process has caught up; then only the latest is applied, and the store has it.
func TestApplierWaitsForCatchUp(t *testing.T) {
	tested := newTestApplier(t)
	tested.applyStored()
	tested.expectDecisions(t, "0 false")
	tested.applyProposal(testProposal("one"))
	tested.applyProposal(testProposal("two"))
	tested.expectDecisions(t)
	tested.markCaughtUp()
	tested.expectDecisions(t, "2 true", "2 true")
	tested.markCaughtUp()
	tested.expectDecisions(t)
	if out := tested.applyProposal(nil); out.Rejection != "not a proposal" {
		t.Errorf("an entry that is no proposal: %+v", out)
	}
	tested.expectDecisions(t)
	stored, err := tested.readStored()
	if err != nil || stored == nil || stored.Version != 2 {
		t.Errorf("stored: %+v, %v", stored, err)
	}
}

// A version that does not fit is stored, the settings of the one before stay without trials, and a changed
// configuration admits trials again.
func TestRetryAppliesFailedVersion(t *testing.T) {
	tested := newTestApplier(t)
	tested.applyStored()
	tested.markCaughtUp()
	tested.applyProposal(testProposal("one"))
	tested.decisions = nil
	tested.rejectedVersion = 2
	tested.applyProposal(testProposal("two"))
	tested.expectDecisions(t, "2 true", "1 false")
	if state := tested.current(); state.failure != errDoesNotFit.Error() || state.decision.TrialsAdmitted {
		t.Errorf("after the failure: %+v", state)
	}
	tested.retry()
	tested.expectDecisions(t, "2 true")
	tested.rejectedVersion = 0
	tested.retry()
	tested.expectDecisions(t, "2 true")
	if state := tested.current(); state.failure != "" || !state.decision.TrialsAdmitted {
		t.Errorf("after the retry: %+v", state)
	}
	tested.retry()
	tested.expectDecisions(t)
}

// After a restart the stored version is applied at once, without trials; a record that is corrupt is not applied.
func TestRestartAppliesStoredVersion(t *testing.T) {
	tested := newTestApplier(t)
	tested.applyStored()
	tested.markCaughtUp()
	tested.applyProposal(testProposal("one"))
	restarted := &testApplier{}
	restarted.applier = newApplier(restarted.recordDecision, tested.store, tested.log)
	restarted.applyStored()
	restarted.expectDecisions(t, "1 false")
	if err := tested.store.PutUser(appliedKey, []byte("corrupt record")); err != nil {
		t.Fatal(err)
	}
	restarted.applier = newApplier(restarted.recordDecision, tested.store, tested.log)
	if _, err := restarted.readStored(); !errors.Is(err, policy.ErrCorruptRecord) {
		t.Errorf("a corrupt record: %v", err)
	}
	restarted.applyStored()
	restarted.expectDecisions(t, "0 false")
}

// A poll that waits ends with a newer version, with its time or with its context.
func TestAwaitSinceEndsOnVersionTimeoutOrCancel(t *testing.T) {
	tested := newTestApplier(t)
	tested.markCaughtUp()
	ended := make(chan policy.Version, 1)
	go func() {
		records, latest, err := tested.awaitSince(t.Context(), 0, time.Minute)
		if err != nil || len(records) != 1 {
			t.Errorf("%d records, %v", len(records), err)
		}
		ended <- latest
	}()
	tested.applyProposal(testProposal("one"))
	if latest := <-ended; latest != 1 {
		t.Errorf("latest %d", latest)
	}
	records, latest, err := tested.awaitSince(t.Context(), 1, time.Millisecond)
	if err != nil || len(records) != 0 || latest != 1 {
		t.Errorf("nothing new: %d records, latest %d, %v", len(records), latest, err)
	}
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	if _, _, err := tested.awaitSince(canceled, 1, time.Minute); !errors.Is(err, context.Canceled) {
		t.Errorf("canceled: %v", err)
	}
}
