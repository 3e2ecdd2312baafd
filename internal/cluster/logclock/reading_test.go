package logclock

import "testing"

func TestLeaderReading(t *testing.T) {
	reading := LeaderReading{Stamp{7, 500}, 100_000}
	if got, ok := reading.Deadline(101_000, 104_000); !ok || got != 4500 {
		t.Errorf("%v, %v", got, ok)
	}
	if _, ok := reading.Deadline(110_001, 120_000); ok {
		t.Error("a reading that is too old gives a deadline")
	}
	if _, ok := (&LeaderReading{}).Deadline(0, 1); ok {
		t.Error("no reading gives a deadline")
	}
}
