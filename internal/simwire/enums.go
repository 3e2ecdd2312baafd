package simwire

// Enumerated values and their names in the protocol.

import "ottershed/decision"

// outcomes maps the names of the outcomes of attempts and health checks.
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

// voteResults maps the names of the results of votes, some of which are also names of outcomes.
var voteResults = map[string]decision.VoteResult{
	"completed":  decision.VoteAccepted,
	"errored":    decision.VoteFailed,
	"saturated":  decision.VoteThrottled,
	"overdue":    decision.VoteTimedOut,
	"superseded": decision.VoteObsolete,
}

// endpointStates maps the names of the states in the entries of an endpoint list.
var endpointStates = map[string]decision.EndpointState{
	"up":       decision.Serving,
	"draining": decision.Draining,
	"removed":  decision.Removed,
}

// snapshotKinds maps the names of the ways in which an endpoint list was obtained.
var snapshotKinds = map[string]decision.SnapshotKind{
	"changes":    decision.Delta,
	"all":        decision.FullSnapshot,
	"remembered": decision.CachedSnapshot,
	"refused":    decision.PollRejected,
}

// phases maps the digits of a build's phase in the rollout. An absent phase means that the build is on trial.
var phases = map[string]decision.Phase{
	"0":    decision.InTrial,
	absent: decision.InTrial,
	"1":    decision.RollingBack,
	"2":    decision.Released,
	"3":    decision.RolledBack,
}
