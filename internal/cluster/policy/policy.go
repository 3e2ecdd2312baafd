// Package policystore decides which version of the fleet's policy there is and which one a marshal may run, free of I/O:
// proposals come in the order in which a log has committed them, and each gets the next version or is refused, alike
// everywhere. internal/cluster/policysync gives it the log and the marshal; docs/policy.md says what was weighed.
package policy

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Version numbers policies: 1 is the first, 0 none.
type Version uint64

// Policy is what the operators ask of all marshals, beside the figures that the platform hands to each.
type Policy struct {
	// Note says what the change is for.
	Note string `json:"note"`
	// Halt has no marshal vote a build on; votes back stay open.
	Halt bool `json:"halt,omitempty"`
	// TrialShare bounds the share of hits that goes to builds on trial, 0 to 1; none: the desk's cap alone does.
	TrialShare *float64 `json:"trial-share,omitempty"`
	// Settings go over those of the configuration, by the same names. Those of path groups and sockets can't be changed so.
	Settings json.RawMessage `json:"settings,omitempty"`
}

const (
	maxPolicyBytes = 64 << 10 // bytes
	maxNoteBytes   = 400
	maxIDBytes     = 64
)

// Parse reads a policy's text, and returns it with its form for the log: one line, so that the same policy has the
// same sum everywhere. An error names the key.
func Parse(raw []byte) (*Policy, []byte, error) {
	if len(raw) > maxPolicyBytes {
		return nil, nil, fmt.Errorf("policy: want %d bytes at most, got %d", maxPolicyBytes, len(raw))
	}
	p := &Policy{}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	err := d.Decode(p)
	var wrong *json.UnmarshalTypeError
	var syntax *json.SyntaxError
	switch {
	case errors.As(err, &wrong):
		return nil, nil, fmt.Errorf("%s: got %s", cmpOr(wrong.Field, "policy"), wrong.Value)
	case errors.As(err, &syntax):
		return nil, nil, fmt.Errorf("policy: line %d: %w", 1+bytes.Count(raw[:min(len(raw), int(syntax.Offset))], []byte("\n")), err)
	case err != nil:
		if _, field, unknown := strings.Cut(err.Error(), "unknown field "); unknown {
			return nil, nil, fmt.Errorf("%s: not a key that is known", strings.Trim(field, `"`))
		}
		return nil, nil, fmt.Errorf("policy: %w", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, nil, errors.New("policy: more follows behind its end")
	}
	if p.Note == "" || len(p.Note) > maxNoteBytes {
		return nil, nil, fmt.Errorf("note: want 1 to %d bytes that say what the change is for, got %d", maxNoteBytes, len(p.Note))
	}
	if s := p.TrialShare; s != nil && (*s < 0 || *s > 1) {
		return nil, nil, fmt.Errorf("trial-share: want 0 to 1, got %g", *s)
	}
	if len(p.Settings) > 0 {
		var tree map[string]json.RawMessage
		if err := json.Unmarshal(p.Settings, &tree); err != nil || tree == nil {
			return nil, nil, errors.New("settings: want an object")
		}
	}
	body, err := json.Marshal(p)
	if err != nil {
		return nil, nil, fmt.Errorf("policy: %w", err)
	}
	return p, body, nil
}

func cmpOr(a, b string) string {
	if a != "" {
		return a
	}
	return b
}
