package simwire

import (
	"fmt"
	"strings"
	"testing"

	"ottershed/decision"
)

// Each kind of line decodes into its event, with every field in its place.
func TestLinesDecodeIntoEvents(t *testing.T) {
	load := &decision.Load{Utilisation: 0.5, Queue: 3}
	for _, test := range []struct {
		line string
		want decision.Event
	}{
		{"req\t3\t7\tread\tacme\tk1\t480\t12.5\t3", decision.RequestReceived{
			Request: 7, Class: "read", Tenant: "acme", Key: "k1", Remaining: 480,
			EstimatedServiceTime: 12.5, Retried: true,
		}},
		{"req\t3\t7\tread\t-\t-\t480\t12.5\t0", decision.RequestReceived{Request: 7, Class: "read", Remaining: 480}},
		{"flowing\t3\t7\t1\tn1\t4.5", decision.ResponseStarted{Request: 7, Attempt: 1, Endpoint: "n1", After: 4.5}},
		{"verdict\t3\t7\tcompleted\tn1\t1\t4.5\t1\t-", decision.AttemptEnded{
			Request: 7, Outcome: decision.Succeeded, Endpoint: "n1",
			Attempt: 1, After: 4.5, RequestEnded: true,
		}},
		{"aborted\t3\t7", decision.ClientDisconnected{Request: 7}},
		{"tick_due\t3\t9", decision.TimerFired{Token: 9}},
		{"message\t3\t2\t6869", decision.PeerMessage{From: 2, Data: []byte("hi")}},
		{"stage\t3\t310\t42\t-\t0\t0.28\t1\tcompleted", decision.StageUpdate{
			Age: 310, Build: 42, ExposureCap: 0.28, Stage: 1,
		}},
		{"stage\t3\t-\t42\t1\t1\t-\t-\tsaturated", decision.StageUpdate{
			Build: 42, Phase: decision.RollingBack, IsVoteResult: true,
			VoteResult: decision.VoteThrottled,
		}},
		{"metrics\t3\t42\tread\t20\t2\t31.5\t900", decision.ControllerCounts{
			Build: 42, Class: "read", Count: 20, Failed: 2, Mean: 31.5, Age: 900,
		}},
		{"reported_wrong\t3\tn1\tread\t1200", decision.ResponseFlagged{Endpoint: "n1", Class: "read", Age: 1200}},
		{"backends_changed\t3\trefused\t5\t-", decision.EndpointsChanged{Kind: decision.PollRejected, Version: 5}},
	} {
		got, err := new(Decoder).DecodeLine(test.line)
		if err != nil || got.Instance != 3 || fmt.Sprintf("%#v", got.Event) != fmt.Sprintf("%#v", test.want) {
			t.Errorf("line %q: got input %+v, error %v, want %+v", test.line, got, err, test.want)
		}
	}
	input, err := new(Decoder).DecodeLine("ping_result\t3\tn1\toverdue\t250\tcpu:0.5,waiting:3")
	got, ok := input.Event.(decision.HealthCheckEnded)
	if err != nil || !ok || got.Outcome != decision.TimedOut || *got.Load != *load {
		t.Errorf("line ping_result: got input %+v, error %v, want TimedOut with its load", input, err)
	}
}

// An endpoint list is decoded once, and later lines refer to the list by its number.
func TestListIsReferredToByNumber(t *testing.T) {
	var decoder Decoder
	for i, line := range []string{"sheet\t1\t1", "node\t2\t7000\ta\t42\tk\tdraining\t1.5\tn1"} {
		if got, err := decoder.DecodeLine(line); got != nil || err != nil || decoder.Pending() != (i == 0) {
			t.Fatalf("line %q: got input %+v, error %v, want no event, and pending after the first line only", line, got, err)
		}
	}
	got, err := decoder.DecodeLine("backends_changed\t3\tall\t5\t1")
	want := decision.EndpointsChanged{Kind: decision.FullSnapshot, Version: 5, Endpoints: []decision.Endpoint{{
		ID: "n1", Cell: 2, StartedAt: 7000, Zone: "a",
		Build: 42, MachineType: "k", State: decision.Draining, Capacity: 1.5,
	}}}
	if err != nil || fmt.Sprint(got.Event) != fmt.Sprint(want) {
		t.Errorf("line backends_changed: got input %+v, error %v, want event %+v", got, err, want)
	}
}

// The error of a malformed line names what was expected.
func TestMalformedLineErrorNamesExpectation(t *testing.T) {
	for line, want := range map[string]string{
		"what\t1":                              "unknown message",
		"req\t3\t7":                            "req: 2 fields, want 8",
		"aborted\t3\tx":                        `"x" is not a request id`,
		"verdict\t3\t7\todd\tn1\t1\t4.5\t1\t-": "a known word",
		"verdict\t3\t7\terrored\tn1\t1\tNaN\t1\t-": "a number",
		"verdict\t3\t7\terrored\tn1\t1\t4\t7\t-":   "0 or 1",
		"backends_changed\t3\tall\t5\t99":          "a list number",
		"node\t2\t7000\ta\t42\tk\tup\t1.5\tn1":     "0 nodes to come",
		"message\t3\t2\tzz":                        "hex",
	} {
		if _, err := new(Decoder).DecodeLine(line); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("line %q: got error %v, want one that contains %q", line, err, want)
		}
	}
}

// Each action encodes as its line.
func TestActionsEncodeAsLines(t *testing.T) {
	for _, test := range []struct {
		action decision.Action
		want   string
	}{
		{decision.StartAttempt{Request: 7, Endpoint: "n1", Timeout: 1.5}, "assign\t3\t7\tn1\t1.500\n"},
		{decision.Reject{Request: 7, RetryAfter: 125}, "busy\t3\t7\t125.000\n"},
		{decision.Fail{Request: 7}, "respond_error\t3\t7\n"},
		{decision.Cancel{Request: 7, Attempt: 1}, "cancel\t3\t7\t1\n"},
		{decision.WakeAt{Token: 9, At: 20.25}, "wake_me\t3\t9\t20.250\n"},
		{decision.StartHealthCheck{Endpoint: "n1"}, "sound_out\t3\tn1\n"},
		{decision.CloseIdleConnections{Endpoint: "n1"}, "shut_idle\t3\tn1\n"},
		{decision.SendToPeer{All: true, Data: []byte("hi")}, "say\t3\t*\t6869\n"},
		{decision.SendToPeer{To: 2}, "say\t3\t2\t-\n"},
		{decision.Log{Text: "a\tb\nc"}, "remark\t3\ta b c\n"},
		{decision.WatchEndpoints{On: true}, "observe\t3\t1\n"},
		{decision.RequestSnapshot{}, "lookup\t3\n"},
		{decision.Vote{Build: 42, Stage: 1, Verdict: decision.VoteRollback}, "cast_vote\t3\t42\t1\t3\n"},
	} {
		if got := string(AppendAction(nil, 3, test.action)); got != test.want {
			t.Errorf("action %#v: got line %q, want %q", test.action, got, test.want)
		}
	}
}
