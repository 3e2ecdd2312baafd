package settings

import (
	"maps"
	"slices"
	"strings"
	"testing"

	"ottershed/internal/golden"
)

// goldenFigures let every setting be read that there is: with none missing, a request class that is keyed, and a
// tenant.
const goldenFigures = "n-instances=1 limits.most-tries=1 rules.cold-from=0 rules.warm-after-ms=0 rules.overload-factor=0 " +
	"rules.overload-for-ms=0 domain.caps=1 domain.waves=1 domain.uncounted=1 domain.guarded-stages=0 limits.retry-after=true " +
	"limits.conn-idle-ms=1 limits.connect-timeout-ms=1 rules.answer-slack-ms=0 services.count=1 services.0.name=a " +
	"services.0.idempotency=keyed services.0.group=all services.0.window-ms=1 services.0.aim-ms=1 services.0.give-up-ms=1 " +
	"tenants.count=1 tenants.0.name=a"

// The names of the settings that the decision module and the sockets ask for are those of the golden file.
func TestGoldenKeys(t *testing.T) {
	figures := Pairs(strings.Fields(goldenFigures))
	module := &values{texts: figures, requested: map[string]bool{}}
	if _, err := forModule(module); err != nil {
		t.Fatal(err)
	}
	network := &values{texts: figures, requested: map[string]bool{}}
	if _, err := forNetwork(network); err != nil {
		t.Fatal(err)
	}
	observed := golden.Section("decision module", names(module.requested)) +
		golden.Section("sockets", names(network.requested))
	if err := golden.Check("testdata/keys.golden", []byte(observed)); err != nil {
		t.Error(err)
	}
}

// names lists names, one a line.
func names(requested map[string]bool) string {
	return strings.Join(slices.Sorted(maps.Keys(requested)), "\n") + "\n"
}
