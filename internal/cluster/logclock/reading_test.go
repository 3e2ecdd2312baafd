package logclock

import "testing"

// A deadline is by the leader's clock. Without a reading, or with one that is too old, there is no deadline.
func TestLeaderReadingDeadline(t *testing.T) {
	reading := LeaderReading{Stamp{7, 500}, 100_000}
	if got, ok := reading.Deadline(101_000, 104_000); !ok || got != 4500 {
		t.Errorf("deadline: got %v, %v, want 4500, true", got, ok)
	}
	if _, ok := reading.Deadline(110_001, 120_000); ok {
		t.Error("reading older than readingTTL: got a deadline, want none")
	}
	if _, ok := (&LeaderReading{}).Deadline(0, 1); ok {
		t.Error("no reading: got a deadline, want none")
	}
}
