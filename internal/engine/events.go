package engine

import "ottershed/decision"

// eventName is how the log names an event. The names are fixed here, so that who searches logs finds them again when types
// get other names.
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
	case decision.EvidenceAcquired:
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
