package settings

import (
	"fmt"

	"ottershed/decision"
)

// idempotencyByName has the values of services[].idempotency.
var idempotencyByName = map[string]decision.Idempotency{
	"safe": decision.Idempotent, "keyed": decision.IdempotentWithKey, "unsafe": decision.NonIdempotent,
}

// retryScopeByName has the values of services[].group.
var retryScopeByName = map[string]decision.RetryScope{
	"all": decision.ScopeAll, "zone": decision.ScopeZone, "cell": decision.ScopeCell,
}

// ForDecisionModule returns the settings of the decision module from a map of names and texts. The error is a
// FieldError.
func ForDecisionModule(texts map[string]string) (decision.Settings, error) {
	return decisionSettings(&settingReader{texts: texts})
}

// decisionSettings reads the settings of the decision module, and returns the first error of reader. MaxRetryAfter stays 0
// unless limits.retry-after is on.
func decisionSettings(reader *settingReader) (decision.Settings, error) {
	settings := decision.Settings{
		Instances:           reader.count("n-instances", 1, maxCount),
		Zone:                decision.Zone(reader.text("zone")),
		ClockGranularity:    reader.optionalNumber("granularity-ms"),
		PollEndpoints:       reader.text("discovery") == "ask",
		MaxPollInterval:     reader.optionalNumber("rules.ask-within-ms"),
		CrossZonePrice:      reader.optionalNumber("charges.cross-zone"),
		HealthCheckPrice:    reader.optionalNumber("charges.probe"),
		HealthChecksAllowed: reader.flag("limits.probing"),
		CancelAllowed:       reader.flag("limits.cancel"),
		HedgingAllowed:      reader.flag("limits.second-copies"),
		MaxAttempts:         reader.count("limits.most-tries", 1, maxCount),
		SlowStartFloor:      reader.requiredNumber("rules.cold-from", 0, 1),
		SlowStartWindow:     reader.requiredNumber("rules.warm-after-ms", 0, maxNumber),
		OverloadFactor:      reader.requiredNumber("rules.overload-factor", 0, maxNumber),
		OverloadWindow:      reader.requiredNumber("rules.overload-for-ms", 0, maxNumber),
		InPlace:             reader.text("domain.swap") == "rolling",
		ExposureCaps:        reader.fractions("domain.caps"),
		StageShares:         reader.fractions("domain.waves"),
		FreeAttempts:        reader.requiredNumber("domain.uncounted", 0, maxNumber),
		ExposurePerClass:    reader.text("domain.per") == "per_lane",
		GuardedStages:       reader.count("domain.guarded-stages", 0, maxCount),
		StickyKeys:          reader.text("domain.keys-stay") != "false",
		FlagShare:           reader.optionalNumber("domain.reported-share"),
		VoteTTL:             reader.optionalNumber("domain.vote-ttl-ms"),
		VoteRetryWait:       reader.optionalNumber("domain.vote-wait-ms"),
		AdvanceQuorum:       int(reader.optionalNumber("domain.on-votes")),
		RollbackQuorum:      int(reader.optionalNumber("domain.votes-to-revert")),
		HoldQuorum:          int(reader.optionalNumber("domain.to-pause")),
		CountInterval:       reader.optionalNumber("domain.tally-every-ms"),
	}
	if reader.flag("limits.retry-after") {
		settings.MaxRetryAfter = reader.optionalNumber("limits.max-retry-after-ms")
	}
	if reader.text("domain.vote-mode") == "clocked" {
		settings.Control = decision.ByClock
	}
	if len(settings.ExposureCaps) != len(settings.StageShares) {
		reader.recordError("domain.caps", reasonLengthsDiffer)
	}
	settings.Classes = reader.classes()
	settings.Tenants = reader.tenants()
	return settings, reader.err
}

// classes reads all request classes.
func (reader *settingReader) classes() (classes []decision.RequestClass) {
	usedNames := map[string]bool{}
	for i := range reader.count("services.count", 0, maxClasses) {
		classes = append(classes, reader.class(fmt.Sprintf("services.%d.", i), usedNames))
	}
	return classes
}

// class reads the request class whose settings begin with prefix. usedNames holds the names of the classes before it, and
// class adds the name that it reads. The settings group and window-ms are required if idempotency is keyed; window-ms is
// not read otherwise.
func (reader *settingReader) class(prefix string, usedNames map[string]bool) decision.RequestClass {
	idempotency, ok := idempotencyByName[reader.text(prefix+"idempotency")]
	if !ok {
		reader.recordError(prefix+"idempotency", reasonUnknownName)
	}
	isKeyed := idempotency == decision.IdempotentWithKey
	scope, ok := retryScopeByName[reader.text(prefix+"group")]
	if !ok && isKeyed {
		reader.recordError(prefix+"group", reasonUnknownName)
	}
	class := decision.RequestClass{
		Name:             decision.ClassName(reader.uniqueName(prefix+"name", usedNames)),
		LatencyObjective: reader.requiredNumber(prefix+"aim-ms", 0, maxNumber),
		Idempotency:      idempotency,
		RetryScope:       scope,
	}
	if isKeyed {
		class.DedupWindow = reader.requiredNumber(prefix+"window-ms", 0, maxNumber)
	}
	return class
}

// tenants reads the names of the tenants. If tenants.count is absent, there are none.
func (reader *settingReader) tenants() (tenants []decision.TenantID) {
	if _, ok := reader.lookup("tenants.count"); !ok {
		return nil
	}
	for i := range reader.count("tenants.count", 0, maxCount) {
		tenants = append(tenants, decision.TenantID(reader.text(fmt.Sprintf("tenants.%d.name", i))))
	}
	return tenants
}
