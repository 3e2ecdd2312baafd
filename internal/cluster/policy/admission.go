package policy

// TrialAdmission decides which version one process applies, and whether the process takes part in trials. The applied
// version never decreases. The zero value is for a process without a stored version. A TrialAdmission is not safe for
// concurrent use. Its states are:
//
//	state        meaning                                            trials    left by
//	catching up  the latest version of the fleet is not known yet   closed    MarkCaughtUp
//	admitted     the latest known version is applied                admitted  MarkFailed
//	failed       the latest version does not fit the configuration  closed    MarkApplied (a later version), ClearFailure
//
// A process whose version fails while the process is catching up is in both states, and is admitted after leaving both.
type TrialAdmission struct {
	applied  Record // Version 0: none yet
	caughtUp bool
	failure  string // why the latest version can't be applied here; empty if it is applied
}

// Decision tells a process what to apply until the next Decision.
type Decision struct {
	Record         Record // the version to apply; Version 0: the configuration alone
	TrialsAdmitted bool   // whether requests may go to a candidate
}

// Restore sets the version that this process had applied before a restart, as read from its store; nil if there is
// none.
func (admission *TrialAdmission) Restore(stored *Record) {
	if stored != nil {
		admission.applied = *stored
	}
}

// Current returns the decision that is valid now.
func (admission *TrialAdmission) Current() Decision {
	return Decision{Record: admission.applied, TrialsAdmitted: admission.caughtUp && admission.failure == ""}
}

// Failure returns why the latest version can't be applied here, or "" if it is applied.
func (admission *TrialAdmission) Failure() string { return admission.failure }

// ShouldApply reports whether to apply r, the latest committed version that is known here.
func (admission *TrialAdmission) ShouldApply(r Record) bool {
	// After a restart the log is replayed from its beginning, old versions first. The version that was applied before the
	// restart stays applied until the latest version of the fleet is known, so that no older version is applied meanwhile.
	return admission.caughtUp && r.Version > admission.applied.Version
}

// MarkApplied records that r is applied from now on, and ends a failure. It ignores a version that is not newer than
// the applied one.
func (admission *TrialAdmission) MarkApplied(r Record) {
	if r.Version > admission.applied.Version {
		admission.applied, admission.failure = r, ""
	}
}

// MarkFailed records that the version of the last MarkApplied can't be applied here. The process then still uses
// settings that the rest of the fleet has replaced, so it serves requests but takes part in no trial.
func (admission *TrialAdmission) MarkFailed(err error) { admission.failure = err.Error() }

// ClearFailure ends a failure after a change of the configuration, so that the version is applied again.
func (admission *TrialAdmission) ClearFailure() { admission.failure = "" }

// MarkCaughtUp records that this process knows everything that the fleet had committed at some time after the process
// started, and reports whether this is the first such call. Before that, a process that was down while the policy
// changed would judge and vote under settings that are no longer valid. Trials are therefore admitted only together
// with the latest version.
func (admission *TrialAdmission) MarkCaughtUp() (first bool) {
	first = !admission.caughtUp
	admission.caughtUp = true
	return first
}
