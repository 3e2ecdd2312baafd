package simwire

// Lines out.

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"ottershed/decision"
)

// Append appends an action of an instance as a line.
func Append(line []byte, instance int, action decision.Action) []byte {
	name, values := encode(action)
	if name == "" {
		return line
	}
	line = append(line, name...)
	line = append(line, '\t')
	line = strconv.AppendInt(line, int64(instance), 10)
	for _, value := range values {
		line = append(line, '\t')
		line = fmt.Append(line, value)
	}
	return append(line, '\n')
}

// AppendFault appends a line that says that the decision module of an instance failed.
func AppendFault(line []byte, instance int, text string) []byte {
	return fmt.Appendf(line, "fault\t%d\t%s\n", instance, oneLine(text))
}

// encode returns an action's name on the wire and its fields after the instance. The name is empty for an action that
// the wire does not have.
func encode(action decision.Action) (name string, values []any) {
	switch action := action.(type) {
	case decision.StartAttempt:
		return "assign", []any{action.Request, action.Endpoint, millis(action.Timeout)}
	case decision.Reject:
		return "busy", []any{action.Request, millis(action.RetryAfter)}
	case decision.Fail:
		return "respond_error", []any{action.Request}
	case decision.Cancel:
		return "cancel", []any{action.Request, action.Attempt}
	case decision.WakeAt:
		return "wake_me", []any{uint64(action.Token), millis(action.At)}
	case decision.StartHealthCheck:
		return "sound_out", []any{action.Endpoint}
	case decision.CloseIdle:
		return "shut_idle", []any{action.Endpoint}
	case decision.SendToPeer:
		return "say", []any{receiver(action), orAbsent(hex.EncodeToString(action.Data))}
	case decision.Log:
		return "remark", []any{oneLine(action.Text)}
	case decision.WatchEndpoints:
		return "observe", []any{bit(action.On)}
	case decision.ResolveEndpoints:
		return "lookup", nil
	case decision.Vote:
		return "cast_vote", []any{int(action.Build), action.Stage, int(action.Verdict)}
	}
	return "", nil
}

func millis(value decision.Millis) string { return strconv.FormatFloat(value, 'f', 3, 64) }

func bit(on bool) int {
	if on {
		return 1
	}
	return 0
}

// receiver is the instance that a message goes to, or * for all.
func receiver(message decision.SendToPeer) string {
	if message.All {
		return "*"
	}
	return strconv.Itoa(int(message.To))
}

func orAbsent(text string) string {
	if text == "" {
		return absent
	}
	return text
}

// oneLine replaces the characters that separate fields and lines.
func oneLine(text string) string {
	return strings.NewReplacer("\n", " ", "\t", " ", "\r", " ").Replace(text)
}
