package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"

	"ottershed/decision"
)

// nestedSettings are valid settings in the form of the configuration file.
const nestedSettings = `{"n-instances":3,"zone":"oulu","granularity-ms":5.0,"discovery":"push","charges":{"cross-zone":0.02,"probe":0},
"limits":{"probing":false,"cancel":true,"second-copies":false,"retry-after":true,"max-retry-after-ms":500,"most-tries":5,
"conn-idle-ms":30000,"connect-timeout-ms":250},"rules":{"cold-from":0.35,"warm-after-ms":4500,"overload-factor":3,
"overload-for-ms":1000,"answer-slack-ms":20},"domain":{"swap":"rolling","caps":[0.112,0.35,1],"waves":[0.08,0.25,1],
"uncounted":1,"guarded-stages":0,"keys-stay":false,"vote-mode":"majority","on-votes":2},"areas":["oulu"],"none":null,"empty":[],
"services":[{"name":"read","aim-ms":400,"give-up-ms":1500,"idempotency":"safe"},
{"name":"mark","aim-ms":500,"give-up-ms":2000,"idempotency":"keyed","group":"zone","window-ms":1200}]}`

// flattenNested returns nestedSettings as a map of names and texts.
func flattenNested(t *testing.T) map[string]string {
	t.Helper()
	texts, err := Flatten([]byte(nestedSettings))
	if err != nil {
		t.Fatal(err)
	}
	return texts
}

// The configuration file's JSON and the simulator's pairs give the same settings.
func TestPairsAndJSONGiveSameSettings(t *testing.T) {
	var pairs []string
	for k, v := range flattenNested(t) {
		pairs = append(pairs, k+"="+v)
	}
	fromPairs, err := ForDecisionModule(ParsePairs(pairs))
	fromJSON, jsonErr := ForDecisionModule(flattenNested(t))
	if err != nil || jsonErr != nil || !reflect.DeepEqual(fromPairs, fromJSON) {
		t.Errorf("from pairs %+v, error %v; from JSON %+v, error %v; want the same without errors",
			fromPairs, err, fromJSON, jsonErr)
	}
	want := []decision.RequestClass{
		{Name: "read", LatencyObjective: 400, Idempotency: decision.Idempotent},
		{
			Name: "mark", LatencyObjective: 500, Idempotency: decision.IdempotentWithKey,
			RetryScope: decision.ScopeZone, DedupWindow: 1200,
		},
	}
	if !reflect.DeepEqual(fromPairs.Classes, want) {
		t.Errorf("got request classes %+v, want %+v", fromPairs.Classes, want)
	}
	if !slices.Equal(fromPairs.ExposureCaps, []float64{0.112, 0.35, 1}) || fromPairs.StickyKeys ||
		!fromPairs.CancelAllowed || !fromPairs.InPlace {
		t.Errorf("got settings %+v, want caps 0.112, 0.35, 1, no sticky keys, cancelling, and builds replaced in place", fromPairs)
	}
	if fromPairs.Instances != 3 || fromPairs.MaxRetryAfter != 500 || fromPairs.ClockGranularity != 5 ||
		fromPairs.Zone != "oulu" {
		t.Errorf("got settings %+v, want 3 instances, Retry-After of at most 500 ms, granularity 5 ms, zone oulu", fromPairs)
	}
}

func TestForNetwork(t *testing.T) {
	got, err := ForNetwork(flattenNested(t))
	want := Network{IdleTimeout: 30000, ConnectTimeout: 250, ResponseGracePeriod: 20, MaxClientTimeout: 2000}
	if err != nil || got != want {
		t.Errorf("got network settings %+v, error %v, want %+v", got, err, want)
	}
}

