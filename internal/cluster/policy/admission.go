package policy

// TrialAdmission decides which version one process applies, and whether the process takes part in trials. The applied
// version never goes back. The zero value is a process that starts for the first time. Its states:
//
//	state        meaning                                              trials    left by
//	catching up  the latest version of the fleet is not known yet     closed    MarkCaughtUp
//	admitted     the latest known version is applied                  admitted  Fail
//	failed       the latest version does not fit the configuration    closed    Applied (a later version), ClearFailure
//
// A process that fails while it is catching up is in both of these states and is admitted once it has left both.
type TrialAdmission struct {
	applied  Record // Version 0: none yet
	caughtUp bool
	failure  string // why the latest version can't be applied here; empty: it is applied
}

// Decision is what a process is to do until the next Decision.
type Decision struct {
	Record         Record // the version to apply; Version 0: the configuration alone
	TrialsAdmitted bool   // requests may go to a candidate
}

// Restore sets the version that this process had applied before it restarted, from its store; nil where there is none.
func (admission *TrialAdmission) Restore(stored *Record) {
	if stored != nil {
		admission.applied = *stored
	}
}

// Current is what the process is to do now.
func (admission *TrialAdmission) Current() Decision {
	return Decision{Record: admission.applied, TrialsAdmitted: admission.caughtUp && admission.failure == ""}
}

// Failure says why the latest version can't be applied here; empty where it is applied.
func (admission *TrialAdmission) Failure() string { return admission.failure }

// ShouldApply tells whether to apply r, the latest committed version that is known here.
func (admission *TrialAdmission) ShouldApply(r Record) bool {
	// After a restart the log is replayed from its beginning, old versions first. The version that was applied before the
	// restart stays until the latest version of the fleet is known, so that no older one is applied in between.
	return admission.caughtUp && r.Version > admission.applied.Version
}

// Applied notes that r is applied from now on. A version that is not newer is ignored.
func (admission *TrialAdmission) MarkApplied(r Record) {
	if r.Version > admission.applied.Version {
		admission.applied, admission.failure = r, ""
	}
}

// Fail notes that the version of the last Applied can't be applied here. The process then still uses settings that the
// rest of the fleet has left, so it serves requests but takes part in no trial.
func (admission *TrialAdmission) MarkFailed(err error) { admission.failure = err.Error() }

// ClearFailure notes that the configuration has changed and the version is to be tried again.
func (admission *TrialAdmission) ClearFailure() { admission.failure = "" }

// MarkCaughtUp notes that this process holds all that the fleet had committed at some moment after its start, and tells
// whether that is new. Until then a process that was down while the policy changed would judge and vote under settings
// that are no longer valid; so trials are admitted only together with the latest version.
func (admission *TrialAdmission) MarkCaughtUp() (first bool) {
	first = !admission.caughtUp
	admission.caughtUp = true
	return first
}
