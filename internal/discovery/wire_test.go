package discovery

import (
	"encoding/json"
	"errors"
	"testing"

	"ottershed/decision"
	"ottershed/internal/engine"
)

// isSyntaxError tells whether an error is that of a text which is not JSON.
func isSyntaxError(err error) bool {
	var syntax *json.SyntaxError
	return errors.As(err, &syntax)
}

func TestDecode(t *testing.T) {
	for name, test := range map[string]struct {
		text  string
		kind  decision.SnapshotKind
		state decision.EndpointState
	}{
		"ready":       {list(41, true, "Ready"), decision.FullSnapshot, decision.Serving},
		"terminating": {list(42, false, "Terminating"), decision.Delta, decision.Draining},
		"gone":        {list(42, false, "Gone"), decision.Delta, decision.Removed},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := Decode([]byte(test.text))
			want := engine.Endpoint{Address: "10.1.0.18:8080", Endpoint: decision.Endpoint{
				ID: "s-1", Cell: 3, Started: 7000, Zone: "a",
				Build: 41, MachineType: "m2", State: test.state, Capacity: 1.5,
			}}
			if err != nil || got.Kind != test.kind || len(got.Endpoints) != 1 || got.Endpoints[0] != want {
				t.Errorf("got %+v, %v", got, err)
			}
		})
	}
	is := func(want error) func(error) bool { return func(err error) bool { return errors.Is(err, want) } }
	for name, test := range map[string]struct {
		text    string
		isWant  func(error) bool
		message string // check-config prints it
	}{
		"no JSON":  {`{"index":4`, isSyntaxError, "list: unexpected end of JSON input"},
		"no index": {`{}`, is(ErrNoVersion), "list: no index"},
		"odd status": {
			list(1, true, "Lost"), is(EntryError{"s-1", "Lost"}),
			`list: entry "s-1": status "Lost" is not known`,
		},
		"no name": {
			`{"index":1,"endpoints":[{"status":"Ready"}]}`, is(EntryError{"", "Ready"}),
			`list: entry "": status "Ready" is not known`,
		},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Decode([]byte(test.text))
			if err == nil || !test.isWant(err) || err.Error() != test.message {
				t.Errorf("error %v, want %q", err, test.message)
			}
		})
	}
}
