package simwire

// Encoding of actions as lines.

import (
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"ottershed/decision"
)

// AppendAction appends an action of an instance as a line. An action that the protocol does not have appends nothing.
func AppendAction(line []byte, instance int, action decision.Action) []byte {
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

// AppendFault appends a line that reports a failure of the decision module of an instance.
func AppendFault(line []byte, instance int, text string) []byte {
	return fmt.Appendf(line, "fault\t%d\t%s\n", instance, replaceSeparators(text))
}

// encode returns the name of an action in the protocol and the values that follow the instance. The name is empty for
// an action that the protocol does not have.
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
	case decision.CloseIdleConnections:
		return "shut_idle", []any{action.Endpoint}
	case decision.SendToPeer:
		return "say", []any{recipient(action), textOrAbsent(hex.EncodeToString(action.Data))}
	case decision.Log:
		return "remark", []any{replaceSeparators(action.Text)}
	case decision.WatchEndpoints:
		return "observe", []any{boolDigit(action.On)}
	case decision.RequestSnapshot:
		return "lookup", nil
	case decision.Vote:
		return "cast_vote", []any{int(action.Build), action.Stage, int(action.Verdict)}
	}
	return "", nil
}

func millis(value decision.Millis) string { return strconv.FormatFloat(value, 'f', 3, 64) }

func boolDigit(value bool) int {
	if value {
		return 1
	}
	return 0
}

// recipient returns the number of the instance that a message goes to, or * for all.
func recipient(message decision.SendToPeer) string {
	if message.All {
		return "*"
	}
	return strconv.Itoa(int(message.To))
}

func textOrAbsent(text string) string {
	if text == "" {
		return absent
	}
	return text
}

// replaceSeparators replaces the separators of fields and lines by spaces.
func replaceSeparators(text string) string {
	return strings.NewReplacer("\n", " ", "\t", " ", "\r", " ").Replace(text)
}
