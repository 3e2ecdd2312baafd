package simwire

import (
	"fmt"
	"strings"
	"testing"

	"ottershed/decision"
	"ottershed/internal/golden"
)

// startLine starts an instance with every setting that the module reads.
const startLine = "born\t3\t5138197539985895\tn-instances=3\tzone=oulu\tgranularity-ms=5.5\tdiscovery=ask" +
	"\trules.ask-within-ms=10000\tcharges.cross-zone=0.02\tcharges.probe=0.01\tlimits.probing=true" +
	"\tlimits.cancel=true\tlimits.second-copies=1\tlimits.retry-after=true\tlimits.max-retry-after-ms=500" +
	"\tlimits.most-tries=5\trules.cold-from=0.35\trules.warm-after-ms=4500\trules.overload-factor=3.5" +
	"\trules.overload-for-ms=1000\tdomain.swap=rolling\tdomain.caps=0.1,0.4,1\tdomain.waves=0.08,0.25,1" +
	"\tdomain.uncounted=1.5\tdomain.per=per_lane\tdomain.guarded-stages=2\tdomain.keys-stay=true" +
	"\tdomain.reported-share=0.3\tdomain.vote-ttl-ms=6000\tdomain.vote-wait-ms=800\tdomain.on-votes=4" +
	"\tdomain.votes-to-revert=6\tdomain.to-pause=7\tdomain.tally-every-ms=900\tdomain.vote-mode=clocked" +
	"\tservices.count=3\tservices.0.name=level-read\tservices.0.aim-ms=400\tservices.0.give-up-ms=1500" +
	"\tservices.0.idempotency=safe\tservices.1.name=subscribe\tservices.1.aim-ms=500" +
	"\tservices.1.give-up-ms=2000\tservices.1.idempotency=keyed\tservices.1.group=zone" +
	"\tservices.1.window-ms=1200\tservices.2.name=send-text\tservices.2.aim-ms=550" +
	"\tservices.2.give-up-ms=1500\tservices.2.idempotency=unsafe\ttenants.count=2" +
	"\ttenants.0.name=tulvavahti\ttenants.1.name=jokisilma"

// goldenLines returns lines of every kind, with every enumerated value that the protocol has for a field.
func goldenLines() []string {
	lines := []string{
		startLine, "born\t3\t7", "down\t3", "sheet\t1\t3", "node\t2\t7000.5\toulu\t42\tthree-core\tup\t1.5\t10.0.0.1:80",
		"node\t-\t-\t-\t41\t-\tdraining\t-\t10.0.0.2:80", "node\t3\t1\ta\t40\tk\tremoved\t2\t10.0.0.3:80",
	}
	for _, kind := range []string{"changes", "all", "remembered"} {
		lines = append(lines, "backends_changed\t3\t"+kind+"\t5\t1")
	}
	lines = append(lines, "backends_changed\t3\trefused\t5\t-")
	for bits := range 4 {
		lines = append(lines, fmt.Sprintf("req\t3\t4294967295\tlevel-read\ttulvavahti\tacct/k\t240.5\t12.5\t%d", bits))
	}
	lines = append(lines, "req\t3\t7\tlevel-read\t-\t-\t240\t-\t0",
		"flowing\t3\t7\t2\t10.0.0.1:80\t4.5", "aborted\t3\t7",
		"tick_due\t3\t9223372036854775808", "message\t3\t2\t6869", "message\t3\t2\t-")
	for i, outcome := range []string{
		"completed", "errored", "saturated", "overdue", "refused_conn", "severed", "recalled", "superseded",
	} {
		lines = append(lines,
			fmt.Sprintf("verdict\t3\t7\t%s\t10.0.0.1:80\t2\t4.5\t%d\tcpu:0.5,waiting:3,other:9", outcome, i%2),
			fmt.Sprintf("ping_result\t3\t10.0.0.1:80\t%s\t250.5\t-", outcome))
	}
	lines = append(lines, "verdict\t3\t7\tcompleted\tn\t1\t4.5\t-\twaiting:2", "ping_result\t3\tn\tcompleted\t1\tcpu:0.25")
	for _, phase := range []string{"0", "-", "1", "2", "3"} {
		lines = append(lines, "stage\t3\t310.5\t42\t"+phase+"\t0\t0.28\t2\tcompleted")
	}
	for _, result := range []string{"completed", "errored", "saturated", "overdue", "superseded"} {
		lines = append(lines, "stage\t3\t310.5\t42\t1\t1\t0.28\t2\t"+result)
	}
	return append(lines, "metrics\t3\t42\tlevel-read\t20\t2\t31.5\t900.5",
		"reported_wrong\t3\t10.0.0.1:80\tlevel-read\t1200.5")
}

