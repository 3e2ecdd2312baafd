package engine

// Addresses of the endpoints, as the endpoint list has them.

import (
	"github.com/sirupsen/logrus"

	"ottershed/decision"
)

func (c *core) handleEndpoints(now decision.Millis, update EndpointUpdate) {
	c.log.WithFields(logrus.Fields{
		"how": update.Kind, "index": update.Version, "entries": len(update.Endpoints),
	}).Debug("endpoint list")
	event := decision.EndpointsChanged{Kind: update.Kind, Version: update.Version}
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

// setEndpoint takes one entry of the endpoint list.
func (c *core) setEndpoint(endpoint Endpoint) {
	if endpoint.State == decision.Removed {
		c.removeEndpoint(endpoint.ID)
		return
	}
	if endpoint.State == decision.Draining {
		endpoint.Address = "" // no new attempts
	}
	// Another start or build is another process at the same address: idle connections to the earlier one are reset
	// on the next attempt, or never answered.
	before := c.endpoints[endpoint.ID]
	if before.Address != endpoint.Address || before.Started != endpoint.Started || before.Build != endpoint.Build {
		c.upstream.SetAddress(endpoint.ID, endpoint.Address)
	}
	c.endpoints[endpoint.ID] = endpoint
}

func (c *core) removeEndpoint(id decision.EndpointID) {
	if _, known := c.endpoints[id]; !known {
		return
	}
	delete(c.endpoints, id)
	c.upstream.SetAddress(id, "")
}

// cancelUnsentForBuild ends attempts to a build that are not yet sent. A lower exposure limit applies after a grace
// period; where connecting takes longer than that, attempts that the earlier limit allowed would exceed it.
func (c *core) cancelUnsentForBuild(build decision.Build) {
	for id, endpoint := range c.endpoints {
		if endpoint.Build == build && endpoint.Address != "" {
			c.upstream.CancelUnsent(id)
		}
	}
}
