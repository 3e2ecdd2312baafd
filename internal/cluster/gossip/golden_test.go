package gossip

import (
	"encoding/json"
	"testing"

	"ottershed/internal/golden"
)

// The JSON of the counters is part of a response of the admin API, so it stays the same.
func TestCountersEncoding(t *testing.T) {
	counters := Counters{PacketsIn: 1, PacketsOut: 2, BytesIn: 3, BytesOut: 4, Rejected: 5, DroppedChanges: 6}
	golden.RoundTrip(t, "counters.json", counters, json.Marshal, json.Unmarshal)
}