// Each line decodes into the event of the golden file, with every field in its place. The golden file uses names of
// this test, which don't change when a field is renamed.
func TestGoldenEvents(t *testing.T) {
	var observed strings.Builder
	var decoder Decoder
	for _, line := range goldenLines() {
		input, err := decoder.DecodeLine(line)
		if err != nil {
			t.Fatalf("decode line %q: %v", line, err)
		}
		fmt.Fprintf(&observed, "%s  %s\n", golden.Quote([]byte(line)), describe(input))
	}
	if err := golden.CheckFile("testdata/events.golden", []byte(observed.String())); err != nil {
		t.Errorf("decoded input lines: %v", err)
	}
}

// Each action with all its fields set encodes as the line of the golden file.
func TestGoldenActions(t *testing.T) {
	var lines []byte
	for _, action := range []decision.Action{
		decision.StartAttempt{Request: 4294967295, Endpoint: "10.0.0.1:80", Timeout: 80.1234, SendBy: 99},
		decision.Reject{Request: 7, RetryAfter: 125.5},
		decision.Fail{Request: 7},
		decision.Cancel{Request: 7, Attempt: 2},
		decision.WakeAt{Token: 1 << 63, At: 8912.25},
		decision.StartHealthCheck{Endpoint: "10.0.0.1:80"},
		decision.CloseIdleConnections{Endpoint: "10.0.0.1:80"},
		decision.SendToPeer{All: true, To: 2, Data: []byte{0, 0xff}},
		decision.SendToPeer{To: 2, Data: []byte("hi")},
		decision.Log{Text: "a\tb\nc\rd ä"},
		decision.WatchEndpoints{On: true},
		decision.WatchEndpoints{},
		decision.RequestSnapshot{},
		decision.Vote{Build: 42, Stage: 1, Verdict: decision.VoteNone},
		decision.Vote{Build: 42, Stage: 1, Verdict: decision.VoteAdvance},
		decision.Vote{Build: 42, Stage: 1, Verdict: decision.VoteHold},
		decision.Vote{Build: 42, Stage: 1, Verdict: decision.VoteRollback},
	} {
		lines = AppendAction(lines, 3, action)
	}
	lines = AppendFault(lines, 3, "what\tfailed\n")
	if err := golden.CheckFile("testdata/actions.golden", []byte(golden.Quote(lines))); err != nil {
		t.Errorf("encoded output lines: %v", err)
	}
}

// describe returns the text of a decoded line in the golden file.
func describe(input *Input) string {
	switch {
	case input == nil:
		return "part of an endpoint list"
	case input.Start != nil:
		return fmt.Sprintf("instance %d starts: seed %d, error %v\n%s", input.Instance, input.Start.Seed,
			input.Start.Err, describeSettings(&input.Start.Settings))
	case input.Stop:
		return fmt.Sprintf("instance %d stops", input.Instance)
	}
	return fmt.Sprintf("instance %d: %s", input.Instance, describeEvent(input.Event))
}

