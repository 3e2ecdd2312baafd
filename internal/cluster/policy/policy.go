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

// Limits on the text of a policy and on the proposal that carries it.
const (
	maxPolicyBytes = 64 << 10 // bytes of the text as given
	maxNoteBytes   = 400      // bytes
	maxIDBytes     = 64       // bytes of a proposal's ID
)

// Policy is what operators ask of all processes of a fleet, in addition to each one's configuration.
type Policy struct {
	// Note says what the change is for. Required, 1 to 400 bytes.
	Note string `json:"note"`
	// Halt stops votes to advance; votes to roll back are still cast. Default false.
	Halt bool `json:"halt,omitempty"`
	// TrialShare limits the share of requests that goes to a candidate, 0 to 1. Default none: the exposure limit of the
	// rollout controller applies alone. A higher value brings evidence sooner and exposes more requests.
	TrialShare *float64 `json:"trial-share,omitempty"`
	// Settings override those of the configuration, by the same names. Default none. Those of services, tenants, zone,
	// granularity and sockets can't be overridden.
	Settings json.RawMessage `json:"settings,omitempty"`
}

// KeyError is a fault in a policy's text.
type KeyError struct {
	Key string // where the fault is; "policy" for the text as a whole
	Err error  // what is wrong there
}

func (e *KeyError) Error() string { return e.Key + ": " + e.Err.Error() }

// Unwrap returns what is wrong at the key.
func (e *KeyError) Unwrap() error { return e.Err }

func keyErrorf(key, format string, args ...any) error {
	return &KeyError{Key: key, Err: fmt.Errorf(format, args...)}
}

// Parse reads a policy's text. It returns the policy and its form for the log, which is one line, so that equal
// policies have equal checksums at all servers. An error is a [*KeyError].
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

// decodeOne decodes a text that holds one policy and nothing else.
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

// decodingError names the key or the line of what the decoder rejected.
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
	// encoding/json has no type for this error, only its text.
	if _, field, unknown := strings.Cut(err.Error(), "unknown field "); unknown {
		return keyErrorf(strings.Trim(field, `"`), "not a key that is known")
	}
	return keyErrorf("policy", "%w", err)
}

// validate checks the ranges of the values.
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
