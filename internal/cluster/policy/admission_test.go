package policy

import (
	"errors"
	"fmt"
	"testing"
)

// committedRecords returns the records of versions 1 to count.
func committedRecords(t *testing.T, count int) []Record {
	t.Helper()
	var state State
	for i := range count {
		if out := state.Apply(&Proposal{ID: fmt.Sprint(i), Body: encodedPolicy(t, fmt.Sprint(i))}); out.Rejection != "" {
			t.Fatalf("version %d: got rejection %q, want none", i+1, out.Rejection)
		}
	}
	return state.Since(0)
}

func checkDecision(t *testing.T, admission *TrialAdmission, version Version, admitted bool) {
	t.Helper()
	if d := admission.Current(); d.Record.Version != version || d.TrialsAdmitted != admitted {
		t.Errorf("got applied version %d, trials admitted %v, want %d, %v", d.Record.Version, d.TrialsAdmitted, version,
			admitted)
	}
}

// Guards against trials under outdated settings after a restart: until the process has caught up, it keeps the stored
// version and admits no trials. After that it applies only newer versions.
func TestTrialsWaitForCatchUp(t *testing.T) {
	records := committedRecords(t, 5)
	var admission TrialAdmission
	raw, err := EncodeRecord(&records[1])
	if err != nil {
		t.Fatalf("encode the record of version 2: %v", err)
	}
	stored, err := DecodeRecord(raw)
	if err != nil {
		t.Fatalf("decode the record of version 2: %v", err)
	}
	admission.Restore(stored)
	checkDecision(t, &admission, 2, false)
	for _, r := range records[:4] {
		if admission.ShouldApply(r) {
			t.Errorf("version %d: got ShouldApply true before the process has caught up, want false", r.Version)
		}
	}
	if !admission.MarkCaughtUp() || admission.MarkCaughtUp() {
		t.Error("want true from the first MarkCaughtUp and false from the second")
	}
	if admission.ShouldApply(records[0]) || admission.ShouldApply(records[1]) || !admission.ShouldApply(records[3]) {
		t.Error("want ShouldApply true only for versions newer than the applied one")
	}
	admission.MarkApplied(records[3])
	admission.MarkApplied(records[2])
	checkDecision(t, &admission, 4, true)
	admission.MarkFailed(errors.New("no"))
	if d := admission.Current(); d.TrialsAdmitted || admission.Failure() != "no" {
		t.Errorf("after a failure: got %+v, failure %q, want no trials and the failure's text", d, admission.Failure())
	}
	admission.MarkApplied(records[4])
	if !admission.Current().TrialsAdmitted || admission.Failure() != "" {
		t.Error("want a later version to end the failure")
	}
}