func describeEvent(event decision.Event) string {
	switch event := event.(type) {
	case decision.EndpointsChanged:
		text := fmt.Sprintf("endpoints changed: kind %d, version %d", int(event.Kind), event.Version)
		for _, entry := range event.Endpoints {
			text += fmt.Sprintf("; endpoint %q cell %d started %g zone %q build %d machine type %q state %d capacity %g",
				string(entry.ID), int(entry.Cell), entry.StartedAt, string(entry.Zone), int(entry.Build),
				string(entry.MachineType), int(entry.State), entry.Capacity)
		}
		return text
	case decision.RequestReceived:
		return fmt.Sprintf("request %d: class %q tenant %q key %q TTL %g hint %g retried %t",
			uint64(event.Request), string(event.Class), string(event.Tenant),
			string(event.Key), event.Remaining, event.EstimatedServiceTime, event.Retried)
	case decision.ResponseStarted:
		return fmt.Sprintf("response started: request %d attempt %d endpoint %q after %g", uint64(event.Request),
			event.Attempt, string(event.Endpoint), event.After)
	case decision.AttemptEnded:
		return fmt.Sprintf("attempt ended: request %d outcome %d endpoint %q attempt %d after %g request ended %t load %s",
			uint64(event.Request), int(event.Outcome), string(event.Endpoint), event.Attempt, event.After,
			event.RequestEnded, describeLoad(event.Load))
	case decision.ClientDisconnected:
		return fmt.Sprintf("client disconnected: request %d", uint64(event.Request))
	case decision.TimerFired:
		return fmt.Sprintf("timer fired: %d", uint64(event.Token))
	case decision.HealthCheckEnded:
		return fmt.Sprintf("health check ended: endpoint %q outcome %d after %g load %s", string(event.Endpoint),
			int(event.Outcome), event.After, describeLoad(event.Load))
	case decision.PeerMessage:
		return fmt.Sprintf("message from peer %d: %q", int(event.From), event.Data)
	case decision.StageUpdate:
		return fmt.Sprintf("stage: age %g build %d phase %d vote result %t cap %g stage %d result %d", event.Age,
			int(event.Build), int(event.Phase), event.IsVoteResult, event.ExposureCap, event.Stage,
			int(event.VoteResult))
	case decision.ControllerCounts:
		return fmt.Sprintf("controller counts: build %d class %q count %d failed %d mean %g age %g", int(event.Build),
			string(event.Class), event.Count, event.Failed, event.Mean, event.Age)
	case decision.ResponseFlagged:
		return fmt.Sprintf("response flagged: endpoint %q class %q age %g", string(event.Endpoint),
			string(event.Class), event.Age)
	}
	return "unknown event"
}

func describeLoad(load *decision.Load) string {
	if load == nil {
		return "none"
	}
	return fmt.Sprintf("util %g queue %g", load.Utilisation, load.Queue)
}

func describeSettings(cfg *decision.Settings) string {
	lines := []string{
		fmt.Sprintf("instances %d zone %q granularity %g poll %t within %g", cfg.Instances,
			string(cfg.Zone), cfg.ClockGranularity, cfg.PollEndpoints, cfg.MaxPollInterval),
		fmt.Sprintf("prices: cross-zone %g health check %g; allowed: cancel %t hedging %t health check %t",
			cfg.CrossZonePrice, cfg.HealthCheckPrice, cfg.CancelAllowed, cfg.HedgingAllowed, cfg.HealthChecksAllowed),
		fmt.Sprintf(
			"max retry-after %g max attempts %d slow start floor %g overload factor %g slow start window %g overload window %g",
			cfg.MaxRetryAfter, cfg.MaxAttempts, cfg.SlowStartFloor, cfg.OverloadFactor, cfg.SlowStartWindow, cfg.OverloadWindow),
		fmt.Sprintf(
			"control %d in place %t caps %v stages %v free attempts %g per class %t guarded stages %d sticky keys %t flag share %g",
			int(cfg.Control), cfg.InPlace, cfg.ExposureCaps, cfg.StageShares, cfg.FreeAttempts, cfg.ExposurePerClass,
			cfg.GuardedStages, cfg.StickyKeys, cfg.FlagShare),
		fmt.Sprintf("votes: TTL %g wait %g advance quorum %d rollback quorum %d hold quorum %d; count interval %g",
			cfg.VoteTTL, cfg.VoteRetryWait, cfg.AdvanceQuorum, cfg.RollbackQuorum, cfg.HoldQuorum, cfg.CountInterval),
	}
	for _, class := range cfg.Classes {
		lines = append(lines, fmt.Sprintf("class %q objective %g idempotency %d retry scope %d dedup window %g",
			string(class.Name), class.LatencyObjective, int(class.Idempotency), int(class.RetryScope), class.DedupWindow))
	}
	for _, tenant := range cfg.Tenants {
		lines = append(lines, fmt.Sprintf("tenant %q", string(tenant)))
	}
	return "    " + strings.Join(lines, "\n    ")
}
