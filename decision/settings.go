package decision

// RequestClass holds the settings of one class of requests.
type RequestClass struct {
	Name             ClassName
	LatencyObjective Millis // response time up to which a response has its full value, above 0
	Idempotency      Idempotency
	RetryScope       RetryScope // for IdempotentWithKey
	// DedupWindow is the time for which endpoints remember an idempotency key, from the first attempt that may
	// have run. For IdempotentWithKey.
	DedupWindow Millis
}

// Settings holds the settings of a deployment. All instances have the same settings except Zone.
type Settings struct {
	Instances        int    // number of instances that share the traffic, 1 or more
	Zone             Zone   // zone in which this instance runs
	ClockGranularity Millis // smallest step of timers; time limits are kept with a margin of two steps
	Classes          []RequestClass
	Tenants          []TenantID // if not empty, only requests of these tenants reach the balancer
	PollEndpoints    bool       // the endpoint list is polled through a queue instead of being pushed
	MaxPollInterval  Millis     // with PollEndpoints: maximum time from a rejected poll to the next; 0: MaxNotificationDelay
	// MaxNotificationDelay is the time after which a change of a polled list counts as notified, from the moment that the
	// service has it and can be reached, whatever became of earlier polls; 0: MaxPollInterval alone limits the polls.
	MaxNotificationDelay Millis

	CrossZonePrice   float64 // cost of sending a request to another zone, as a share of its value, 0 to 1
	HealthCheckPrice float64 // cost of a health check, as a share of the value of a request, 0 to 1

	CancelAllowed       bool   // attempts can be cancelled
	HedgingAllowed      bool   // a request may have two attempts in flight
	HealthChecksAllowed bool   // endpoints can be checked before an attempt
	MaxRetryAfter       Millis // maximum Retry-After; 0: no Retry-After is sent
	MaxAttempts         int    // attempts per request, including the first

	SlowStartFloor  float64 // capacity of an endpoint at its start, as a share of its full capacity
	SlowStartWindow Millis  // time from an endpoint's start to its full capacity
	OverloadFactor  float64 // multiple of its current capacity that a warming endpoint can serve for OverloadWindow
	OverloadWindow  Millis  // time for which a warming endpoint can serve OverloadFactor times its capacity

	Control      Control   // whether votes or a clock advance the stages
	InPlace      bool      // endpoints of the candidate replace those of the baseline, which drain
	ExposureCaps []float64 // share of requests that may go to a build in trial, by stage
	StageShares  []float64 // share of endpoints that run the candidate, by stage
	// FreeAttempts is the number of attempts at builds in trial that are allowed beyond the exposure cap in any time window.
	FreeAttempts     float64
	ExposurePerClass bool    // the exposure cap applies to each request class separately
	GuardedStages    int     // number of first stages in which the candidate gets only idempotent requests
	StickyKeys       bool    // a key that the candidate has responded to does not go back to the baseline
	FlagShare        float64 // share of wrong responses that clients report, 0 to 1
	VoteTTL          Millis  // time to live of a vote
	VoteRetryWait    Millis  // maximum time after which a vote that was not accepted is cast again
	AdvanceQuorum    int     // number of votes that advance a stage
	RollbackQuorum   int     // number of votes that roll a build back
	HoldQuorum       int     // number of votes that hold the clock; 0: unknown, treated as 1
	CountInterval    Millis  // interval of the rollout controller's counts; 0: it sends none

	// Settings of the operators:

	WithheldShare float64 // the exposure cap is at most 1 minus this share; 0: no effect
	Halt          bool    // the instance votes to hold with ByClock, never to advance, and may still vote to roll back
}

// tickFraction times the shortest latency objective is the tick interval, unless that is below the clock granularity
// or 1 ms.
const tickFraction = 0.05

// applySettings applies the settings of a deployment at the start or later. It keeps observations and open
// requests, and also the classes, tenants and clock granularity from the start.
func (b *Balancer) applySettings(settings Settings) {
	b.thresholds = deriveThresholds(settings)
	for _, class := range b.classes.withOverall {
		class.rejectionsNeeded = b.thresholds.rejections
	}
	settings.Classes = b.settings.Classes
	settings.Tenants = b.settings.Tenants
	settings.ClockGranularity = b.settings.ClockGranularity
	b.settings = settings
	// Both windows are divisors, so they must be above 0.
	b.settings.SlowStartWindow = max(settings.SlowStartWindow, b.tickInterval)
	b.settings.OverloadWindow = max(settings.OverloadWindow, b.tickInterval)
}
