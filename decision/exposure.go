package decision

// tokenBucket holds the attempts that builds in trial may still get. Each request received adds the exposure
// cap to it, and from one instant to the next it holds FreeAttempts at most. So in every window of time,
// wherever it ends, attempts number at most FreeAttempts + cap x requests received. Counting by fixed windows
// would hold only for windows that end at an attempt.
type tokenBucket struct {
	tokens     float64
	refilledAt Millis
}

// exposureTokens is the balance that attempts of a request at builds in trial are taken from.
func (b *Balancer) exposureTokens(req *request) *float64 {
	bucket := &b.exposure
	if b.settings.ExposurePerClass {
		bucket = &req.exposure
	}
	if b.now > bucket.refilledAt {
		bucket.tokens = min(bucket.tokens, b.settings.FreeAttempts)
		bucket.refilledAt = b.now
	}
	return &bucket.tokens
}

// buildTrial is the trial that a build is in, if any.
type buildTrial struct {
	active      bool
	stage       int
	exposureCap float64 // share of the requests that may go to the build
}

// trialOf returns the trial of a build. A build that the controller has not spoken of yet is taken to be in
// its first stage.
func (b *Balancer) trialOf(build Build) buildTrial {
	highest := 1 - b.settings.WithheldShare
	update := &b.trial.update
	if b.trial.known && build == update.Build {
		return buildTrial{update.Phase != Released, update.Stage, min(update.ExposureCap, highest)}
	}
	return buildTrial{!b.trial.known || build > update.Build, 0, min(b.settings.ExposureCaps[0], highest)}
}

// exposureRefill is what one request adds to the balance: the lowest cap of the listed builds that are in
// trial.
func (b *Balancer) exposureRefill() float64 {
	lowest := 1.0
	for _, ep := range b.endpoints.ordered {
		if trial := b.trialOf(ep.Build); trial.active {
			lowest = min(lowest, trial.exposureCap)
		}
	}
	return lowest
}
