// Package settings reads the figures handed to a marshal at its start by their names, from the simulator's
// wire and from the configuration's JSON alike.
package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"ottershed/decision"
	"slices"
	"strconv"
	"strings"
)

// pairs holds the path=value settings of an instance; the first one missing or absurd stays in err.
type values struct {
	texts     map[string]string
	err       error
	requested map[string]bool // keys that were asked for; nil: not noted
}

// get is a key's text.
func (vals *values) get(key string) (string, bool) {
	if vals.requested != nil {
		vals.requested[key] = true
	}
	s, ok := vals.texts[key]
	return s, ok
}

func (vals *values) text(key string) string {
	s, _ := vals.get(key)
	return s
}

// name reads a path group's name, which no other has.
func (vals *values) name(key string, taken map[string]bool) string {
	s := vals.text(key)
	switch {
	case s == "":
		vals.fail(key, "missing")
	case taken[s]:
		vals.fail(key, fmt.Sprintf("%q is another's too", s))
	}
	taken[s] = true
	return s
}

func (vals *values) fail(key, why string) {
	if vals.err == nil {
		vals.err = fmt.Errorf("settings.%s: %s", key, why)
	}
}

func (vals *values) required(key string, low, high float64) float64 {
	s, ok := vals.get(key)
	if !ok {
		vals.fail(key, "missing")
		return low
	}
	return vals.number(key, s, low, high)
}

func (vals *values) number(key, s string, low, high float64) float64 {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || v < low || v > high {
		vals.fail(key, fmt.Sprintf("want a number %s, got %q", rangeText(low, high), s))
		return low
	}
	return v
}

// may reads a number that no rule depends on; absent, it is 0.
func (vals *values) optional(key string) float64 {
	if s, ok := vals.get(key); ok {
		return vals.number(key, s, 0, maxNumber)
	}
	return 0
}

// span names a range in plain figures.
func rangeText(low, high float64) string {
	plain := func(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }
	if high >= maxNumber {
		return "of " + plain(low) + " or more"
	}
	return "from " + plain(low) + " to " + plain(high)
}

func (vals *values) list(key string) []float64 {
	var out []float64
	for _, s := range strings.Split(vals.text(key), ",") {
		out = append(out, vals.number(key, s, 0, 1))
	}
	return out
}

func (vals *values) flag(key string) bool { return vals.text(key) == "true" || vals.text(key) == "1" }

const maxNumber = 1e12

// Network holds the figures that the sockets need and no decision reads.
type Network struct {
	IdleAfter      decision.Millis // a node closes an idle connection by then
	ConnectTimeout decision.Millis
	ResponseSlack  decision.Millis // past the client timeout, for the final answer
	LongestTimeout decision.Millis // of a client
	PollEndpoints  bool            // the list is asked of a service that may refuse
	PollWithin     decision.Millis // by then a marshal must have asked
	DrainGrace     decision.Millis // from when a drain is told until nothing new may go to its node; 0: not told
}

// Pairs takes path=value texts apart.
func Pairs(parts []string) map[string]string {
	v := make(map[string]string, len(parts))
	for _, part := range parts {
		if k, val, ok := strings.Cut(part, "="); ok {
			v[k] = val
		}
	}
	return v
}

// Flatten turns nested JSON into the same names: commas join plain lists, a list of objects gives its length
// under .count and its items under .0, .1 and so on.
func Flatten(raw []byte) (map[string]string, error) {
	d := json.NewDecoder(strings.NewReader(string(raw)))
	d.UseNumber()
	var tree map[string]any
	if err := d.Decode(&tree); err != nil {
		return nil, fmt.Errorf("want an object: %w", err)
	}
	v := map[string]string{}
	flatten(v, "", tree)
	return v, nil
}

func flatten(to map[string]string, at string, val any) {
	switch val := val.(type) {
	case map[string]any:
		for k, item := range val {
			flatten(to, strings.TrimPrefix(at+"."+k, "."), item)
		}
	case []any:
		var plain []string
		for i, item := range val {
			if _, nested := item.(map[string]any); nested {
				flatten(to, at+"."+strconv.Itoa(i), item)
				to[at+".count"] = strconv.Itoa(i + 1)
			} else {
				plain = append(plain, fmt.Sprint(item))
			}
		}
		if len(plain) > 0 || len(val) == 0 {
			to[at] = strings.Join(plain, ",")
		}
	case nil:
	default:
		to[at] = fmt.Sprint(val)
	}
}

// ForNetwork reads the figures of the sockets; the error names a setting that is missing or absurd.
func ForNetwork(v map[string]string) (Network, error) { return forNetwork(&values{texts: v}) }

func forNetwork(p *values) (Network, error) {
	n := Network{
		IdleAfter:      p.required("limits.conn-idle-ms", 1, maxNumber),
		ConnectTimeout: p.required("limits.connect-timeout-ms", 1, maxNumber),
		ResponseSlack:  p.required("rules.answer-slack-ms", 0, maxNumber),
		PollEndpoints:  p.text("discovery") == "ask",
		PollWithin:     p.optional("rules.ask-within-ms"),
		DrainGrace:     p.optional("rules.drain-grace-ms"),
	}
	for i := 0; i < int(p.required("services.count", 1, 1e4)); i++ {
		n.LongestTimeout = max(n.LongestTimeout, p.required(fmt.Sprintf("services.%d.give-up-ms", i), 1, maxNumber))
	}
	return n, p.err
}

