package settings

import (
	"encoding/json"
	"fmt"
	"maps"
	"ottershed/decision"
	"reflect"
	"slices"
	"strings"
	"testing"
)

const nested = `{"n-instances":3,"zone":"oulu","granularity-ms":5.0,"discovery":"push","charges":{"cross-zone":0.02,"probe":0},
"limits":{"probing":false,"cancel":true,"second-copies":false,"retry-after":true,"max-retry-after-ms":500,"most-tries":5,
"conn-idle-ms":30000,"connect-timeout-ms":250},"rules":{"cold-from":0.35,"warm-after-ms":4500,"overload-factor":3,
"overload-for-ms":1000,"answer-slack-ms":20},"domain":{"swap":"rolling","caps":[0.112,0.35,1],"waves":[0.08,0.25,1],
"uncounted":1,"guarded-stages":0,"keys-stay":false,"vote-mode":"majority","on-votes":2},"areas":["oulu"],"none":null,"empty":[],
"services":[{"name":"read","aim-ms":400,"give-up-ms":1500,"idempotency":"safe"},
{"name":"mark","aim-ms":500,"give-up-ms":2000,"idempotency":"keyed","group":"zone","window-ms":1200}]}`

func flat(t *testing.T) map[string]string {
	v, err := Flatten([]byte(nested))
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// The configuration's JSON and the simulator's pairs give the same settings.
func TestBothForms(t *testing.T) {
	var pairs []string
	for k, v := range flat(t) {
		pairs = append(pairs, k+"="+v)
	}
	a, err := ForModule(Pairs(pairs))
	b, err2 := ForModule(flat(t))
	if err != nil || err2 != nil || !reflect.DeepEqual(a, b) {
		t.Errorf("%+v, %v; %+v, %v", a, err, b, err2)
	}
	want := []decision.RequestClass{
		{Name: "read", LatencyObjective: 400, Idempotency: decision.Idempotent},
		{Name: "mark", LatencyObjective: 500, Idempotency: decision.IdempotentWithKey, RetryScope: decision.ScopeZone, DedupWindow: 1200},
	}
	if !reflect.DeepEqual(a.Classes, want) || !slices.Equal(a.ExposureCaps, []float64{0.112, 0.35, 1}) || a.StickyKeys || !a.CancelAllowed ||
		a.Instances != 3 || a.MaxRetryAfter != 500 || !a.InPlace || a.ClockGranularity != 5 || a.Zone != "oulu" {
		t.Errorf("%+v", a)
	}
	n, err := ForNetwork(flat(t))
	if want := (Network{IdleAfter: 30000, ConnectTimeout: 250, ResponseSlack: 20, LongestTimeout: 2000}); err != nil || n != want {
		t.Errorf("%+v, %v", n, err)
	}
}

// A setting that is missing or absurd is named.
func TestFaults(t *testing.T) {
	for _, tc := range []struct{ key, value string }{
		{"n-instances", ""},
		{"limits.most-tries", "0"},
		{"rules.cold-from", "1.5"},
		{"rules.warm-after-ms", "x"},
		{"domain.caps", "0.1"},
		{"domain.caps", "2,1,1"},
		{"services.count", ""},
		{"services.0.idempotency", "odd"},
		{"services.1.group", ""},
		{"services.1.window-ms", ""},
		{"services.1.aim-ms", "-1"},
		{"limits.conn-idle-ms", ""},
		{"limits.connect-timeout-ms", "0"},
		{"services.1.give-up-ms", "NaN"},
		{"charges.probe", "-1"},
		{"services.0.name", ""},
		{"services.1.name", "read"},
		{"tenants.count", "1e9"},
		{"rules.drain-grace-ms", "1e300"},
		{"domain.on-votes", "1e300"},
		{"domain.vote-wait-ms", "+Inf"},
	} {
		t.Run(tc.key+"="+tc.value, func(t *testing.T) {
			v := maps.Clone(flat(t))
			if v[tc.key] = tc.value; tc.value == "" {
				delete(v, tc.key)
			}
			_, err := ForModule(v)
			if err == nil {
				_, err = ForNetwork(v)
			}
			if err == nil || !strings.Contains(err.Error(), tc.key) {
				t.Errorf("error %v", err)
			}
		})
	}
	for _, text := range []string{"", "3", "[]", `{"a":`} {
		if _, err := Flatten(json.RawMessage(text)); err == nil {
			t.Errorf("%q was read", text)
		}
	}
	if v := flat(t); fmt.Sprint(v["none"], v["empty"], v["areas"]) != "oulu" {
		t.Errorf("%v", v)
	}
}

// Only figures that the module reads and a running marshal can change go over those of the configuration.
func TestOverlay(t *testing.T) {
	base, err := Flatten([]byte(overlayBase))
	if err != nil {
		t.Fatal(err)
	}
	for over, want := range map[string]string{
		`{"domain":{"vote-ttl-ms":4000}}`:     "",
		`{"rules":{"cold-from":0.5}}`:         "",
		`{"domain":{"caps":[0.2,1]}}`:         "",
		`{"domain":{"caps":[0.2]}}`:           "settings.domain.caps: its length",
		`{"zone":"b"}`:                        "settings.zone: can't change",
		`{"granularity-ms":1}`:                "settings.granularity-ms: can't change",
		`{"limits":{"connect-timeout-ms":1}}`: "settings.limits.connect-timeout-ms: can't change",
		`{"services":[{"aim-ms":1}]}`:         "settings.services.0.aim-ms: can't change",
		`{"tenants":[{"name":"x"}]}`:          "settings.tenants.0.name: can't change",
		`{"domain":{"vote-tlt-ms":1}}`:        "settings.domain.vote-tlt-ms: not a figure",
		`{"rules":{"cold-from":2}}`:           "settings.rules.cold-from: want a number from 0 to 1",
		`[]`:                                  "settings: want an object",
	} {
		merged, err := Overlay(base, []byte(over))
		if want == "" && (err != nil || len(merged) < len(base)) || want != "" && (err == nil || !strings.HasPrefix(err.Error(), want)) {
			t.Errorf("%s: want %q, got %v", over, want, err)
		}
	}
}

const overlayBase = `{"n-instances":1,"zone":"z","limits":{"most-tries":5,"conn-idle-ms":30000,"connect-timeout-ms":100},
"rules":{"cold-from":0.35,"warm-after-ms":4500,"overload-factor":3,"overload-for-ms":1000,"answer-slack-ms":20},
"domain":{"caps":[0.1,1],"waves":[0.1,1],"uncounted":1,"guarded-stages":0},
"services":[{"name":"read","aim-ms":100,"give-up-ms":300,"idempotency":"safe"}]}`
