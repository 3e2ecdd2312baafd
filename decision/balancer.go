package decision

import (
	"math"

	"ottershed/internal/stats"
)

// Indices into pairs that are kept by build, by zone or by kind of queue.
const (
	baselineSide  = 0
	candidateSide = 1

	homeZone  = 0
	otherZone = 1

	firstAttempts = 0
	retries       = 1
)

// initialLatencyShare of the longest latency objective is taken for the response time until responses are
// seen.
const initialLatencyShare = 0.25

// Balancer is the decision module of one instance. Each field but the first ones is the state of one concern
// and is declared in the file that works on it.
type Balancer struct {
	settings     Settings
	random       stats.Random
	now          Millis // of the event being handled
	tickInterval Millis
	started      bool     // an event has been handled
	actions      []Action // of the event being handled

	classes   classTable    // classes.go
	endpoints endpointTable // endpoints.go
	polling   pollSchedule  // polling.go
	requests  requestTable  // retry.go
	routing   routingState  // routing.go
	crossZone crossZone     // crosszone.go
	outliers  outliers      // outlier.go
	load      loadLimiter   // concurrency.go
	checks    healthChecks  // healthcheck.go
	exposure  tokenBucket   // exposure.go: over all classes
	sticky    stickyKeys    // stickykeys.go
	trial     trial         // trial.go
	proof     proof         // proof.go
	ballot    ballot        // vote.go
}

// New returns a balancer that knows nothing but its settings. Equal seeds give equal random draws.
func New(settings Settings, seed uint64) *Balancer {
	balancer := &Balancer{
		settings:  settings,
		random:    stats.Random{Seed: seed},
		classes:   newClassTable(settings),
		endpoints: newEndpointTable(),
		requests:  requestTable{open: map[RequestID]*request{}},
		outliers:  outliers{lastFaultAt: math.Inf(-1)},
		exposure:  tokenBucket{tokens: settings.FreeAttempts},
		sticky:    stickyKeys{hashes: map[uint16]bool{}},
	}
	longest := balancer.classes.overall.LatencyObjective
	balancer.tickInterval = math.Inf(1)
	for _, class := range settings.Classes {
		balancer.tickInterval = min(balancer.tickInterval, class.LatencyObjective*tickFraction)
	}
	balancer.tickInterval = max(min(balancer.tickInterval, longest), settings.ClockGranularity, 1)
	balancer.applySettings(settings)
	balancer.routing.turn = balancer.random.Next()
	balancer.load = newLoadLimiter(balancer.classes, longest*initialLatencyShare)
	return balancer
}

// Handle takes one event and returns the actions that follow from it, in the order in which they are to be
// carried out. now never decreases from call to call.
func (b *Balancer) Handle(now Millis, event Event) []Action {
	b.now, b.actions = now, nil
	if !b.started {
		b.started = true
		b.scheduleTick()
		b.scheduleFirstPoll()
	}
	b.dispatchEvent(event)
	return b.actions
}

// dispatchEvent calls the one method for a kind of event.
func (b *Balancer) dispatchEvent(event Event) {
	switch event := event.(type) {
	case EndpointsChanged:
		b.handleEndpoints(event)
	case RequestReceived:
		b.handleRequest(event)
	case ResponseStarted:
		b.handleResponseStart(event)
	case AttemptEnded:
		b.handleAttemptEnd(event)
	case ClientDisconnected:
		b.handleClientDisconnect(event)
	case TimerFired:
		b.handleTimer(event)
	case HealthCheckEnded:
		b.handleHealthCheck(event)
	case StageUpdate:
		b.handleStageUpdate(event)
	case SettingsChanged:
		b.applySettings(event.Settings)
	case EvidenceAcquired:
		b.acquireEvidence(event.Evidence)
	case EvidenceRevoked:
		b.revokeEvidence()
	case ControllerCounts:
		b.addControllerCounts(event)
	case ResponseFlagged:
		b.handleFlag(event)
	}
}

// emit appends an action to those of the event being handled.
func (b *Balancer) emit(action Action) { b.actions = append(b.actions, action) }

// scheduleTick asks for the next tick.
func (b *Balancer) scheduleTick() { b.emit(WakeAt{At: b.now + b.tickInterval}) }

// handleTimer serves the waiting requests, and does the periodic work if the timer is the tick's.
func (b *Balancer) handleTimer(event TimerFired) {
	b.dispatch()
	if event.Token == 0 {
		b.scheduleTick()
		b.tick()
	}
}

// tick does the periodic work: it ages what was observed, accrues credit, adjusts limits and shares, polls,
// moves requests off silent endpoints and votes.
func (b *Balancer) tick() {
	b.load.unresponsive = 0
	b.decaySlowShares()
	var capacity capacitySum
	for _, ep := range b.endpoints.ordered {
		b.countUnresponsive(ep)
		b.decayObservations(ep)
		b.ejectSilent(ep)
		b.accrueSlowStartCredit(ep)
		b.addCapacity(&capacity, ep)
	}
	b.noteCapacityLoss(capacity)
	b.updateCrossZoneShare(capacity)
	b.updateServiceRate(capacity)
	b.trial.arrivalRate *= 1 - b.tickInterval/b.settings.SlowStartWindow
	b.relaxTotalLimit()
	b.updateCandidateShare(capacity)
	b.pollIfDue()
	b.migrateFromSilent()
	b.dispatch()
	b.castVote()
}
