package engine

// Names of events in the log.

import "ottershed/decision"

// eventName returns the name of an event for the log line of a panic. The names don't follow the names of the types, so
// that a search in logs still finds an event after its type has been renamed.
func eventName(event decision.Event) string {
	switch event.(type) {
	case decision.EndpointsChanged:
		return "logic.NodesChanged"
	case decision.RequestReceived:
		return "logic.HitTaken"
	case decision.ResponseStarted:
		return "logic.AnswerStarted"
	case decision.AttemptEnded:
		return "logic.ForwardEnded"
	case decision.ClientDisconnected:
		return "logic.HitGone"
	case decision.TimerFired:
		return "logic.TimerDue"
	case decision.HealthCheckEnded:
		return "logic.ProbeEnded"
	case decision.PeerMessage:
		return "logic.PeerSaid"
	case decision.StageUpdate:
		return "logic.StageNews"
	case decision.SettingsChanged:
		return "logic.SettingsChanged"
	case decision.EvidenceAdded:
		return "logic.Adopted"
	case decision.EvidenceRevoked:
		return "logic.Disowned"
	case decision.ControllerCounts:
		return "logic.Tally"
	case decision.ResponseFlagged:
		return "logic.Flagged"
	}
	return "unknown"
}