// ForModule reads the figures of the decision module; the error names a setting that is missing or absurd.
func ForModule(v map[string]string) (decision.Settings, error) { return forModule(&values{texts: v}) }

func forModule(p *values) (decision.Settings, error) {
	s := decision.Settings{
		Instances: int(p.required("n-instances", 1, 1e6)),
		Zone:      decision.Zone(p.text("zone")), ClockGranularity: p.optional("granularity-ms"),
		PollEndpoints: p.text("discovery") == "ask", PollWithin: p.optional("rules.ask-within-ms"),
		CrossZonePrice: p.optional("charges.cross-zone"), HealthCheckPrice: p.optional("charges.probe"),
		HealthChecksAllowed: p.flag("limits.probing"),
		CancelAllowed:       p.flag("limits.cancel"),
		HedgingAllowed:      p.flag("limits.second-copies"),
		MaxAttempts:         int(p.required("limits.most-tries", 1, 1e6)),
		SlowStartFloor:      p.required("rules.cold-from", 0, 1), SlowStartWindow: p.required("rules.warm-after-ms", 0, maxNumber),
		OverloadFactor: p.required("rules.overload-factor", 0, maxNumber), OverloadWindow: p.required("rules.overload-for-ms", 0, maxNumber),
		InPlace: p.text("domain.swap") == "rolling", ExposureCaps: p.list("domain.caps"), Stages: p.list("domain.waves"),
		FreeAttempts: p.required("domain.uncounted", 0, maxNumber), ExposurePerClass: p.text("domain.per") == "per_lane",
		GuardedStages: int(p.required("domain.guarded-stages", 0, 1e6)), StickyKeys: p.text("domain.keys-stay") != "false",
		FlagShare: p.optional("domain.reported-share"),
		VoteTTL:   p.optional("domain.vote-ttl-ms"), VoteWait: p.optional("domain.vote-wait-ms"),
		AdvanceQuorum: int(p.optional("domain.on-votes")), RollbackQuorum: int(p.optional("domain.votes-to-revert")),
		HoldQuorum:    int(p.optional("domain.to-pause")),
		CountInterval: p.optional("domain.tally-every-ms"),
	}
	if p.flag("limits.retry-after") {
		s.MaxRetryAfter = p.optional("limits.max-retry-after-ms")
	}
	if p.text("domain.vote-mode") == "clocked" {
		s.Control = decision.ByClock
	}
	if len(s.ExposureCaps) != len(s.Stages) {
		p.fail("domain.caps", "its length differs from that of domain.waves")
	}
	effects := map[string]decision.Idempotency{"safe": decision.Idempotent, "keyed": decision.IdempotentWithKey, "unsafe": decision.NonIdempotent}
	scopes := map[string]decision.RetryScope{"all": decision.ScopeAll, "zone": decision.ScopeZone, "cell": decision.ScopeCell}
	names := map[string]bool{}
	for i := 0; i < int(p.required("services.count", 0, 1e4)); i++ {
		at := fmt.Sprintf("services.%d.", i)
		effect, ok := effects[p.text(at+"idempotency")]
		if !ok {
			p.fail(at+"idempotency", "missing or unknown")
		}
		scope, ok := scopes[p.text(at+"group")]
		if !ok && effect == decision.IdempotentWithKey {
			p.fail(at+"group", "missing or unknown")
		}
		g := decision.RequestClass{
			Name: decision.ClassName(p.name(at+"name", names)), LatencyObjective: p.required(at+"aim-ms", 0, maxNumber),
			Idempotency: effect, RetryScope: scope,
		}
		if effect == decision.IdempotentWithKey {
			g.DedupWindow = p.required(at+"window-ms", 0, maxNumber)
		}
		s.Classes = append(s.Classes, g)
	}
	tenants := 0.0
	if _, ok := p.get("tenants.count"); ok {
		tenants = p.required("tenants.count", 0, 1e6)
	}
	for i := 0; i < int(tenants); i++ {
		s.Tenants = append(s.Tenants, decision.TenantID(p.text(fmt.Sprintf("tenants.%d.name", i))))
	}
	return s, p.err
}

// Overlay puts figures, nested JSON by the same names, over those of a marshal that runs. It takes those alone that the
// module reads and a running marshal can change; the error names the first that is neither.
func Overlay(base map[string]string, over []byte) (map[string]string, error) {
	figures, err := Flatten(over)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	merged := maps.Clone(base)
	maps.Copy(merged, figures)
	module, network := &values{texts: merged, requested: map[string]bool{}}, &values{texts: base, requested: map[string]bool{}}
	if _, err := forModule(module); err != nil {
		return nil, err
	}
	if _, err := forNetwork(network); err != nil {
		return nil, err
	}
	for _, key := range slices.Sorted(maps.Keys(figures)) {
		switch {
		case strings.HasPrefix(key, "services.") || strings.HasPrefix(key, "tenants.") || network.requested[key] ||
			key == "granularity-ms" || key == "zone":
			return nil, fmt.Errorf("settings.%s: can't change while marshals run", key)
		case !module.requested[key]:
			return nil, fmt.Errorf("settings.%s: not a figure that the marshals read", key)
		}
	}
	return merged, nil
}
