package gossip

import (
	"encoding/json"
	"testing"

	"ottershed/internal/golden"
)

// Counters are part of what the admin address answers.
func TestCountersOnTheWire(t *testing.T) {
	counters := Counters{PacketsIn: 1, PacketsOut: 2, BytesIn: 3, BytesOut: 4, Refused: 5, Missed: 6}
	golden.RoundTrip(t, "counters.json", counters, json.Marshal, json.Unmarshal)
}
