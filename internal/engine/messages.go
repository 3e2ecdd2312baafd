package engine

// Messages in the queue and their handlers.

import (
	"github.com/sirupsen/logrus"

	"ottershed/decision"
)

// message is a message in the queue to the event loop. Each kind of message is a type with one handler.
type message interface{ message() }

type (
	requestReceived    struct{ request *ClientRequest }
	clientDisconnected struct{ request *ClientRequest }
	attemptEnded       struct {
		id      decision.RequestID
		attempt int // index in openRequest.attempts
		result  AttemptResult
	}
	endpointsReceived struct{ update EndpointUpdate }
	eventReceived     struct{ event decision.Event }

	// Reply channels have a buffer of one, so that the event loop doesn't block when the caller has stopped waiting.
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

// handle processes one message.
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

// handleEvent saves the stage and the settings for a restart of the module, and passes the event to the module.
func (c *core) handleEvent(now decision.Millis, event decision.Event) {
	switch event := event.(type) {
	case decision.StageUpdate:
		c.recordStageUpdate(now, event)
	case decision.SettingsChanged:
		c.recovery.settings = &event
	}
	c.dispatch(now, event)
}

// recordStageUpdate logs a stage update and saves the stage for a restart of the module. The result of a vote that was
// not accepted has no stage. If the exposure cap of the same build has decreased, recordStageUpdate cancels the unsent
// attempts to that build.
func (c *core) recordStageUpdate(now decision.Millis, update decision.StageUpdate) {
	c.log.WithFields(logrus.Fields{
		"build": update.Build, "stage": update.Stage, "phase": update.Phase, "cap": update.ExposureCap,
		"age_ms": update.Age, "to_vote": update.IsVoteResult, "fate": update.VoteResult,
	}).Debug("stage update received")
	if update.VoteResult != decision.VoteAccepted {
		return
	}
	previous := c.recovery.stage
	c.recovery.stage = &update
	c.recovery.stageReceivedAt = now
	if previous != nil && update.Build == previous.Build && update.ExposureCap < previous.ExposureCap {
		c.cancelUnsentForBuild(update.Build)
	}
}

// evidenceSource is a module that returns its observations of the candidate. The decision module implements it; modules
// of tests need not.
type evidenceSource interface {
	Evidence() (decision.Evidence, bool)
}

var _ evidenceSource = (*decision.Balancer)(nil)

// evidence returns what the module has observed of the candidate, or nil without a candidate.
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

// dispatch passes an event to the module and carries out the returned actions, then does the same with each event that
// these actions caused.
func (c *core) dispatch(now decision.Millis, event decision.Event) {
	for {
		c.perform(now, c.callModule(now, event))
		if len(c.followUps) == 0 {
			return
		}
		event, c.followUps = c.followUps[0], c.followUps[1:]
	}
}
