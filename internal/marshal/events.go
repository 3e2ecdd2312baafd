package marshal

import "ottershed/logic"

// eventName is how the log names an event. The names are fixed here, so that who searches logs finds them again when types
// get other names.
func eventName(event logic.Event) string {
	switch event.(type) {
	case logic.NodesChanged:
		return "logic.NodesChanged"
	case logic.HitTaken:
		return "logic.HitTaken"
	case logic.AnswerStarted:
		return "logic.AnswerStarted"
	case logic.ForwardEnded:
		return "logic.ForwardEnded"
	case logic.HitGone:
		return "logic.HitGone"
	case logic.TimerDue:
		return "logic.TimerDue"
	case logic.ProbeEnded:
		return "logic.ProbeEnded"
	case logic.PeerSaid:
		return "logic.PeerSaid"
	case logic.StageNews:
		return "logic.StageNews"
	case logic.SettingsChanged:
		return "logic.SettingsChanged"
	case logic.Adopted:
		return "logic.Adopted"
	case logic.Disowned:
		return "logic.Disowned"
	case logic.Tally:
		return "logic.Tally"
	case logic.Flagged:
		return "logic.Flagged"
	}
	return "unknown"
}
