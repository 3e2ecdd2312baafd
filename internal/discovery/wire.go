package discovery

import (
	"encoding/json"
	"errors"
	"fmt"

	"ottershed/decision"
	"ottershed/internal/engine"
)

// ErrNoVersion is returned for a list that does not say which version it is.
var ErrNoVersion = errors.New("list: no index")

// EntryError is returned for a list with an entry that has no name or a status that is not known.
type EntryError struct {
	Name   string // of the entry; empty: it has none
	Status string
}

func (e EntryError) Error() string {
	return fmt.Sprintf("list: entry %q: status %q is not known", e.Name, e.Status)
}

// endpointStates are the states of an endpoint by their names on the wire.
var endpointStates = map[string]decision.EndpointState{
	"Ready": decision.Serving, "Terminating": decision.Draining, "Gone": decision.Removed,
}

// encodedList is the endpoint list as it is encoded, whole or what changed. It and encodedEndpoint are aliases of types
// without a name, which the texts of JSON errors would contain.
type encodedList = struct {
	Version   *int64            `json:"index"` // grows with each change
	Snapshot  bool              `json:"snapshot"`
	Endpoints []encodedEndpoint `json:"endpoints"`
}

// encodedEndpoint is an entry of the list.
type encodedEndpoint = struct {
	Name        string  `json:"name"`
	Address     string  `json:"address"` // host:port
	Zone        string  `json:"zone"`
	MachineType string  `json:"type"`
	Cell        int     `json:"group"`
	Status      string  `json:"status"` // a key of endpointStates
	Capacity    float64 `json:"weight"`
	Started     float64 `json:"since_ms"` // milliseconds; 0: long ago
	Build       int     `json:"image_id"`
}

// Decode reads an endpoint list, whole or what changed.
func Decode(raw []byte) (engine.EndpointUpdate, error) {
	var encoded encodedList
	if err := json.Unmarshal(raw, &encoded); err != nil {
		return engine.EndpointUpdate{}, fmt.Errorf("list: %w", err)
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

func decodeEndpoint(entry encodedEndpoint) (engine.Endpoint, error) {
	state, ok := endpointStates[entry.Status]
	if entry.Name == "" || !ok {
		return engine.Endpoint{}, EntryError{Name: entry.Name, Status: entry.Status}
	}
	return engine.Endpoint{Address: entry.Address, Endpoint: decision.Endpoint{
		ID: decision.EndpointID(entry.Name), Cell: decision.Cell(entry.Cell), Started: entry.Started,
		Zone: decision.Zone(entry.Zone), Build: decision.Build(entry.Build),
		MachineType: decision.MachineType(entry.MachineType), State: state, Capacity: entry.Capacity,
	}}, nil
}
