package discovery

import (
	"encoding/json"
	"errors"
	"testing"

	"ottershed/decision"
	"ottershed/internal/engine"
)

// isSyntaxError reports whether an error is a JSON syntax error.
func isSyntaxError(err error) bool {
	var syntax *json.SyntaxError
	return errors.As(err, &syntax)
}

func TestDecode(t *testing.T) {
	for name, test := range map[string]struct {
		encoded string
		kind    decision.SnapshotKind
		state   decision.EndpointState
	}{
		"ready":       {encodeUpdate(41, true, "Ready"), decision.FullSnapshot, decision.Serving},
		"terminating": {encodeUpdate(42, false, "Terminating"), decision.Delta, decision.Draining},
		"gone":        {encodeUpdate(42, false, "Gone"), decision.Delta, decision.Removed},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := Decode([]byte(test.encoded))
			want := engine.Endpoint{Address: "10.1.0.18:8080", Endpoint: decision.Endpoint{
				ID: "s-1", Cell: 3, StartedAt: 7000, Zone: "a",
				Build: 41, MachineType: "m2", State: test.state, Capacity: 1.5,
			}}
			if err != nil || got.Kind != test.kind || len(got.Endpoints) != 1 || got.Endpoints[0] != want {
				t.Errorf("Decode: got update %+v, error %v; want endpoints %+v in an update of kind %d", got, err, want, test.kind)
			}
		})
	}
	is := func(want error) func(error) bool { return func(err error) bool { return errors.Is(err, want) } }
	for name, test := range map[string]struct {
		encoded string
		matches func(error) bool
		message string // check-config prints it
	}{
		"not JSON": {`{"index":4`, isSyntaxError, "decode endpoint list: unexpected end of JSON input"},
		"no index": {`{}`, is(ErrNoVersion), "endpoint list: index is missing"},
		"unknown status": {
			encodeUpdate(1, true, "Lost"), is(EntryError{"s-1", "Lost"}),
			`endpoint list: entry "s-1" with status "Lost": want a name and Ready, Terminating or Gone`,
		},
		"no name": {
			`{"index":1,"endpoints":[{"status":"Ready"}]}`, is(EntryError{"", "Ready"}),
			`endpoint list: entry "" with status "Ready": want a name and Ready, Terminating or Gone`,
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Decode([]byte(test.encoded))
			if err == nil || !test.matches(err) || err.Error() != test.message {
				t.Errorf("Decode: got error %v, want %q", err, test.message)
			}
		})
	}
}
