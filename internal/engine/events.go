package engine

import "ottershed/decision"

// eventName is how the log names an event. The names are fixed here, so that who searches logs finds them again when types
// get other names.
func eventName(event decision.Event) string {
	switch event.(type) {
	case decision.NodesChanged:
		return "logic.NodesChanged"
	case decision.HitTaken:
		return "logic.HitTaken"
	case decision.AnswerStarted:
		return "logic.AnswerStarted"
	case decision.ForwardEnded:
		return "logic.ForwardEnded"
	case decision.HitGone:
		return "logic.HitGone"
	case decision.TimerDue:
		return "logic.TimerDue"
	case decision.ProbeEnded:
		return "logic.ProbeEnded"
	case decision.PeerSaid:
		return "logic.PeerSaid"
	case decision.StageNews:
		return "logic.StageNews"
	case decision.SettingsChanged:
		return "logic.SettingsChanged"
	case decision.Adopted:
		return "logic.Adopted"
	case decision.Disowned:
		return "logic.Disowned"
	case decision.Tally:
		return "logic.Tally"
	case decision.Flagged:
		return "logic.Flagged"
	}
	return "unknown"
}
