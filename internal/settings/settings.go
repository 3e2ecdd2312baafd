// Package settings reads the figures handed to a marshal at its start by their names, from the simulator's
// wire and from the configuration's JSON alike.
package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"ottershed/decision"
)

// pairs holds the path=value settings of an instance; the first one missing or absurd stays in err.
type pairs struct {
	v    map[string]string
	err  error
	read map[string]bool // keys that were asked for; nil: not noted
}

// get is a key's text.
func (p *pairs) get(key string) (string, bool) {
	if p.read != nil {
		p.read[key] = true
	}
	s, ok := p.v[key]
	return s, ok
}

func (p *pairs) text(key string) string {
	s, _ := p.get(key)
	return s
}

// name reads a path group's name, which no other has.
func (p *pairs) name(key string, taken map[string]bool) string {
	s := p.text(key)
	switch {
	case s == "":
		p.fail(key, "missing")
	case taken[s]:
		p.fail(key, fmt.Sprintf("%q is another's too", s))
	}
	taken[s] = true
	return s
}

func (p *pairs) fail(key, why string) {
	if p.err == nil {
		p.err = fmt.Errorf("settings.%s: %s", key, why)
	}
}

func (p *pairs) need(key string, low, high float64) float64 {
	s, ok := p.get(key)
	if !ok {
		p.fail(key, "missing")
		return low
	}
	return p.number(key, s, low, high)
}

func (p *pairs) number(key, s string, low, high float64) float64 {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || v < low || v > high {
		p.fail(key, fmt.Sprintf("want a number %s, got %q", span(low, high), s))
		return low
	}
	return v
}

// may reads a number that no rule depends on; absent, it is 0.
func (p *pairs) may(key string) float64 {
	if s, ok := p.get(key); ok {
		return p.number(key, s, 0, most)
	}
	return 0
}

// span names a range in plain figures.
func span(low, high float64) string {
	plain := func(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }
	if high >= most {
		return "of " + plain(low) + " or more"
	}
	return "from " + plain(low) + " to " + plain(high)
}

func (p *pairs) list(key string) []float64 {
	var out []float64
	for _, s := range strings.Split(p.text(key), ",") {
		out = append(out, p.number(key, s, 0, 1))
	}
	return out
}

func (p *pairs) yes(key string) bool { return p.text(key) == "true" || p.text(key) == "1" }

const most = 1e12

