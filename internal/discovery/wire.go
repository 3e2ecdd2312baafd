package discovery

import (
	"encoding/json"
	"errors"
	"fmt"

	"ottershed/decision"
	"ottershed/internal/engine"
)

// ErrNoVersion is returned by Decode for a list without a version.
var ErrNoVersion = errors.New("endpoint list: index is missing")

// EntryError is returned by Decode for an entry without a name or with an unknown status.
type EntryError struct {
	Name   string // empty if the entry has none
	Status string
}

func (e EntryError) Error() string {
	return fmt.Sprintf("endpoint list: entry %q with status %q: want a name and Ready, Terminating or Gone", e.Name, e.Status)
}

// endpointStates maps the statuses on the wire to the states of an endpoint.
var endpointStates = map[string]decision.EndpointState{
	"Ready": decision.Serving, "Terminating": decision.Draining, "Gone": decision.Removed,
}

// encodedList is the JSON form of a full snapshot or a delta. encodedList and encodedEndpoint are aliases of unnamed
// types, since JSON errors contain the names of named types.
type encodedList = struct {
	Version   *int64            `json:"index"` // increases with each change
	Snapshot  bool              `json:"snapshot"`
	Endpoints []encodedEndpoint `json:"endpoints"`
}

// encodedEndpoint is the JSON form of an entry of the list.
type encodedEndpoint = struct {
	Name        string  `json:"name"`
	Address     string  `json:"address"` // host:port
	Zone        string  `json:"zone"`
	MachineType string  `json:"type"`
	Cell        int     `json:"group"`
	Status      string  `json:"status"` // a key of endpointStates
	Capacity    float64 `json:"weight"`
	Started     float64 `json:"since_ms"` // start time in ms; 0: long ago
	Build       int     `json:"image_id"`
}

// Decode decodes a full snapshot or a delta. The error is ErrNoVersion, an EntryError or an error of encoding/json.
func Decode(raw []byte) (engine.EndpointUpdate, error) {
	var encoded encodedList
	if err := json.Unmarshal(raw, &encoded); err != nil {
		return engine.EndpointUpdate{}, fmt.Errorf("decode endpoint list: %w", err)
	}
	if encoded.Version == nil {
		return engine.EndpointUpdate{}, ErrNoVersion
	}
	update := engine.EndpointUpdate{Kind: decision.Delta, Version: *encoded.Version}
	if encoded.Snapshot {
		update.Kind = decision.FullSnapshot
	}
	for _, entry := range encoded.Endpoints {
		endpoint, err := decodeEndpoint(entry)
		if err != nil {
			return engine.EndpointUpdate{}, err
		}
		update.Endpoints = append(update.Endpoints, endpoint)
	}
	return update, nil
}

// decodeEndpoint converts an entry of the list. The error is an EntryError.
func decodeEndpoint(entry encodedEndpoint) (engine.Endpoint, error) {
	state, ok := endpointStates[entry.Status]
	if entry.Name == "" || !ok {
		return engine.Endpoint{}, EntryError{Name: entry.Name, Status: entry.Status}
	}
	return engine.Endpoint{Address: entry.Address, Endpoint: decision.Endpoint{
		ID: decision.EndpointID(entry.Name), Cell: decision.Cell(entry.Cell), StartedAt: entry.Started,
		Zone: decision.Zone(entry.Zone), Build: decision.Build(entry.Build),
		MachineType: decision.MachineType(entry.MachineType), State: state, Capacity: entry.Capacity,
	}}, nil
}
