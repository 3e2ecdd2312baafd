package simwire

// Enumerated values and their names in the protocol.

import "ottershed/decision"

var outcomes = map[string]decision.Outcome{
	"completed":    decision.Succeeded,
	"errored":      decision.EndpointFailed,
	"saturated":    decision.EndpointRejected,
	"overdue":      decision.TimedOut,
	"refused_conn": decision.Unreachable,
	"severed":      decision.ConnectionBroken,
	"recalled":     decision.Canceled,
	"superseded":   decision.NotSent,
}

var voteResults = map[string]decision.VoteResult{
	"completed":  decision.VoteAccepted,
	"errored":    decision.VoteFailed,
	"saturated":  decision.VoteThrottled,
	"overdue":    decision.VoteTimedOut,
	"superseded": decision.VoteObsolete,
}

var endpointStates = map[string]decision.EndpointState{
	"up":       decision.Serving,
	"draining": decision.Draining,
	"removed":  decision.Removed,
}

var snapshotKinds = map[string]decision.SnapshotKind{
	"changes":    decision.Delta,
	"all":        decision.FullSnapshot,
	"remembered": decision.CachedSnapshot,
	"refused":    decision.PollRejected,
}

var phases = map[string]decision.Phase{
	"0":    decision.InTrial,
	absent: decision.InTrial,
	"1":    decision.RollingBack,
	"2":    decision.Released,
	"3":    decision.RolledBack,
}