// Network holds the figures that the sockets need and no decision reads.
type Network struct {
	IdleAfter      decision.Millis // a node closes an idle connection by then
	ConnectTimeout decision.Millis
	AnswerSlack    decision.Millis // past the client timeout, for the final answer
	LongestTimeout decision.Millis // of a client
	AskList        bool            // the list is asked of a service that may refuse
	AskWithin      decision.Millis // by then a marshal must have asked
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
func ForNetwork(v map[string]string) (Network, error) { return forNetwork(&pairs{v: v}) }

func forNetwork(p *pairs) (Network, error) {
	n := Network{
		IdleAfter:      p.need("limits.conn-idle-ms", 1, most),
		ConnectTimeout: p.need("limits.connect-timeout-ms", 1, most),
		AnswerSlack:    p.need("rules.answer-slack-ms", 0, most),
		AskList:        p.text("discovery") == "ask",
		AskWithin:      p.may("rules.ask-within-ms"),
		DrainGrace:     p.may("rules.drain-grace-ms"),
	}
	for i := 0; i < int(p.need("services.count", 1, 1e4)); i++ {
		n.LongestTimeout = max(n.LongestTimeout, p.need(fmt.Sprintf("services.%d.give-up-ms", i), 1, most))
	}
	return n, p.err
}

// ForModule reads the figures of the decision module; the error names a setting that is missing or absurd.
func ForModule(v map[string]string) (decision.Settings, error) { return forModule(&pairs{v: v}) }

func forModule(p *pairs) (decision.Settings, error) {
	s := decision.Settings{
		Marshals: int(p.need("n-instances", 1, 1e6)),
		Zone:     decision.Zone(p.text("zone")), Granularity: p.may("granularity-ms"),
		AskList: p.text("discovery") == "ask", AskWithin: p.may("rules.ask-within-ms"),
		CrossPrice: p.may("charges.cross-zone"), ProbePrice: p.may("charges.probe"),
		MayProbe:    p.yes("limits.probing"),
		MayCancel:   p.yes("limits.cancel"),
		MayCopy:     p.yes("limits.second-copies"),
		MaxForwards: int(p.need("limits.most-tries", 1, 1e6)),
		ColdFrom:    p.need("rules.cold-from", 0, 1), WarmAfter: p.need("rules.warm-after-ms", 0, most),
		OverFactor: p.need("rules.overload-factor", 0, most), OverFor: p.need("rules.overload-for-ms", 0, most),
		InPlace: p.text("domain.swap") == "rolling", Caps: p.list("domain.caps"), Stages: p.list("domain.waves"),
		Free: p.need("domain.uncounted", 0, most), PerGroup: p.text("domain.per") == "per_lane",
		Guarded: int(p.need("domain.guarded-stages", 0, 1e6)), KeysStay: p.text("domain.keys-stay") != "false",
		FlagShare: p.may("domain.reported-share"),
		VoteLife:  p.may("domain.vote-ttl-ms"), VoteWait: p.may("domain.vote-wait-ms"),
		OnVotes: int(p.may("domain.on-votes")), BackVotes: int(p.may("domain.votes-to-revert")),
		HoldVotes:  int(p.may("domain.to-pause")),
		TallyEvery: p.may("domain.tally-every-ms"),
	}
	if p.yes("limits.retry-after") {
		s.MaxComeBack = p.may("limits.max-retry-after-ms")
	}
	if p.text("domain.vote-mode") == "clocked" {
		s.Control = decision.ByClock
	}
	if len(s.Caps) != len(s.Stages) {
		p.fail("domain.caps", "its length differs from that of domain.waves")
	}
	effects := map[string]decision.Effect{"safe": decision.Repeatable, "keyed": decision.Tagged, "unsafe": decision.Mutating}
	scopes := map[string]decision.Scope{"all": decision.ScopeAll, "zone": decision.ScopeZone, "cell": decision.ScopeCell}
	names := map[string]bool{}
	for i := 0; i < int(p.need("services.count", 0, 1e4)); i++ {
		at := fmt.Sprintf("services.%d.", i)
		effect, ok := effects[p.text(at+"idempotency")]
		if !ok {
			p.fail(at+"idempotency", "missing or unknown")
		}
		scope, ok := scopes[p.text(at+"group")]
		if !ok && effect == decision.Tagged {
			p.fail(at+"group", "missing or unknown")
		}
		g := decision.PathGroup{Name: decision.GroupName(p.name(at+"name", names)), Target: p.need(at+"aim-ms", 0, most),
			Effect: effect, Scope: scope}
		if effect == decision.Tagged {
			g.Remember = p.need(at+"window-ms", 0, most)
		}
		s.Groups = append(s.Groups, g)
	}
	tenants := 0.0
	if _, ok := p.get("tenants.count"); ok {
		tenants = p.need("tenants.count", 0, 1e6)
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
	module, network := &pairs{v: merged, read: map[string]bool{}}, &pairs{v: base, read: map[string]bool{}}
	if _, err := forModule(module); err != nil {
		return nil, err
	}
	if _, err := forNetwork(network); err != nil {
		return nil, err
	}
	for _, key := range slices.Sorted(maps.Keys(figures)) {
		switch {
		case strings.HasPrefix(key, "services.") || strings.HasPrefix(key, "tenants.") || network.read[key] ||
			key == "granularity-ms" || key == "zone":
			return nil, fmt.Errorf("settings.%s: can't change while marshals run", key)
		case !module.read[key]:
			return nil, fmt.Errorf("settings.%s: not a figure that the marshals read", key)
		}
	}
	return merged, nil
}
