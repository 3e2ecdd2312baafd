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

// testApplier is an applier whose hook records the decisions.
type testApplier struct {
	*applier
	store           *raftlog.Store
	decisions       []string       // each as "VERSION ADMITTED", in order
	rejectedVersion policy.Version // the hook fails for this version; 0: for none
}

var errDoesNotFit = errors.New("policy does not fit the configuration")

func newTestApplier(t *testing.T) *testApplier {
	t.Helper()
	store, _, err := raftlog.OpenStore(t.TempDir())
	if err != nil {
		t.Fatalf("open the applier's store: %v", err)
	}
	t.Cleanup(func() {
		if err := store.Close(); err != nil {
			t.Errorf("close the applier's store: %v", err)
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
		t.Errorf("got decisions %q, want %q", a.decisions, want)
	}
	a.decisions = nil
}

func testProposal(id string) *policy.Proposal {
	return &policy.Proposal{ID: id, Body: []byte(fmt.Sprintf(`{"note":%q}`, id))}
}

// Guards against outdated versions that are applied during the replay of the log: committed versions wait until the
// process has caught up. Then only the latest version is applied and stored.
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
		t.Errorf("entry that is no proposal: got outcome %+v, want the rejection \"not a proposal\"", out)
	}
	tested.expectDecisions(t)
	stored, err := tested.readStored()
	if err != nil || stored == nil || stored.Version != 2 {
		t.Errorf("stored record: got %+v, error %v, want version 2", stored, err)
	}
}

// Guards against trials under settings that the rest of the fleet has replaced: if a version does not fit, the previous
// settings stay applied with trials closed. After a change of the configuration the version is applied.
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
		t.Errorf("after the failure: got state %+v, want the failure's text and trials closed", state)
	}
	tested.retry()
	tested.expectDecisions(t, "2 true")
	tested.rejectedVersion = 0
	tested.retry()
	tested.expectDecisions(t, "2 true")
	if state := tested.current(); state.failure != "" || !state.decision.TrialsAdmitted {
		t.Errorf("after the retry: got state %+v, want no failure and trials admitted", state)
	}
	tested.retry()
	tested.expectDecisions(t)
}

// Guards against a restart without the applied version and against trials before the process has caught up. A corrupt
// stored record is not applied.
func TestRestartAppliesStoredVersion(t *testing.T) {
	tested := newTestApplier(t)
	tested.applyStored()
	tested.markCaughtUp()
	tested.applyProposal(testProposal("one"))
	restarted := &testApplier{}
	restarted.applier = newApplier(restarted.recordDecision, tested.store, tested.log)
	restarted.applyStored()
	restarted.expectDecisions(t, "1 false")
	if err := tested.store.SetUserValue(appliedKey, []byte("corrupt record")); err != nil {
		t.Fatalf("store a corrupt record of the applied version: %v", err)
	}
	restarted.applier = newApplier(restarted.recordDecision, tested.store, tested.log)
	if _, err := restarted.readStored(); !errors.Is(err, policy.ErrCorruptRecord) {
		t.Errorf("corrupt record: got error %v, want ErrCorruptRecord", err)
	}
	restarted.applyStored()
	restarted.expectDecisions(t, "0 false")
}

// Guards against polls that never end: a poll ends with a newer version, after its maximum wait, or with its context.
func TestAwaitSinceEndsOnVersionTimeoutOrCancel(t *testing.T) {
	tested := newTestApplier(t)
	tested.markCaughtUp()
	ended := make(chan policy.Version, 1)
	go func() {
		records, latest, err := tested.awaitSince(t.Context(), 0, time.Minute)
		if err != nil || len(records) != 1 {
			t.Errorf("newer version: got %d records, error %v, want 1, none", len(records), err)
		}
		ended <- latest
	}()
	tested.applyProposal(testProposal("one"))
	if latest := <-ended; latest != 1 {
		t.Errorf("newer version: got latest version %d, want 1", latest)
	}
	records, latest, err := tested.awaitSince(t.Context(), 1, time.Millisecond)
	if err != nil || len(records) != 0 || latest != 1 {
		t.Errorf("no newer version: got %d records, latest version %d, error %v, want 0, 1, none", len(records), latest, err)
	}
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	if _, _, err := tested.awaitSince(canceled, 1, time.Minute); !errors.Is(err, context.Canceled) {
		t.Errorf("canceled context: got error %v, want context.Canceled", err)
	}
}
