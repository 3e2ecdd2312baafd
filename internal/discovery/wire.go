// Package discovery follows the list of nodes.
package discovery

import (
	"encoding/json"
	"fmt"
	"ottershed/decision"
	"ottershed/internal/engine"
)

var states = map[string]decision.EndpointState{"Ready": decision.Serving, "Terminating": decision.Draining, "Gone": decision.Removed}

// Decode reads a list in discovery's form.
func Decode(raw []byte) (engine.EndpointUpdate, error) {
	var in struct {
		Index     *int64 `json:"index"`
		Snapshot  bool   `json:"snapshot"`
		Endpoints []struct {
			Name    string  `json:"name"`
			Address string  `json:"address"`
			Zone    string  `json:"zone"`
			Type    string  `json:"type"`
			Group   int     `json:"group"`
			Status  string  `json:"status"`
			Weight  float64 `json:"weight"`
			Since   float64 `json:"since_ms"`
			Image   int     `json:"image_id"`
		} `json:"endpoints"`
	}
	if err := json.Unmarshal(raw, &in); err != nil {
		return engine.EndpointUpdate{}, fmt.Errorf("list: %w", err)
	}
	if in.Index == nil {
		return engine.EndpointUpdate{}, fmt.Errorf("list: no index")
	}
	list := engine.EndpointUpdate{Kind: decision.Delta, Version: *in.Index}
	if in.Snapshot {
		list.Kind = decision.FullSnapshot
	}
	for _, e := range in.Endpoints {
		state, ok := states[e.Status]
		if e.Name == "" || !ok {
			return engine.EndpointUpdate{}, fmt.Errorf("list: entry %q: status %q is not known", e.Name, e.Status)
		}
		list.Endpoints = append(list.Endpoints, engine.Endpoint{Address: e.Address, Endpoint: decision.Endpoint{
			ID: decision.EndpointID(e.Name), Cell: decision.Cell(e.Group), Started: e.Since, Zone: decision.Zone(e.Zone),
			Build: decision.Build(e.Image), MachineType: decision.MachineType(e.Type), State: state, Capacity: e.Weight,
		}})
	}
	return list, nil
}
