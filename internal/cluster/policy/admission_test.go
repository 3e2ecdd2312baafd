package policy

import (
	"errors"
	"fmt"
	"testing"
)

// recordsOf returns versions 1 to count.
func committedRecords(t *testing.T, count int) []Record {
	t.Helper()
	var state State
	for i := range count {
		if out := state.Apply(&Proposal{ID: fmt.Sprint(i), Body: logForm(t, fmt.Sprint(i))}); out.Rejection != "" {
			t.Fatal(out.Rejection)
		}
	}
	return state.Since(0)
}

func checkDecision(t *testing.T, admission *TrialAdmission, version Version, admitted bool) {
	t.Helper()
	if d := admission.Current(); d.Record.Version != version || d.TrialsAdmitted != admitted {
		t.Errorf("version %d, trials admitted %v; want %d, %v", d.Record.Version, d.TrialsAdmitted, version, admitted)
	}
}

// After a restart no version older than the stored one is applied, and no new one and no trial before the process has
// caught up.
func TestTrialsWaitForCatchUp(t *testing.T) {
	records := committedRecords(t, 5)
	var admission TrialAdmission
	raw, err := EncodeRecord(&records[1])
	if err != nil {
		t.Fatal(err)
	}
	stored, err := DecodeRecord(raw)
	if err != nil {
		t.Fatal(err)
	}
	admission.Restore(stored)
	checkDecision(t, &admission, 2, false)
	for _, r := range records[:4] {
		if admission.ShouldApply(r) {
			t.Errorf("version %d is to be applied before the process has caught up", r.Version)
		}
	}
	if !admission.MarkCaughtUp() || admission.MarkCaughtUp() {
		t.Error("want the first MarkCaughtUp, and only that, to report that it is the first")
	}
	if admission.ShouldApply(records[0]) || admission.ShouldApply(records[1]) || !admission.ShouldApply(records[3]) {
		t.Error("want only versions newer than the applied one to be applied")
	}
	admission.MarkApplied(records[3])
	admission.MarkApplied(records[2])
	checkDecision(t, &admission, 4, true)
	admission.MarkFailed(errors.New("no"))
	if d := admission.Current(); d.TrialsAdmitted || admission.Failure() != "no" {
		t.Errorf("after a failure: %+v, %q", d, admission.Failure())
	}
	admission.MarkApplied(records[4])
	if !admission.Current().TrialsAdmitted || admission.Failure() != "" {
		t.Error("a later version does not end the failure")
	}
}
