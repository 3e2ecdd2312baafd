package decision

// tokenBucket limits the attempts at builds in trial. Each received request adds the exposure cap to the tokens,
// each attempt takes one token, and the bucket carries at most FreeAttempts from one instant to the next. So in
// every time window, the attempts number at most FreeAttempts + cap x received requests. Counting by fixed windows
// would guarantee that only for windows that end at an attempt.
type tokenBucket struct {
	tokens     float64
	refilledAt Millis
}

// exposureTokens returns the tokens for attempts of a request at builds in trial: those of the request's class if
// Settings.ExposurePerClass is set, else those of all classes. At each new instant, tokens above FreeAttempts expire.
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

// buildTrial is the state of a build's trial.
type buildTrial struct {
	active      bool    // the build is not released; its attempts take exposure tokens
	stage       int     // index, from 0
	exposureCap float64 // share of the requests that may go to the build
}

// trialOf returns the state of a build's trial. A build that the rollout controller has not announced yet is
// treated as in its first stage. A build older than the newest one is not in trial.
func (b *Balancer) trialOf(build Build) buildTrial {
	maxCap := 1 - b.settings.WithheldShare
	update := &b.trial.update
	if b.trial.updateReceived && build == update.Build {
		return buildTrial{update.Phase != Released, update.Stage, min(update.ExposureCap, maxCap)}
	}
	return buildTrial{!b.trial.updateReceived || build > update.Build, 0, min(b.settings.ExposureCaps[0], maxCap)}
}

// exposureRefill returns the tokens that one request adds: the lowest exposure cap of the listed builds in trial,
// or 1 if none is in trial.
func (b *Balancer) exposureRefill() float64 {
	lowest := 1.0
	for _, ep := range b.endpoints.ordered {
		if trial := b.trialOf(ep.Build); trial.active {
			lowest = min(lowest, trial.exposureCap)
		}
	}
	return lowest
}
