package decision

import (
	"math"

	"ottershed/internal/stats"
)

// Indices into arrays by build, by zone and by queue.
const (
	baselineSide  = 0
	candidateSide = 1

	homeZone  = 0
	otherZone = 1

	firstAttempts = 0
	retries       = 1
)

// initialLatencyShare times the longest latency objective is the assumed response time before the first
// response.
const initialLatencyShare = 0.25

// Balancer is the decision module of one instance.
type Balancer struct {
	settings     Settings
	random       stats.Random
	now          Millis   // time of the current event
	tickInterval Millis   // time between two ticks
	started      bool     // the first event has been received
	actions      []Action // emitted for the current event

	// The files in which the types of these fields are declared:
	classes    classTable         // classes.go
	endpoints  endpointTable      // endpoints.go
	polling    pollSchedule       // polling.go
	requests   requestTable       // retry.go
	routing    routingState       // routing.go
	crossZone  crossZone          // crosszone.go
	outliers   outliers           // outlier.go
	load       loadLimiter        // concurrency.go
	checks     healthChecks       // healthcheck.go
	exposure   tokenBucket        // exposure.go; shared by all classes
	sticky     stickyKeys         // stickykeys.go
	trial      trial              // trial.go
	thresholds evidenceThresholds // proof.go
	voting     votingState        // vote.go
}

// New returns a balancer that has seen no events. Equal seeds result in equal random draws.
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
	longestObjective := balancer.classes.overall.LatencyObjective
	balancer.tickInterval = math.Inf(1)
	for _, class := range settings.Classes {
		balancer.tickInterval = min(balancer.tickInterval, class.LatencyObjective*tickFraction)
	}
	balancer.tickInterval = max(min(balancer.tickInterval, longestObjective), settings.ClockGranularity, 1)
	balancer.applySettings(settings)
	balancer.routing.lastPlacement = balancer.random.Float64()
	balancer.load = newLoadLimiter(balancer.classes, settings.Tenants, longestObjective*initialLatencyShare)
	return balancer
}

// Handle processes one event and returns the resulting actions in the order in which the caller must carry
// them out. now must not decrease from call to call.
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

// dispatchEvent calls the handler for the type of an event.
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
	case EvidenceAdded:
		b.acquireEvidence(event.Evidence)
	case EvidenceRevoked:
		b.revokeEvidence()
	case ControllerCounts:
		b.addControllerCounts(event)
	case ResponseFlagged:
		b.handleFlag(event)
	}
}

// emit appends an action to the actions of the current event.
func (b *Balancer) emit(action Action) { b.actions = append(b.actions, action) }

// scheduleTick schedules the next tick.
func (b *Balancer) scheduleTick() { b.emit(WakeAt{At: b.now + b.tickInterval}) }

// handleTimer starts attempts of waiting requests, and runs the periodic work if the timer is the tick (token 0).
func (b *Balancer) handleTimer(event TimerFired) {
	b.dispatch()
	if event.Token == 0 {
		b.scheduleTick()
		b.tick()
	}
}

// tick runs the periodic work: it decays observations, accrues slow start credit, adjusts limits and shares,
// polls for the endpoint list, migrates requests from silent endpoints and votes.
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
