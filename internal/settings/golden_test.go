package settings

import (
	"maps"
	"slices"
	"strings"
	"testing"

	"ottershed/internal/golden"
)

// allSettings makes the readers look up every setting: none is missing, the request class is idempotent with a key, and
// there is a tenant.
const allSettings = "n-instances=1 limits.most-tries=1 rules.cold-from=0 rules.warm-after-ms=0 rules.overload-factor=0 " +
	"rules.overload-for-ms=0 domain.caps=1 domain.waves=1 domain.uncounted=1 domain.guarded-stages=0 limits.retry-after=true " +
	"limits.conn-idle-ms=1 limits.connect-timeout-ms=1 rules.answer-slack-ms=0 services.count=1 services.0.name=a " +
	"services.0.idempotency=keyed services.0.group=all services.0.window-ms=1 services.0.aim-ms=1 services.0.give-up-ms=1 " +
	"tenants.count=1 tenants.0.name=a"

// The names of the settings that ForDecisionModule and ForNetwork read match the golden file.
func TestGoldenKeys(t *testing.T) {
	texts := ParsePairs(strings.Fields(allSettings))
	moduleReader := &settingReader{texts: texts, keysRead: map[string]bool{}}
	if _, err := decisionSettings(moduleReader); err != nil {
		t.Fatalf("read allSettings for the decision module: %v", err)
	}
	networkReader := &settingReader{texts: texts, keysRead: map[string]bool{}}
	if _, err := networkSettings(networkReader); err != nil {
		t.Fatalf("read allSettings for the network: %v", err)
	}
	observed := golden.Section("decision module", joinKeys(moduleReader.keysRead)) +
		golden.Section("sockets", joinKeys(networkReader.keysRead))
	if err := golden.CheckFile("testdata/keys.golden", []byte(observed)); err != nil {
		t.Error(err)
	}
}

// joinKeys returns the sorted keys, one per line.
func joinKeys(keys map[string]bool) string {
	return strings.Join(slices.Sorted(maps.Keys(keys)), "\n") + "\n"
}