// The error names the setting that is missing or invalid.
func TestInvalidSettingIsReportedByKey(t *testing.T) {
	for _, test := range []struct{ key, value string }{
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
		t.Run(test.key+"="+test.value, func(t *testing.T) {
			texts := maps.Clone(flattenNested(t))
			texts[test.key] = test.value
			if test.value == "" {
				delete(texts, test.key)
			}
			_, err := ForDecisionModule(texts)
			if err == nil {
				_, err = ForNetwork(texts)
			}
			var fieldErr FieldError
			if !errors.As(err, &fieldErr) || fieldErr.Key != test.key {
				t.Errorf("got error %v, want one for %s", err, test.key)
			}
		})
	}
	for _, text := range []string{"", "3", "[]", `{"a":`} {
		if _, err := Flatten(json.RawMessage(text)); !errors.Is(err, ErrNotObject) {
			t.Errorf("%q: got error %v, want %v", text, err, ErrNotObject)
		}
	}
	if texts := flattenNested(t); fmt.Sprint(texts["none"], texts["empty"], texts["areas"]) != "oulu" {
		t.Errorf("got flattened settings %v, want none and empty without a text, areas as oulu", texts)
	}
}

// Overlay accepts only settings that the decision module reads and a running instance can change.
func TestOverlay(t *testing.T) {
	base, err := Flatten([]byte(overlayBase))
	if err != nil {
		t.Fatal(err)
	}
	for override, want := range map[string]error{
		`{"domain":{"vote-ttl-ms":4000}}`:     nil,
		`{"rules":{"cold-from":0.5}}`:         nil,
		`{"domain":{"caps":[0.2,1]}}`:         nil,
		`{"domain":{"caps":[0.2]}}`:           FieldError{"domain.caps", reasonLengthsDiffer},
		`{"zone":"b"}`:                        FieldError{"zone", reasonNotChangeable},
		`{"granularity-ms":1}`:                FieldError{"granularity-ms", reasonNotChangeable},
		`{"limits":{"connect-timeout-ms":1}}`: FieldError{"limits.connect-timeout-ms", reasonNotChangeable},
		`{"services":[{"aim-ms":1}]}`:         FieldError{"services.0.aim-ms", reasonNotChangeable},
		`{"tenants":[{"name":"x"}]}`:          FieldError{"tenants.0.name", reasonNotChangeable},
		`{"domain":{"vote-tlt-ms":1}}`:        FieldError{"domain.vote-tlt-ms", reasonUnknownSetting},
		`{"rules":{"cold-from":2}}`:           FieldError{"rules.cold-from", `want a number from 0 to 1, got "2"`},
		`[]`:                                  ErrNotObject,
	} {
		merged, err := Overlay(base, []byte(override))
		if !errors.Is(err, want) || want == nil && len(merged) < len(base) {
			t.Errorf("%s: got %d settings, error %v, want %d or more, error %v", override, len(merged), err, len(base), want)
		}
	}
}

// Operators read these texts, and search for them.
func TestErrorTexts(t *testing.T) {
	for want, err := range map[string]error{
		"settings.domain.caps: its length differs from that of domain.waves": FieldError{"domain.caps", reasonLengthsDiffer},
		"settings.zone: can't change while marshals run":                     FieldError{"zone", reasonNotChangeable},
		"settings.x: not a figure that the marshals read":                    FieldError{"x", reasonUnknownSetting},
	} {
		if err.Error() != want {
			t.Errorf("error text: got %q, want %q", err, want)
		}
	}
	if _, err := Overlay(nil, []byte(`[]`)); !strings.HasPrefix(err.Error(), "settings: want an object") {
		t.Errorf("settings that are an array: got error %q, want one that begins with %q", err, "settings: want an object")
	}
}

// overlayBase are valid settings that a policy's settings are applied over.
const overlayBase = `{"n-instances":1,"zone":"z","limits":{"most-tries":5,"conn-idle-ms":30000,"connect-timeout-ms":100},
"rules":{"cold-from":0.35,"warm-after-ms":4500,"overload-factor":3,"overload-for-ms":1000,"answer-slack-ms":20},
"domain":{"caps":[0.1,1],"waves":[0.1,1],"uncounted":1,"guarded-stages":0},
"services":[{"name":"read","aim-ms":100,"give-up-ms":300,"idempotency":"safe"}]}`
