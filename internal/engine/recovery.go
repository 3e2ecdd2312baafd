package engine

// Restart of the module after a panic.

import (
	"fmt"
	"runtime/debug"

	"github.com/sirupsen/logrus"

	"ottershed/decision"
)

const neverRestarted decision.Millis = -1

// recovery is what a restart of the module needs.
type recovery struct {
	start       func(seed uint64) module
	seed        uint64          // of the module that runs; each restart takes the next one
	restartedAt decision.Millis // neverRestarted: it has not been

	stage           *decision.StageUpdate // the newest; nil: none
	stageReceivedAt decision.Millis
	settings        *decision.SettingsChanged // the newest; nil: those of the start
}

// callModule hands the module an event. A panic there fails the open requests and restarts the module; without
// this it would end the process with all connections. Attempts that were sent are not repeated.
func (c *core) callModule(now decision.Millis, event decision.Event) (actions []decision.Action) {
	defer func() {
		if p := recover(); p != nil {
			c.log.WithFields(logrus.Fields{
				"panic": fmt.Sprint(p), "event": eventName(event), "open": len(c.requests.open),
			}).Errorf("module panicked, starts anew\n%s", debug.Stack())
			actions = nil
			c.restart(now)
		}
	}()
	return c.module.Handle(now, event)
}

// restart fails all open requests, cancels their attempts and starts the module with the newest state.
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
	c.module = c.recovery.start(c.recovery.seed)
	// A second panic at the same moment is one at the state that the first restart has replayed: replayed again, it
	// would repeat without end.
	repeated := c.recovery.restartedAt == now
	c.recovery.restartedAt = now
	if !repeated {
		c.replayState(now)
	}
}

// replayState queues the newest settings, endpoint list and stage for the module.
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
