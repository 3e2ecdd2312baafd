package policy

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// policyBody is the form for the log of a policy with a note.
func logForm(t *testing.T, note string) []byte {
	t.Helper()
	_, body, err := Parse([]byte(fmt.Sprintf(`{ "note": %q, "trial-share": 0.5 }`, note)))
	if err != nil {
		t.Fatal(err)
	}
	return body
}

func TestParseNamesInvalidKey(t *testing.T) {
	for _, testCase := range []struct{ name, text, want string }{
		{"a note alone", `{"note":"x"}`, ""},
		{"halt", `{"note":"x","halt":true}`, ""},
		{"settings", `{"note":"x","settings":{"rules":{}}}`, ""},
		{"no note", `{}`, "note: want 1 to"},
		{"a long note", `{"note":"` + strings.Repeat("n", 401) + `"}`, "note: want 1 to"},
		{"a share above 1", `{"note":"x","trial-share":1.5}`, "trial-share: want 0 to 1, got 1.5"},
		{"a share as text", `{"note":"x","trial-share":"half"}`, "trial-share: got string"},
		{"halt as a number", `{"note":"x","halt":1}`, "halt: got number"},
		{"an unknown key", `{"note":"x","stop":true}`, "stop: not a key that is known"},
		{"a syntax error", "{\"note\":\"x\",\n\"halt\" true}", "policy: line 2:"},
		{"a second value", `{"note":"x"} {}`, "more follows"},
		{"settings as a list", `{"note":"x","settings":[1]}`, "settings: want an object"},
		{"too many bytes", strings.Repeat(" ", maxPolicyBytes+1), "want 65536 bytes"},
	} {
		t.Run(testCase.name, func(t *testing.T) {
			_, _, err := Parse([]byte(testCase.text))
			if testCase.want == "" {
				if err != nil {
					t.Errorf("%.60s: %v", testCase.text, err)
				}
				return
			}
			var keyError *KeyError
			if !errors.As(err, &keyError) || !strings.Contains(err.Error(), testCase.want) {
				t.Errorf("%.60s: want %q, got %v", testCase.text, testCase.want, err)
			}
		})
	}
	const text = `{"note":"x","halt":true}`
	if _, body, err := Parse([]byte(text)); err != nil || string(body) != text {
		t.Errorf("form for the log: %s, %v", body, err)
	}
}
