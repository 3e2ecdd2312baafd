package engine

// Endpoints and their addresses, from the endpoint list.

import (
	"github.com/sirupsen/logrus"

	"ottershed/decision"
)

// handleEndpoints applies an update and passes it to the module. A full or cached snapshot also removes the endpoints
// that it does not list.
func (c *core) handleEndpoints(now decision.Millis, update EndpointUpdate) {
	c.log.WithFields(logrus.Fields{
		"how": update.Kind, "index": update.Version, "entries": len(update.Endpoints),
	}).Debug("endpoint list received")
	event := decision.EndpointsChanged{Kind: update.Kind, Version: update.Version, PollDuration: update.PollDuration}
	listed := map[decision.EndpointID]bool{}
	for _, endpoint := range update.Endpoints {
		event.Endpoints = append(event.Endpoints, endpoint.Endpoint)
		listed[endpoint.ID] = true
		c.setEndpoint(endpoint)
	}
	if update.Kind == decision.FullSnapshot || update.Kind == decision.CachedSnapshot {
		for id := range c.endpoints {
			if !listed[id] {
				c.removeEndpoint(id)
			}
		}
	}
	c.dispatch(now, event)
}

// setEndpoint applies one entry of the endpoint list.
func (c *core) setEndpoint(endpoint Endpoint) {
	if endpoint.State == decision.Removed {
		c.removeEndpoint(endpoint.ID)
		return
	}
	if endpoint.State == decision.Draining {
		endpoint.Address = "" // prevents new attempts
	}
	// Another start time or build means a new process, possibly at the same address. On an idle connection to the old
	// process, the next attempt would be reset or never get a response.
	previous := c.endpoints[endpoint.ID]
	if previous.Address != endpoint.Address || previous.StartedAt != endpoint.StartedAt || previous.Build != endpoint.Build {
		c.upstream.SetAddress(endpoint.ID, endpoint.Address)
	}
	c.endpoints[endpoint.ID] = endpoint
}

// removeEndpoint removes an endpoint and reports it as unreachable to the upstream. It ignores an unknown endpoint.
func (c *core) removeEndpoint(id decision.EndpointID) {
	if _, exists := c.endpoints[id]; !exists {
		return
	}
	delete(c.endpoints, id)
	c.upstream.SetAddress(id, "")
}

// cancelUnsentForBuild cancels unsent attempts to the endpoints of a build that have an address. A lower exposure cap
// applies after a grace period. Where connecting takes longer than that, attempts that the earlier cap allowed would
// exceed the new one.
func (c *core) cancelUnsentForBuild(build decision.Build) {
	for id, endpoint := range c.endpoints {
		if endpoint.Build == build && endpoint.Address != "" {
			c.upstream.CancelUnsent(id)
		}
	}
}
