package engine

// Messages in the queue, and their handlers.

import (
	"github.com/sirupsen/logrus"

	"ottershed/decision"
)

// message is what reaches the event loop through the queue. Each concrete type is one kind, with one handler.
type message interface{ message() }

type (
	requestReceived    struct{ request *ClientRequest }
	clientDisconnected struct{ request *ClientRequest }
	attemptEnded       struct {
		id      decision.RequestID
		attempt int // index, from 0
		result  AttemptResult
	}
	endpointsReceived struct{ update EndpointUpdate }
	eventReceived     struct{ event decision.Event }

	// The reply channels have a buffer of one, so that the event loop doesn't block.
	evidenceRequested struct{ reply chan<- *decision.Evidence }
	statsRequested    struct{ reply chan<- Stats }
)

func (requestReceived) message()    {}
func (clientDisconnected) message() {}
func (attemptEnded) message()       {}
func (endpointsReceived) message()  {}
func (eventReceived) message()      {}
func (evidenceRequested) message()  {}
func (statsRequested) message()     {}

// handle takes one message.
func (c *core) handle(now decision.Millis, msg message) {
	switch msg := msg.(type) {
	case requestReceived:
		c.handleRequest(now, msg.request)
	case clientDisconnected:
		c.handleDisconnect(now, msg.request)
	case attemptEnded:
		c.handleAttemptEnd(now, msg)
	case endpointsReceived:
		c.handleEndpoints(now, msg.update)
	case eventReceived:
		c.handleEvent(now, msg.event)
	case evidenceRequested:
		msg.reply <- c.evidence()
	case statsRequested:
		msg.reply <- c.currentStats()
	}
}

// handleEvent keeps what the module needs again after a restart, and hands it the event.
func (c *core) handleEvent(now decision.Millis, event decision.Event) {
	switch event := event.(type) {
	case decision.StageUpdate:
		c.noteStageUpdate(now, event)
	case decision.SettingsChanged:
		c.recovery.settings = &event
	}
	c.dispatch(now, event)
}

func (c *core) noteStageUpdate(now decision.Millis, update decision.StageUpdate) {
	c.log.WithFields(logrus.Fields{
		"build": update.Build, "stage": update.Stage, "phase": update.Phase, "cap": update.ExposureCap,
		"age_ms": update.Age, "to_vote": update.IsVoteResult, "fate": update.VoteResult,
	}).Debug("stage update")
	if update.VoteResult != decision.VoteAccepted {
		return
	}
	before := c.recovery.stage
	c.recovery.stage = &update
	c.recovery.stageReceivedAt = now
	if before != nil && update.Build == before.Build && update.ExposureCap < before.ExposureCap {
		c.cancelUnsentForBuild(update.Build)
	}
}

// evidenceSource is a module that hands over what it has observed. The decision module is one; those of tests need not be.
type evidenceSource interface {
	Evidence() (decision.Evidence, bool)
}

var _ evidenceSource = (*decision.Balancer)(nil)

// evidence returns what the module has observed of the candidate; nil if there is none.
func (c *core) evidence() *decision.Evidence {
	source, ok := c.module.(evidenceSource)
	if !ok {
		return nil
	}
	evidence, ok := source.Evidence()
	if !ok {
		return nil
	}
	return &evidence
}

// dispatch hands the module an event, carries out what it returns, and goes on with the events that this caused.
func (c *core) dispatch(now decision.Millis, event decision.Event) {
	for {
		c.perform(now, c.callModule(now, event))
		if len(c.followUps) == 0 {
			return
		}
		event, c.followUps = c.followUps[0], c.followUps[1:]
	}
}
