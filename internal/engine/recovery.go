package engine

// Restart of the module after a panic.

import (
	"fmt"
	"runtime/debug"

	"github.com/sirupsen/logrus"

	"ottershed/decision"
)

const neverRestarted decision.Millis = -1

// recovery holds what is needed to restart the module.
type recovery struct {
	newModule   func(seed uint64) module
	seed        uint64          // seed of the running module; each restart increments it
	restartedAt decision.Millis // time of the last restart, or neverRestarted

	stage           *decision.StageUpdate     // newest update with a stage; nil before the first
	stageReceivedAt decision.Millis           // time at which stage arrived, by the engine's clock
	settings        *decision.SettingsChanged // newest settings; nil until the settings of the start change
}

// callModule passes an event to the module and returns the module's actions. After a panic of the module it fails the
// open requests and restarts the module, because the panic would otherwise end the process and all its connections.
// Attempts that were sent are not repeated.
func (c *core) callModule(now decision.Millis, event decision.Event) (actions []decision.Action) {
	defer func() {
		if p := recover(); p != nil {
			c.log.WithFields(logrus.Fields{
				"panic": fmt.Sprint(p), "event": eventName(event), "open": len(c.requests.open),
			}).Errorf("module panicked, restarting\n%s", debug.Stack())
			actions = nil
			c.restart(now)
		}
	}()
	return c.module.Handle(now, event)
}

// restart fails all open requests, cancels their attempts, and starts a new module. The module receives the newest
// state, unless the previous restart was at the same time.
func (c *core) restart(now decision.Millis) {
	for id, open := range c.requests.open {
		c.respond(now, open, Result{Kind: Failed})
		for _, running := range open.attempts {
			if !running.ended {
				running.cancel()
			}
		}
		c.requests.removeIfDone(id, open)
	}
	c.timers = nil
	c.followUps = nil
	c.recovery.seed++
	c.module = c.recovery.newModule(c.recovery.seed)
	// A second panic at the same time was caused by the state that the first restart replayed. Replaying that state
	// again would cause panics without end.
	repeated := c.recovery.restartedAt == now
	c.recovery.restartedAt = now
	if !repeated {
		c.replayState(now)
	}
}

// replayState queues the newest settings, endpoint list and stage as events for the module.
func (c *core) replayState(now decision.Millis) {
	if c.recovery.settings != nil {
		c.followUps = append(c.followUps, *c.recovery.settings)
	}
	list := decision.EndpointsChanged{Kind: decision.CachedSnapshot}
	for _, endpoint := range c.endpoints {
		list.Endpoints = append(list.Endpoints, endpoint.Endpoint)
	}
	c.followUps = append(c.followUps, list)
	if c.recovery.stage != nil {
		stage := *c.recovery.stage
		age := stage.Age + now - c.recovery.stageReceivedAt
		stage.Age = age
		stage.IsVoteResult = false
		c.followUps = append(c.followUps, stage)
	}
}
