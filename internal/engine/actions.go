package engine

// Execution of the module's actions.

import (
	"container/heap"

	"github.com/sirupsen/logrus"

	"ottershed/decision"
)

// perform carries out the module's actions in order.
func (c *core) perform(now decision.Millis, actions []decision.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case decision.StartAttempt:
			c.startAttempt(now, action)
		case decision.Reject:
			c.finish(now, action.Request, Result{Kind: Rejected, RetryAfter: action.RetryAfter})
		case decision.Fail:
			c.finish(now, action.Request, Result{Kind: Failed})
		case decision.Cancel:
			c.cancelAttempt(action)
		case decision.WakeAt:
			heap.Push(&c.timers, timer{action.At, action.Token})
		case decision.CloseIdleConnections:
			c.upstream.CloseIdleConnections(action.Endpoint)
		case decision.Vote:
			c.castVote(action)
		case decision.RequestSnapshot:
			c.discovery.RequestSnapshot()
		case decision.WatchEndpoints:
			c.discovery.ResumeWatch()
		case decision.Log:
			c.log.Info(action.Text)
		case decision.StartHealthCheck:
			c.reportHealthCheckNotSent(action)
		case decision.SendToPeer: // not carried out: the platform's protocol has no messages between instances
		}
	}
}

func (c *core) castVote(vote decision.Vote) {
	c.stats.counters.Votes++
	c.log.WithFields(logrus.Fields{"build": vote.Build, "stage": vote.Stage, "verdict": vote.Verdict}).Debug("vote cast")
	c.controller.Vote(vote)
}

// reportHealthCheckNotSent reports to the module that a health check was not sent, because the platform's protocol has
// no health checks.
func (c *core) reportHealthCheckNotSent(check decision.StartHealthCheck) {
	c.stats.counters.HealthChecks++
	c.followUps = append(c.followUps, decision.HealthCheckEnded{Endpoint: check.Endpoint, Outcome: decision.NotSent})
}
