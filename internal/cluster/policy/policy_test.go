package policy

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// encodedPolicy returns the encoding for the log of a policy with a note.
func encodedPolicy(t *testing.T, note string) []byte {
	t.Helper()
	_, body, err := Parse([]byte(fmt.Sprintf(`{ "note": %q, "trial-share": 0.5 }`, note)))
	if err != nil {
		t.Fatalf("parse a policy with a note and a trial share: %v", err)
	}
	return body
}

// Guards against invalid policies that enter the log, and against errors that do not name the key or the bound.
func TestParseNamesInvalidKey(t *testing.T) {
	for _, testCase := range []struct{ name, text, want string }{
		{"note only", `{"note":"x"}`, ""},
		{"halt", `{"note":"x","halt":true}`, ""},
		{"settings", `{"note":"x","settings":{"rules":{}}}`, ""},
		{"no note", `{}`, "note: want 1 to"},
		{"note too long", `{"note":"` + strings.Repeat("n", 401) + `"}`, "note: want 1 to"},
		{"share above 1", `{"note":"x","trial-share":1.5}`, "trial-share: want 0 to 1, got 1.5"},
		{"share as a string", `{"note":"x","trial-share":"half"}`, "trial-share: got string"},
		{"halt as a number", `{"note":"x","halt":1}`, "halt: got number"},
		{"unknown key", `{"note":"x","stop":true}`, "stop: not a key that is known"},
		{"syntax error", "{\"note\":\"x\",\n\"halt\" true}", "policy: line 2:"},
		{"second value", `{"note":"x"} {}`, "more follows"},
		{"settings as an array", `{"note":"x","settings":[1]}`, "settings: want an object"},
		{"too many bytes", strings.Repeat(" ", maxPolicyBytes+1), "want 65536 bytes"},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			_, _, err := Parse([]byte(testCase.text))
			if testCase.want == "" {
				if err != nil {
					t.Errorf("parse %.60s: got error %v, want none", testCase.text, err)
				}
				return
			}
			var keyError *KeyError
			if !errors.As(err, &keyError) || !strings.Contains(err.Error(), testCase.want) {
				t.Errorf("parse %.60s: got error %v, want a *KeyError with %q", testCase.text, err, testCase.want)
			}
		})
	}
	const text = `{"note":"x","halt":true}`
	if _, body, err := Parse([]byte(text)); err != nil || string(body) != text {
		t.Errorf("encoding for the log: got %s, %v, want the text unchanged", body, err)
	}
}
