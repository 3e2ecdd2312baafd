package policy

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Limits on the text of a policy and on its proposal.
const (
	maxPolicyBytes = 64 << 10 // length of the text that the operator submits
	maxNoteBytes   = 400      // length of a note
	maxIDBytes     = 64       // length of a proposal's ID
)

// Policy holds settings that operators change for all processes of a fleet at once, in addition to the configuration of
// each process.
type Policy struct {
	// Note is the purpose of the change. Required, 1 to 400 bytes.
	Note string `json:"note"`
	// Halt stops votes to advance; votes to roll back are still sent. Default false.
	Halt bool `json:"halt,omitempty"`
	// TrialShare limits the share of requests that go to a candidate, 0 to 1. Default none: only the exposure limit of
	// the rollout controller applies. A higher value gathers evidence sooner and exposes more requests.
	TrialShare *float64 `json:"trial-share,omitempty"`
	// Settings override the settings of the configuration with the same names. Default none. The settings of services,
	// tenants, zone, granularity and sockets can't be overridden.
	Settings json.RawMessage `json:"settings,omitempty"`
}

// KeyError reports an invalid key or value in a policy's text.
type KeyError struct {
	Key string // the invalid key, or "policy" if the text as a whole is invalid
	Err error  // the cause
}

func (e *KeyError) Error() string { return e.Key + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *KeyError) Unwrap() error { return e.Err }

func keyErrorf(key, format string, args ...any) error {
	return &KeyError{Key: key, Err: fmt.Errorf(format, args...)}
}

// Parse decodes and validates a policy's text. It returns the policy and its encoding for the log, one line of JSON, so
// that equal policies have equal checksums at all servers. An error is a [*KeyError].
func Parse(raw []byte) (*Policy, []byte, error) {
	if len(raw) > maxPolicyBytes {
		return nil, nil, keyErrorf("policy", "want %d bytes at most, got %d", maxPolicyBytes, len(raw))
	}
	parsed, err := decodePolicy(raw)
	if err != nil {
		return nil, nil, err
	}
	if err := parsed.validate(); err != nil {
		return nil, nil, err
	}
	body, err := json.Marshal(parsed)
	if err != nil {
		return nil, nil, keyErrorf("policy", "%w", err)
	}
	return parsed, body, nil
}

// decodePolicy decodes a text that consists of one policy and nothing else.
func decodePolicy(raw []byte) (*Policy, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	parsed := &Policy{}
	if err := decoder.Decode(parsed); err != nil {
		return nil, decodingError(raw, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, keyErrorf("policy", "more follows behind its end")
	}
	return parsed, nil
}

// decodingError returns a [*KeyError] that names the key, or the line, that the decoder rejected.
func decodingError(raw []byte, err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return keyErrorf(cmp.Or(wrongType.Field, "policy"), "got %s", wrongType.Value)
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		read := raw[:min(len(raw), int(syntax.Offset))]
		return keyErrorf("policy", "line %d: %w", 1+bytes.Count(read, []byte("\n")), err)
	}
	// encoding/json has no error type for unknown fields, so the text is matched.
	if _, field, unknown := strings.Cut(err.Error(), "unknown field "); unknown {
		return keyErrorf(strings.Trim(field, `"`), "not a key that is known")
	}
	return keyErrorf("policy", "%w", err)
}

// validate checks that the values are within their limits.
func (p *Policy) validate() error {
	if p.Note == "" || len(p.Note) > maxNoteBytes {
		return keyErrorf("note", "want 1 to %d bytes that say what the change is for, got %d", maxNoteBytes, len(p.Note))
	}
	if share := p.TrialShare; share != nil && (*share < 0 || *share > 1) {
		return keyErrorf("trial-share", "want 0 to 1, got %g", *share)
	}
	if len(p.Settings) == 0 {
		return nil
	}
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(p.Settings, &keys); err != nil || keys == nil {
		return keyErrorf("settings", "want an object")
	}
	return nil
}
