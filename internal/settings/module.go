package settings

import (
	"fmt"

	"ottershed/decision"
)

// idempotencies are the values of services[].idempotency.
var idempotencies = map[string]decision.Idempotency{
	"safe": decision.Idempotent, "keyed": decision.IdempotentWithKey, "unsafe": decision.NonIdempotent,
}

// retryScopes are the values of services[].group.
var retryScopes = map[string]decision.RetryScope{
	"all": decision.ScopeAll, "zone": decision.ScopeZone, "cell": decision.ScopeCell,
}

// ForModule reads the settings of the decision module; the error is a FieldError.
func ForModule(texts map[string]string) (decision.Settings, error) {
	return forModule(&values{texts: texts})
}

func forModule(vals *values) (decision.Settings, error) {
	set := decision.Settings{
		Instances:           vals.count("n-instances", 1, maxCount),
		Zone:                decision.Zone(vals.text("zone")),
		ClockGranularity:    vals.optional("granularity-ms"),
		PollEndpoints:       vals.text("discovery") == "ask",
		PollWithin:          vals.optional("rules.ask-within-ms"),
		CrossZonePrice:      vals.optional("charges.cross-zone"),
		HealthCheckPrice:    vals.optional("charges.probe"),
		HealthChecksAllowed: vals.flag("limits.probing"),
		CancelAllowed:       vals.flag("limits.cancel"),
		HedgingAllowed:      vals.flag("limits.second-copies"),
		MaxAttempts:         vals.count("limits.most-tries", 1, maxCount),
		SlowStartFloor:      vals.required("rules.cold-from", 0, 1),
		SlowStartWindow:     vals.required("rules.warm-after-ms", 0, maxNumber),
		OverloadFactor:      vals.required("rules.overload-factor", 0, maxNumber),
		OverloadWindow:      vals.required("rules.overload-for-ms", 0, maxNumber),
		InPlace:             vals.text("domain.swap") == "rolling",
		ExposureCaps:        vals.shares("domain.caps"),
		Stages:              vals.shares("domain.waves"),
		FreeAttempts:        vals.required("domain.uncounted", 0, maxNumber),
		ExposurePerClass:    vals.text("domain.per") == "per_lane",
		GuardedStages:       vals.count("domain.guarded-stages", 0, maxCount),
		StickyKeys:          vals.text("domain.keys-stay") != "false",
		FlagShare:           vals.optional("domain.reported-share"),
		VoteTTL:             vals.optional("domain.vote-ttl-ms"),
		VoteWait:            vals.optional("domain.vote-wait-ms"),
		AdvanceQuorum:       int(vals.optional("domain.on-votes")),
		RollbackQuorum:      int(vals.optional("domain.votes-to-revert")),
		HoldQuorum:          int(vals.optional("domain.to-pause")),
		CountInterval:       vals.optional("domain.tally-every-ms"),
	}
	if vals.flag("limits.retry-after") {
		set.MaxRetryAfter = vals.optional("limits.max-retry-after-ms")
	}
	if vals.text("domain.vote-mode") == "clocked" {
		set.Control = decision.ByClock
	}
	if len(set.ExposureCaps) != len(set.Stages) {
		vals.fail("domain.caps", reasonLengthsDiffer)
	}
	set.Classes = vals.classes()
	set.Tenants = vals.tenants()
	return set, vals.err
}

// classes reads the request classes.
func (vals *values) classes() (classes []decision.RequestClass) {
	taken := map[string]bool{}
	for i := range vals.count("services.count", 0, maxClasses) {
		classes = append(classes, vals.class(fmt.Sprintf("services.%d.", i), taken))
	}
	return classes
}

// class reads the request class whose settings begin so; taken holds the names of those before it.
func (vals *values) class(prefix string, taken map[string]bool) decision.RequestClass {
	idempotency, ok := idempotencies[vals.text(prefix+"idempotency")]
	if !ok {
		vals.fail(prefix+"idempotency", reasonUnknownName)
	}
	keyed := idempotency == decision.IdempotentWithKey
	scope, ok := retryScopes[vals.text(prefix+"group")]
	if !ok && keyed {
		vals.fail(prefix+"group", reasonUnknownName)
	}
	class := decision.RequestClass{
		Name:             decision.ClassName(vals.name(prefix+"name", taken)),
		LatencyObjective: vals.required(prefix+"aim-ms", 0, maxNumber),
		Idempotency:      idempotency,
		RetryScope:       scope,
	}
	if keyed {
		class.DedupWindow = vals.required(prefix+"window-ms", 0, maxNumber)
	}
	return class
}

// tenants reads the names of the tenants; absent, there are none.
func (vals *values) tenants() (tenants []decision.TenantID) {
	if _, ok := vals.get("tenants.count"); !ok {
		return nil
	}
	for i := range vals.count("tenants.count", 0, maxCount) {
		tenants = append(tenants, decision.TenantID(vals.text(fmt.Sprintf("tenants.%d.name", i))))
	}
	return tenants
}
