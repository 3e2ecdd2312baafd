package decision

// RequestClass holds the settings of one class of requests.
type RequestClass struct {
	Name             ClassName
	LatencyObjective Millis // a response is worth its full value until then, above 0
	Idempotency      Idempotency
	RetryScope       RetryScope // for IdempotentWithKey
	// DedupWindow is, for IdempotentWithKey, how long endpoints remember a key, from the first attempt that
	// may have run.
	DedupWindow Millis
}

// Settings are the figures of a deployment, the same for all its instances.
type Settings struct {
	Instances        int // how many share the traffic, 1 or more
	Zone             Zone
	ClockGranularity Millis // the finest step of timers; limits in time are kept with two of them to spare
	Classes          []RequestClass
	Tenants          []TenantID
	PollEndpoints    bool   // the endpoint list is polled through a queue and not pushed
	PollWithin       Millis // with PollEndpoints: a poll is due within this time

	CrossZonePrice   float64 // taken off the value of a request that crosses zones, 0 to 1
	HealthCheckPrice float64 // taken off the value of a request for each health check, 0 to 1

	CancelAllowed       bool   // attempts can be cancelled
	HedgingAllowed      bool   // a request may have two attempts in flight
	HealthChecksAllowed bool   // endpoints can be checked before an attempt
	MaxRetryAfter       Millis // the longest Retry-After; 0: none is given
	MaxAttempts         int    // attempts of one request, the first included

	SlowStartFloor  float64 // capacity of an endpoint that has just started, as a share of its full one
	SlowStartWindow Millis  // an endpoint has its full capacity this long after its start
	OverloadFactor  float64 // a warming endpoint bears this multiple of its capacity ...
	OverloadWindow  Millis  // ... over this time

	Control          Control
	InPlace          bool      // endpoints of the baseline drain as those of the candidate start in their place
	ExposureCaps     []float64 // by stage: the share of requests that may go to a build in trial
	Stages           []float64 // by stage: the share of endpoints that run the candidate
	FreeAttempts     float64   // attempts at a build in trial that are not counted against the cap
	ExposurePerClass bool      // the cap holds for each request class by itself
	GuardedStages    int       // the first so many stages are open to idempotent requests only
	StickyKeys       bool      // a key that the candidate has answered never goes back to the baseline
	FlagShare        float64   // the share of wrong responses that is reported, 0 to 1
	VoteTTL          Millis    // a vote lapses after this time
	VoteWait         Millis    // a vote that was not taken is cast again after this time
	AdvanceQuorum    int       // instances whose votes advance a stage
	RollbackQuorum   int       // instances whose votes roll a build back
	HoldQuorum       int       // instances whose votes hold the clock; 0: unknown, taken as 1
	CountInterval    Millis    // time between the rollout controller's counts; 0: it sends none

	// Set by the operators and not by the deployment:

	WithheldShare float64 // share of requests that no build in trial gets, whatever the cap; 0: none
	Halt          bool    // no vote to advance; a vote to roll back stays possible
}

// tickFraction of the shortest latency objective is the time between two ticks.
const tickFraction = 0.05

// applySettings takes over the settings of a deployment at the start or while it runs. Observations and open
// requests stay; classes, tenants and the clock's granularity stay as they were at the start.
func (b *Balancer) applySettings(settings Settings) {
	b.thresholds = deriveThresholds(settings)
	for _, class := range b.classes.withOverall {
		class.rejectionsNeeded = b.thresholds.rejections
	}
	settings.Classes = b.settings.Classes
	settings.Tenants = b.settings.Tenants
	settings.ClockGranularity = b.settings.ClockGranularity
	b.settings = settings
	// Both are divisors.
	b.settings.SlowStartWindow = max(settings.SlowStartWindow, b.tickInterval)
	b.settings.OverloadWindow = max(settings.OverloadWindow, b.tickInterval)
}
