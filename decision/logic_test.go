package decision

import (
	"fmt"
	"math"
	"ottershed/internal/stats"
	"strings"
	"testing"
)

// A forward ended; whether the hit may be forwarded again, where to, and its answer if not.
func TestRetryScopes(t *testing.T) {
	released := StageUpdate{Build: 8, Phase: Released, Stage: 2, ExposureCap: 1}
	for _, test := range []struct {
		class    ClassName
		outcome  Outcome
		after    Millis // time passed until it ended
		zone     string // "": anywhere, "-": nowhere, "same": in the zone of the first
		response string
	}{
		{"read", EndpointFailed, 20, "", ""},
		{"read", ConnectionBroken, 20, "", ""},
		{"pay", EndpointFailed, 20, "-", "fail"},
		{"pay", ConnectionBroken, 20, "-", "fail"},
		{"pay", TimedOut, 20, "-", "fail"},
		{"pay", Canceled, 20, "-", "fail"},
		{"pay", EndpointRejected, 20, "", ""},
		{"pay", Unreachable, 20, "", ""},
		{"mark", EndpointFailed, 20, "same", ""},
		{"mark", EndpointRejected, 20, "", ""},
		{"mark", EndpointFailed, 995, "-", "fail"}, // the mark is forgotten
		{"unknown", EndpointFailed, 20, "-", "fail"},
	} {
		t.Run(fmt.Sprint(test.class, test.outcome, test.after), func(t *testing.T) {
			sim := start(t, released, nil)
			h, first := sim.request(test.class, "")
			if first == "" {
				t.Fatal("no first forward")
			}
			sim.now += test.after
			sim.endAttempt(h, 0, test.outcome, test.after)
			sim.advance(600)
			again := sim.attemptedAt(h, 1)
			if (again == "") != (test.zone == "-") || test.zone == "same" && again[0] != first[0] {
				t.Errorf("first %q, then %q", first, again)
			}
			if _, got := sim.responses(h); test.zone == "-" && got != test.response {
				t.Errorf("answer %q, want %q", got, test.response)
			}
		})
	}
}

// A further forward of a tagged hit that may have run is bound to be sent while the nodes remember the first; all others as
// long as the client waits.
func TestSendBy(t *testing.T) {
	for _, test := range []struct {
		class ClassName
		ends  []Outcome // of the forwards before
		want  Millis    // after the first forward; 0: not bound
	}{
		{"mark", nil, 0},
		{"mark", []Outcome{Unreachable}, 0},
		{"mark", []Outcome{ConnectionBroken}, 990},
		{"mark", []Outcome{ConnectionBroken, ConnectionBroken}, 990},
		{"mark", []Outcome{Unreachable, ConnectionBroken}, 1010}, // the second was sent 20 ms later
		{"read", []Outcome{ConnectionBroken}, 0},
		{"pay", []Outcome{EndpointRejected}, 0},
	} {
		t.Run(fmt.Sprint(test.class, test.ends), func(t *testing.T) {
			sim := start(t, StageUpdate{Build: 8, Phase: Released, Stage: 2, ExposureCap: 1}, nil)
			h, _ := sim.request(test.class, "")
			began := sim.now
			for i, how := range test.ends {
				sim.now += 20
				sim.endAttempt(h, i, how, 20)
			}
			if sim.attemptedAt(h, len(test.ends)) == "" {
				t.Fatal("no further forward")
			}
			last := sim.actions[len(sim.actions)-1].(StartAttempt)
			if want := test.want; want > 0 && last.SendBy != began+want || want == 0 && last.SendBy != 0 {
				t.Errorf("to be sent by %g, want %g after the first", last.SendBy-began, want)
			}
		})
	}
}

// Every hit that no node can take gets one answer, long before its own time is up, and nothing after it.
func TestOneResponse(t *testing.T) {
	for _, test := range []struct {
		name string
		ttl  Millis
		want string
	}{{"read", 1000, "bounce"}, {"pay", 1000, "bounce"}, {"mark", 30, "bounce"}, {"unknown", 1000, "bounce"}} {
		sim := start(t, trialUpdate(0, 0), nil)
		sim.handle(EndpointsChanged{Kind: FullSnapshot})
		sim.handle(RequestReceived{Request: 9, Class: ClassName(test.name), TTL: test.ttl})
		sim.advance(test.ttl)
		sim.handle(ClientDisconnected{Request: 9})
		sim.handle(AttemptEnded{Request: 9, Outcome: EndpointFailed})
		if n, got := sim.responses(9); n != 1 || got != test.want || len(sim.balancer.requests.open) != 0 {
			t.Errorf("%s: %d answers, last %q, %d hits kept", test.name, n, got, len(sim.balancer.requests.open))
		}
	}
}

func TestRejectHasRetryAfter(t *testing.T) {
	for _, may := range []bool{true, false} {
		sim := start(t, trialUpdate(0, 0), func(s *Settings) {
			if !may {
				s.MaxRetryAfter = 0
			}
		})
		sim.handle(EndpointsChanged{Kind: FullSnapshot})
		sim.request("read", "")
		sim.advance(300)
		for _, a := range sim.actions {
			if b, ok := a.(Reject); ok && (b.RetryAfter > 0) != may || ok && b.RetryAfter > sim.balancer.settings.MaxRetryAfter {
				t.Errorf("may %v: come back in %v", may, b.RetryAfter)
			}
		}
	}
}

// Nothing goes to nodes that drain, are gone, or are missing from a whole list, from that event on.
func TestDrains(t *testing.T) {
	draining := newEndpoint("a1", 7)
	draining.State = Draining
	removed := newEndpoint("a1", 7)
	removed.State = Removed
	for name, e := range map[string]EndpointsChanged{
		"draining": {Kind: Delta, Endpoints: []Endpoint{draining}},
		"removed":  {Kind: Delta, Endpoints: []Endpoint{removed}},
		"missing":  {Kind: FullSnapshot, Endpoints: []Endpoint{newEndpoint("a2", 8), newEndpoint("b1", 7), newEndpoint("b2", 8)}},
	} {
		sim := start(t, StageUpdate{Build: 8, Phase: Released, ExposureCap: 1}, nil)
		sim.handle(e)
		for range 100 {
			if h, to := sim.request("read", ""); to == "a1" {
				t.Fatalf("%s: hit sent there", name)
			} else if to != "" {
				sim.endAttempt(h, 0, Succeeded, 20)
			}
		}
	}
}

// In every window, wherever it begins and ends, forwards to the build on trial fit free + cap x hits taken.
// The first fault found: an allowance that was cut back only when a hit came let a later forward overdraw it.
func TestExposure(t *testing.T) {
	for _, test := range []struct {
		name   string
		update StageUpdate
		cap    float64 // that binds
	}{
		{"first stage", trialUpdate(0, 0.1), 0.1},
		{"middle", trialUpdate(1, 0.5), 0.5},
		{"awkward share", trialUpdate(1, 0.84), 0.84},
		{"last", trialUpdate(2, 1), 1},
		{"told nothing yet", StageUpdate{}, 0.1},
		{"unannounced", StageUpdate{Build: 7, Phase: Released, Stage: 2, ExposureCap: 1}, 0.1},
		{"going back", StageUpdate{Build: 8, Phase: RollingBack, ExposureCap: 0}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			sim := start(t, test.update, nil)
			sim.handle(EndpointsChanged{Kind: FullSnapshot, Endpoints: []Endpoint{newEndpoint("a2", 8)}}) // nothing else would take them
			var took, sent []Millis
			for i := range 300 {
				sim.now += []Millis{0, 0, 3, 40, 0, 7}[i%6]
				sim.lastID++
				events := []Event{RequestReceived{Request: sim.lastID, Class: "read", TTL: 1000}, TimerFired{}}
				took = append(took, sim.now)
				for _, e := range events[:1+i%2] {
					for _, a := range sim.handle(e) {
						if f, ok := a.(StartAttempt); ok {
							sent = append(sent, sim.now)
							sim.handle(AttemptEnded{Request: f.Request, Outcome: Succeeded, Endpoint: f.Endpoint, After: 5, RequestEnded: true})
						}
					}
				}
			}
			for i := range sent {
				for j := i; j < len(sent); j++ {
					n := 0
					for _, at := range took {
						if at >= sent[i] && at <= sent[j] {
							n++
						}
					}
					if float64(j-i+1) > 1+test.cap*float64(n)+1e-9 {
						t.Fatalf("%d forwards on %d hits from %v to %v", j-i+1, n, sent[i], sent[j])
					}
				}
			}
			if test.cap == 0 && len(sent) > 0 || test.cap > 0 && len(sent) < int(250*test.cap*test.cap) {
				t.Errorf("%d forwards", len(sent))
			}
		})
	}
}

func TestExposurePerClass(t *testing.T) {
	for _, perClass := range []bool{false, true} {
		sim := start(t, trialUpdate(0, 0.1), func(s *Settings) { s.ExposurePerClass = perClass })
		sim.handle(EndpointsChanged{Kind: FullSnapshot, Endpoints: []Endpoint{newEndpoint("a2", 8)}})
		h, first := sim.request("read", "")
		sim.endAttempt(h, 0, Succeeded, 20)
		if _, second := sim.request("pay", ""); first != "a2" || (second == "a2") != perClass {
			t.Errorf("per group %v: %q then %q", perClass, first, second)
		}
	}
}

// In guarded stages only hits that may run again go to the build on trial.
func TestGuardedStage(t *testing.T) {
	for _, test := range []struct {
		stage int
		class ClassName
		may   bool
	}{
		{0, "read", true},
		{0, "mark", false},
		{0, "pay", false},
		{0, "unknown", false},
		{1, "mark", true},
		{1, "pay", true},
	} {
		sim := start(t, trialUpdate(test.stage, 1), func(s *Settings) { s.GuardedStages = 1 })
		sim.handle(EndpointsChanged{Kind: FullSnapshot, Endpoints: []Endpoint{newEndpoint("a2", 8)}})
		if _, to := sim.request(test.class, ""); (to != "") != test.may {
			t.Errorf("stage %d %s: sent to %q", test.stage, test.class, to)
		}
	}
}

// A key that the build on trial answered goes to no earlier one until the build goes back; at the cap or in a
// guarded stage it is bounced.
func TestStickyKeys(t *testing.T) {
	sim := start(t, trialUpdate(1, 1), func(s *Settings) { s.StickyKeys = true })
	sim.handle(EndpointsChanged{Kind: FullSnapshot, Endpoints: []Endpoint{newEndpoint("a2", 8)}})
	h, to := sim.request("read", "k")
	if to != "a2" {
		t.Fatalf("sent to %q", to)
	}
	sim.endAttempt(h, 0, Succeeded, 20)
	sim.handle(EndpointsChanged{Kind: FullSnapshot, Endpoints: []Endpoint{newEndpoint("a1", 7)}})
	for _, test := range []struct {
		update StageUpdate
		may    bool
	}{
		{trialUpdate(2, 1), false},
		{StageUpdate{Build: 8, Phase: Released, ExposureCap: 1}, false},
		{StageUpdate{Build: 8, Phase: RollingBack}, true},
	} {
		sim.handle(test.update)
		h, to := sim.request("read", "k")
		sim.advance(300)
		if n, how := sim.responses(h); (to == "a1") != test.may || !test.may && (n != 1 || how != "bounce") {
			t.Errorf("%+v: sent to %q, %d answers %q", test.update, to, n, how)
		}
		o, other := sim.request("read", "other")
		if sim.endAttempt(o, 0, Succeeded, 20); other != "a1" {
			t.Errorf("another key went to %q", other)
		}
	}
}

// Cold nodes get no more than warm ones of like units answer, by their least warmth, with the room that the
// rule leaves; also where no other nodes are left, and a burst comes at once.
func TestSlowStart(t *testing.T) {
	for _, onlyWarming := range []bool{false, true} {
		sim := start(t, StageUpdate{Build: 7, Phase: Released, ExposureCap: 1}, func(s *Settings) {
			s.Classes[0].LatencyObjective, s.CrossZonePrice = 200, 0.02
		})
		for range 400 { // 40 ms apart: each warm node gives 12 answers a second
			sim.advance(40)
			sim.request("read", "")
			sim.respond("", 20)
		}
		warming := newEndpoint("a9", 7)
		warming.Started = sim.now
		list := []Endpoint{warming, newEndpoint("a1", 7), newEndpoint("b1", 7)}
		if onlyWarming {
			list = list[:1]
		}
		sim.handle(EndpointsChanged{Kind: FullSnapshot, Endpoints: list})
		sent, from, rate := 0, sim.now, sim.balancer.load.serviceRate
		for range 60 {
			sim.advance(10)
			sim.request("read", "")
			sent += sim.respond("a9", 2)
			rate = max(rate, sim.balancer.load.serviceRate)
		}
		// The rule's multiple of its least power at the end, over the time and one window.
		most := sim.balancer.settings.OverloadFactor * rate * sim.balancer.slowStartWeight(sim.balancer.endpoints.byID["a9"]) * (sim.now - from + sim.balancer.settings.OverloadWindow)
		if rate <= 0 || sent == 0 || float64(sent) > most+1 {
			t.Errorf("only cold %v: %d forwards, at most %v", onlyWarming, sent, most)
		}
	}
}

// Many marshals with little traffic send a cold node no more than their answers allow: all of them together
// were once let off with one forward each at its start, and one a second after.
func TestSlowStartAcrossInstances(t *testing.T) {
	sent, rate := 0, 0.0
	for seed := range 60 {
		sim := start(t, StageUpdate{Build: 7, Phase: Released, ExposureCap: 1}, nil)
		sim.balancer.random.Seed = uint64(seed+1) * 0x9e3779b97f4a7c15
		for range 20 {
			sim.advance(500)
			sim.request("read", "")
			sim.respond("", 20)
		}
		warming := newEndpoint("a9", 7)
		warming.Started, rate = sim.now, rate+sim.balancer.load.serviceRate
		sim.handle(EndpointsChanged{Kind: FullSnapshot, Endpoints: []Endpoint{warming}})
		for range 10 {
			sim.advance(sim.balancer.settings.OverloadWindow / 10)
			sim.request("read", "")
			sent += sim.respond("a9", 20)
		}
	}
	if most := rate * 0.4 * 2.5 * 1000; sent == 0 || float64(sent) > most {
		t.Errorf("%d forwards, at most %v", sent, most)
	}
}

// A node that was out of reach counts as cold from its first answer: it may have restarted unseen.
func TestRecoveryAfterSilence(t *testing.T) {
	sim := start(t, StageUpdate{Build: 8, Phase: Released, ExposureCap: 1}, nil)
	n := sim.balancer.endpoints.byID["a1"]
	sim.balancer.eject(n)
	sim.now += 100
	sim.balancer.responded(n)
	if w := sim.balancer.slowStartWeight(n); w != 0.4 || n.ejections != 0 {
		t.Errorf("warmth %v, strikes %d", w, n.ejections)
	}
}

// The one hit that tries a struck node out stays there until it is answered or silence says more; moved off
// at once, as it first was, it never brought a node back.
func TestEjectedEndpointProbed(t *testing.T) {
	sim := start(t, StageUpdate{Build: 8, Phase: Released, ExposureCap: 1}, nil)
	sim.handle(EndpointsChanged{Kind: FullSnapshot, Endpoints: []Endpoint{newEndpoint("a2", 8)}})
	sim.balancer.eject(sim.balancer.endpoints.byID["a2"])
	sim.advance(300)
	h, to := sim.request("read", "")
	sim.advance(60)
	sim.endAttempt(h, 0, Succeeded, 60)
	if to != "a2" || sim.balancer.endpoints.byID["a2"].ejections != 0 {
		t.Errorf("sent to %q, strikes %d", to, sim.balancer.endpoints.byID["a2"].ejections)
	}
	for _, a := range sim.actions {
		if _, ok := a.(Cancel); ok {
			t.Error("called off")
		}
	}
}

// Hits that may run again leave a silent node; others are never sent twice.
func TestSilentEndpoint(t *testing.T) {
	for _, test := range []struct {
		class ClassName
		copy  bool
		want  string
	}{{"read", false, "cancel"}, {"read", true, "copy"}, {"pay", false, ""}, {"pay", true, ""}} {
		sim := start(t, StageUpdate{Build: 8, Phase: Released, ExposureCap: 1}, func(s *Settings) { s.HedgingAllowed = test.copy })
		silent, at := sim.request(test.class, "")
		for sim.now < 10950 { // other hits are answered, and keep away from it
			if h, to := sim.request("read", ""); to != "" && to != at {
				sim.endAttempt(h, 0, Succeeded, 20)
			}
			sim.advance(20)
		}
		got := ""
		for _, a := range sim.actions {
			if x, ok := a.(Cancel); ok && x.Request == silent {
				got = "cancel"
			}
		}
		if sim.attemptedAt(silent, 1) != "" {
			got = "copy"
		}
		if got != test.want {
			t.Errorf("%s, copies %v: %q", test.class, test.copy, got)
		}
	}
}

// judged feeds outcomes of both builds and returns the votes cast.
func judgedHarness(t *testing.T, change func(*Settings), candidate func(i int) (Outcome, Millis)) *harness {
	sim := start(t, StageUpdate{Build: 7, Phase: Released, ExposureCap: 1}, change)
	play := func(n int, of func(i int) (Outcome, Millis)) {
		for i := range n {
			h, to := sim.request("read", "")
			if to == "" {
				sim.advance(100)
				continue
			}
			how, after := Succeeded, Millis(20+i*7%13)
			if of != nil && sim.balancer.endpoints.byID[to].Build == 8 {
				how, after = of(i)
			}
			sim.advance(40)
			sim.endAttempt(h, 0, how, after)
			if f := sim.attemptedAt(h, 1); f != "" {
				sim.endAttempt(h, 1, Succeeded, 25)
			}
		}
	}
	play(120, nil)
	sim.handle(trialUpdate(1, 0.5))
	play(300, candidate)
	return sim
}

func TestVotes(t *testing.T) {
	like := func(i int) (Outcome, Millis) { return Succeeded, Millis(20 + i*7%13) }
	slow := func(i int) (Outcome, Millis) { return Succeeded, Millis(50 + i*7%13) }
	faster := func(i int) (Outcome, Millis) { return Succeeded, Millis(10 + i*7%13) }
	fails := func(i int) (Outcome, Millis) {
		if i%3 == 0 {
			return EndpointFailed, 5
		}
		return like(i)
	}
	clock := func(s *Settings) { s.Control = ByClock }
	halt := func(s *Settings) { s.Halt = true }
	haltClock := func(s *Settings) { s.Control, s.Halt = ByClock, true }
	for _, test := range []struct {
		name      string
		change    func(*Settings)
		candidate func(int) (Outcome, Millis)
		has, not  string
	}{
		{"alike", nil, like, "1", "3"},
		{"faster", nil, faster, "1", "3"},
		{"slower", nil, slow, "3", ""},
		{"failing", nil, fails, "3", ""},
		{"alike under a clock", clock, like, "", "123"},
		{"slower under a clock", clock, slow, "3", "1"},
		{"alike, halted", halt, like, "", "123"},
		{"slower, halted", halt, slow, "3", "1"},
		{"alike under a clock, halted", haltClock, like, "2", "13"},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := judgedHarness(t, test.change, test.candidate).votes()
			if !strings.Contains(got, test.has) || test.not != "" && strings.ContainsAny(got, test.not) {
				t.Errorf("votes %q, want %q and none of %q", got, test.has, test.not)
			}
		})
	}
}

// The blind vote that opens the whole fleet takes outcomes of warm nodes; on cold ones a slow build passed.
func TestBlindVote(t *testing.T) {
	for _, test := range []struct {
		stage, outcomes, warm int
		want                  Verdict
	}{{0, 5, 0, VoteAdvance}, {0, 1, 0, VoteNone}, {1, 6, 0, VoteNone}, {1, 6, 11, VoteAdvance}, {2, 30, 9, VoteNone}} {
		sim := start(t, trialUpdate(test.stage, 0.5), func(s *Settings) { s.Instances = 3 })
		sim.balancer.endpoints.byID["a2"].outcomes[sim.balancer.classes.overall.index].Good = float64(test.outcomes)
		sim.balancer.classes.overall.candidate.Fill = make([]float64, test.warm)
		sim.balancer.now += blindVoteDelay
		if got := sim.balancer.verdict(); got.verdict != test.want {
			t.Errorf("%+v: %v, %s", test, got.verdict, got.reason)
		}
	}
}

// Slowness of all nodes sends a build back while on trial and for some time after the release, not later.
func TestAllSlower(t *testing.T) {
	for _, test := range []struct {
		phase Phase
		age   Millis
		want  Verdict
	}{{InTrial, 60000, VoteRollback}, {Released, 5000, VoteRollback}, {Released, 60000, VoteNone}} {
		sim := start(t, StageUpdate{Build: 8, Phase: test.phase, Stage: 2, ExposureCap: 1, Age: test.age}, nil)
		sim.balancer.classes.overall.slowdown.rejections = 8 * rejectionsToRollback
		if got := sim.balancer.verdict(); got.verdict != test.want {
			t.Errorf("%+v: %v, %s", test, got.verdict, got.reason)
		}
	}
}

// Lost nodes crowd the rest, so slowness sends no build back until a warm-up time after the last was found,
// nor while one is found out of reach again and again: a thin marshal tried it out too seldom to be reminded.
func TestSlowDuringFault(t *testing.T) {
	for _, test := range []struct {
		ago    Millis
		found  int // times in a row
		ticked bool
		want   Verdict
	}{
		{0, 1, false, VoteNone},
		{3900, 1, false, VoteNone},
		{4000, 1, true, VoteRollback},
		{9000, 2, true, VoteNone},
	} {
		sim := start(t, trialUpdate(1, 0.5), nil)
		sim.balancer.classes.ordered[0].rejections = rejectionsToRollback
		for range test.found {
			sim.balancer.observeEndpoint(sim.balancer.endpoints.byID["b1"], AttemptEnded{Outcome: Unreachable, After: 250})
			sim.balancer.endpoints.byID["b1"].ejectedUntil = 0
		}
		if sim.balancer.now += test.ago; test.ticked {
			sim.balancer.tick()
		}
		if got := sim.balancer.verdict(); got.verdict != test.want {
			t.Errorf("%+v: %v, %s", test, got.verdict, got.reason)
		}
	}
}

// A node that falls silent once is no trouble that slowness could come of: on fleet-1 of the sockets' bench, under a
// build that slowed all nodes, such silence took the evidence away for seconds, again and again.
func TestOneSilentEndpoint(t *testing.T) {
	sim := start(t, trialUpdate(1, 0.5), nil)
	sim.balancer.classes.ordered[0].rejections = rejectionsToRollback
	n := sim.balancer.endpoints.byID["b1"]
	n.inFlight, n.lastResponseAt = 1, sim.now-10000
	sim.balancer.tick()
	if got := sim.balancer.verdict(); n.ejections != 1 || got.verdict != VoteRollback {
		t.Errorf("struck %d times: %v, %s", n.ejections, got.verdict, got.reason)
	}
}

// Against the time before the trial each group counts by how many gaps it is slower, four at most; one that is not
// begins the count anew.
func TestGaps(t *testing.T) {
	sim := start(t, StageUpdate{Build: 7, Phase: Released, ExposureCap: 1}, nil)
	for i := range 2 * groupSize {
		sim.balancer.classes.overall.add(false, 100+float64(i%groupSize))
	}
	sim.balancer.classes.overall.baselineLatency.Add(100, latencySamples)
	sim.handle(trialUpdate(1, 0.5))
	b := sim.balancer.classes.overall.slowdown
	for _, test := range []struct {
		times float64
		want  int
	}{{1.3, 0}, {1.6, 2}, {2, 5}, {4, 9}, {math.Inf(1), 9}, {1, 0}, {1000, 4}} {
		for i := range groupSize {
			sim.balancer.compareBeforeTrial(b, test.times*(100+float64(i)), 1)
		}
		if b.rejections != test.want {
			t.Errorf("%g times slower: count %d, want %d", test.times, b.rejections, test.want)
		}
	}
}

// Failures at one of several trial nodes are that node's trouble.
func TestOneFailingEndpoint(t *testing.T) {
	for _, test := range []struct {
		bad  []float64 // failures among 30 outcomes, by trial node
		back bool
	}{
		{[]float64{20, 0}, false},
		{[]float64{10, 10}, true},
		{[]float64{20}, true},
		{[]float64{20, 0, 0, 0, 0}, false},
	} {
		sim := start(t, trialUpdate(1, 0.5), nil)
		var list []Endpoint
		for i := range test.bad {
			list = append(list, newEndpoint(EndpointID(fmt.Sprint("a", i)), 8))
		}
		sim.handle(EndpointsChanged{Kind: FullSnapshot, Endpoints: append(list, newEndpoint("a9", 7))})
		sim.balancer.endpoints.byID["a9"].outcomes[0].Good = 90
		for i, bad := range test.bad {
			outcomes := &sim.balancer.endpoints.byID[list[i].ID].outcomes[0]
			outcomes.Good, outcomes.Bad = 30-bad, bad
		}
		for _, left := range []bool{false, true} { // it still counts when the last earlier node has left
			if left {
				sim.handle(EndpointsChanged{Kind: FullSnapshot, Endpoints: list})
			}
			if found := sim.balancer.failureEvidence(); (found.strength >= 1) != test.back {
				t.Errorf("%v, left %v: statistic %v", test.bad, left, found.strength)
			}
		}
	}
}

// One group that was fast by chance must not make a build look slow.
func TestSlower(t *testing.T) {
	twenty := func(v float64) (out []float64) {
		for i := range groupSize {
			out = append(out, v+float64(i)/100)
		}
		return out
	}
	for _, test := range []struct {
		older, baseline, got float64
		want                 bool
	}{
		{1, 1, 2, true},
		{2, 1, 2, false},
		{1, 2, 2, false},
		{1, 1, 1.1, false},
		{1, 1, 0.5, false},
		{1, 1, math.Inf(1), false},
	} { // failures are counted by node
		g := &comparison{baseline: stats.Groups{Before: twenty(test.older), Last: twenty(test.baseline)}}
		if got := g.slower(twenty(test.got), 1); got != test.want {
			t.Errorf("%+v: %v", test, got)
		}
	}
	if g := (&comparison{baseline: stats.Groups{Last: twenty(1)}}); g.slower(twenty(2), 1) {
		t.Error("slower than a single group")
	}
}

// The same events bring the same actions.
func TestAlike(t *testing.T) {
	run := func() string {
		sim := start(t, trialUpdate(1, 0.5), nil)
		for i := range 200 {
			h, to := sim.request([]ClassName{"read", "mark", "pay"}[i%3], Key(fmt.Sprint(i%9)))
			sim.advance(20)
			if to != "" && i%4 > 0 {
				sim.endAttempt(h, 0, Outcome(i%6), 30)
			}
		}
		return fmt.Sprint(sim.actions)
	}
	if run() != run() {
		t.Error("two runs differ")
	}
}

// The desk's counts of all forwards: equal builds are voted on; a failing or slow one goes back, but not for
// what nodes leave unanswered under both builds.
func TestControllerCounts(t *testing.T) {
	for _, test := range []struct {
		name                            string
		baselineFailed, candidateFailed int // of 40
		candidateMean                   Millis
		errors                          bool
		want                            string
	}{
		{"alike", 0, 0, 50, true, "1"},
		{"failing", 0, 20, 50, true, "3"},
		{"unanswered, at both", 20, 20, 50, false, "1"},
		{"unanswered, more at the new ones", 10, 20, 50, false, "1"},
		{"slow", 0, 0, 150, true, "3"},
	} {
		sim := start(t, StageUpdate{Build: 7, Phase: Released, ExposureCap: 1}, func(s *Settings) { s.CountInterval = 500 })
		list := []Endpoint{newEndpoint("a1", 7), newEndpoint("b1", 7)}
		for i := range 20 {
			list = append(list, newEndpoint(EndpointID(fmt.Sprint("a3", i)), 8))
		}
		sim.handle(EndpointsChanged{Kind: FullSnapshot, Endpoints: list})
		if test.errors {
			sim.balancer.trial.unsuccessful.Bad = 40
		}
		for i := range 10 {
			if i == 4 {
				sim.handle(trialUpdate(0, 0.1))
			}
			sim.advance(500)
			sim.handle(ControllerCounts{Build: 7, Class: "read", Count: 40, Failed: test.baselineFailed, Mean: 50})
			if i >= 5 {
				sim.handle(ControllerCounts{Build: 8, Class: "read", Count: 40, Failed: test.candidateFailed, Mean: test.candidateMean})
			}
		}
		if got := strings.TrimLeft(sim.votes(), "0"); !strings.HasPrefix(got, test.want) || test.want == "" && got != "" {
			t.Errorf("%s: votes %q, want %q", test.name, got, test.want)
		}
	}
}

// How much evidence one marshal needs follows from how many judge and how many votes decide.
func TestRequiredEvidence(t *testing.T) {
	for _, test := range []struct{ instances, back, rejections int }{
		{3, 1, 2},
		{5, 1, 2},
		{60, 1, 3},
		{470, 1, 3},
		{200, 16, 1},
	} {
		sim := start(t, trialUpdate(0, 0.1), func(s *Settings) { s.Instances, s.RollbackQuorum = test.instances, test.back })
		if sim.balancer.classes.overall.rejectionsNeeded != test.rejections || sim.balancer.proof.statistic < rejectStatistic || (test.back == 1) != (sim.balancer.proof.statistic > 1.9*rejectStatistic) {
			t.Errorf("%+v: %d rejections, statistic %v", test, sim.balancer.classes.overall.rejectionsNeeded, sim.balancer.proof.statistic)
		}
	}
}

// While much is missed, a hit goes to the first node whose probe comes back as from an idle one, at the
// latest to the best of three; without answers it goes by what is known.
func TestHealthChecks(t *testing.T) {
	for _, test := range []struct {
		name   string
		missed float64
		takes  []Millis // what the probes take; below 0: no answer
		probes int
	}{
		{"little missed", 0.01, nil, 0},
		{"idle", 0.3, []Millis{1}, 1},
		{"busy, then idle", 0.3, []Millis{3, 1}, 2},
		{"all busy", 0.3, []Millis{3, 2, 4}, 3},
		{"no answer", 0.3, []Millis{-1, -1, -1}, 3},
	} {
		sim := start(t, StageUpdate{Build: 8, Phase: Released, ExposureCap: 1},
			func(s *Settings) { s.HealthChecksAllowed, s.HealthCheckPrice = true, 0.01 })
		sim.balancer.checks.missedShare, sim.balancer.checks.baseline = test.missed, [2]Millis{1, 1}
		sim.request("read", "")
		checks, best, at := 0, EndpointID(""), Millis(99)
		for i := 0; i < len(sim.actions); i++ {
			p, ok := sim.actions[i].(StartHealthCheck)
			if !ok {
				continue
			}
			took := test.takes[checks]
			if checks++; took > 0 {
				if took < at {
					best, at = p.Endpoint, took
				}
				sim.handle(HealthCheckEnded{Endpoint: p.Endpoint, Outcome: Succeeded, After: took})
			}
			sim.now += 2 * sim.balancer.settings.ClockGranularity
			sim.handle(TimerFired{Token: 1})
		}
		if to := sim.attemptedAt(1, 0); to == "" || best != "" && to != best || checks != test.probes {
			t.Errorf("%s: %d probes, best %q, sent to %q", test.name, checks, best, to)
		}
	}
}

// While most answers of every path group and tenant take long, less goes out at once, and hits bounce early;
// slow answers of one tenant are no lack of power.
func TestOverloaded(t *testing.T) {
	for _, test := range []struct {
		slow    map[TenantID]bool
		limited bool
	}{{nil, false}, {map[TenantID]bool{"x": true}, false}, {map[TenantID]bool{"x": true, "y": true}, true}} {
		sim := start(t, StageUpdate{Build: 8, Phase: Released, ExposureCap: 1}, nil)
		for i := range 80 {
			who := TenantID("xy"[i%2 : i%2+1])
			sim.lastID++
			sim.handle(RequestReceived{Request: sim.lastID, Class: sim.balancer.classes.ordered[i%3].Name, Tenant: who, TTL: 1000})
			sim.advance(20)
			if after := 20.0; sim.attemptedAt(sim.lastID, 0) != "" {
				if test.slow[who] {
					after = 300
				}
				sim.endAttempt(sim.lastID, 0, Succeeded, after)
			}
		}
		if (sim.balancer.load.limit < 2) != test.limited {
			t.Errorf("slow %v: limit %v", test.slow, sim.balancer.load.limit)
		}
	}
}

// The limit on all forwards never reaches nothing. Forwards at silent nodes that ended after they were counted took it
// there, and a marshal bounced every hit for the rest of the day (simulated, on an earlier deployment).
func TestLimitComesBack(t *testing.T) {
	sim := start(t, StageUpdate{Build: 8, Phase: Released, ExposureCap: 1}, nil)
	h, _ := sim.request("read", "")
	sim.balancer.load.slowShare, sim.balancer.load.unresponsive = 1, 3
	for _, s := range sim.balancer.load.slowShares {
		*s = 1
	}
	sim.endAttempt(h, 0, Succeeded, 1000)
	sim.advance(sim.balancer.tickInterval) // counts the stuck ones anew
	if _, to := sim.request("read", ""); sim.balancer.load.limit > 1 || to == "" {
		t.Errorf("limit %v, the next hit went to %q", sim.balancer.load.limit, to)
	}
}

// While nodes refuse connections at once, idle ones are closed after use, so that other marshals find room; slow
// handshakes that run out of time are no refusal, and closing would bring more of them.
func TestCloseIdle(t *testing.T) {
	for _, test := range []struct {
		after  Millis // until unreachable
		closes bool
	}{{0.5, true}, {250, false}} {
		sim := start(t, StageUpdate{Build: 8, Phase: Released, ExposureCap: 1}, nil)
		for i := range 20 {
			sim.advance(100)
			h, to := sim.request("read", "")
			if i%4 == 0 && to != "" {
				sim.endAttempt(h, 0, Unreachable, test.after)
			}
			sim.respond("", 20)
		}
		closed := 0
		for _, a := range sim.actions {
			if _, ok := a.(CloseIdle); ok {
				closed++
			}
		}
		if (closed > 0) != test.closes {
			t.Errorf("unreachable after %v: %d closed", test.after, closed)
		}
	}
}

// An answer that can't be read leaves its node in use, and its hit is sent again only where it may run twice.
func TestMalformedResponse(t *testing.T) {
	for _, test := range []struct {
		class    ClassName
		attempts int
		last     string
	}{{"read", 2, ""}, {"mark", 2, ""}, {"pay", 1, "fail"}} {
		sim := start(t, StageUpdate{Build: 8, Phase: Released, ExposureCap: 1}, nil)
		h, id := sim.request(test.class, "")
		sim.endAttempt(h, 0, MalformedResponse, 50)
		if _, last := sim.responses(h); last != test.last || (sim.attemptedAt(h, 1) != "") != (test.attempts == 2) {
			t.Errorf("%s: answered %q, then sent to %q", test.class, last, sim.attemptedAt(h, 1))
		}
		if n := sim.balancer.endpoints.byID[id]; n.ejections != 0 || n.ejectedUntil > sim.now || sim.balancer.outliers.lastFaultAt == sim.now || sim.balancer.slowStartWeight(n) < 1 {
			t.Errorf("%s: strikes %d, shut for %v, warmth %v", test.class, n.ejections, n.ejectedUntil-sim.now, sim.balancer.slowStartWeight(n))
		}
	}
}

// What nothing can come of any more is answered at once: an error where it may have run, else a bounce.
func TestExpired(t *testing.T) {
	for name, test := range map[string]struct {
		class   ClassName
		outcome Outcome
		most    int
		last    string
	}{
		"may have run":           {"pay", ConnectionBroken, 4, "fail"},
		"may run again":          {"read", ConnectionBroken, 4, ""},
		"no forward is left":     {"read", ConnectionBroken, 1, "bounce"},
		"nor for what never ran": {"pay", Unreachable, 1, "bounce"},
	} {
		t.Run(name, func(t *testing.T) {
			sim := start(t, StageUpdate{Build: 8, Phase: Released, ExposureCap: 1}, func(s *Settings) { s.MaxAttempts = test.most })
			h, _ := sim.request(test.class, "")
			for _, n := range sim.balancer.endpoints.ordered {
				n.ejectedUntil = sim.now + 5000 // there is no other
			}
			sim.endAttempt(h, 0, test.outcome, 1)
			if n, last := sim.responses(h); last != test.last || n > 1 {
				t.Errorf("%d answers, the last a %q", n, last)
			}
		})
	}
}

// Where connections break at all nodes alike, a break or two strike none of them; where none did, the first does, and
// one that doesn't come up in its time always does.
func TestBrokenConnections(t *testing.T) {
	for name, test := range map[string]struct {
		share    float64
		outcomes []AttemptEnded
		ejected  bool
	}{
		"the first break":        {0, []AttemptEnded{{Outcome: ConnectionBroken}}, true},
		"breaks are usual":       {0.1, []AttemptEnded{{Outcome: ConnectionBroken}, {Outcome: ConnectionBroken}}, false},
		"many in a row":          {0.1, []AttemptEnded{{Outcome: ConnectionBroken}, {Outcome: Unreachable}, {Outcome: Unreachable}, {Outcome: Unreachable}, {Outcome: Unreachable}}, true},
		"with an answer between": {0.1, []AttemptEnded{{Outcome: ConnectionBroken}, {Outcome: ConnectionBroken}, {Outcome: EndpointFailed}, {Outcome: ConnectionBroken}, {Outcome: ConnectionBroken}}, false},
		"never comes up":         {0.1, []AttemptEnded{{Outcome: Unreachable, After: 250}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			sim := start(t, StageUpdate{Build: 8, Phase: Released, ExposureCap: 1}, nil)
			sim.balancer.outliers.brokenShare = test.share
			n := sim.balancer.endpoints.byID["a2"]
			for _, e := range test.outcomes {
				sim.balancer.observeEndpoint(n, e)
			}
			if n.ejections > 0 != test.ejected {
				t.Errorf("struck %d times", n.ejections)
			}
		})
	}
}

// A single trial node that fails is no proof while one of the earlier build fails alike, nor the only one of several
// that was asked anything: on the scored reload day a good build went back by two failures that a thin marshal saw.
func TestSingleCandidateEndpoint(t *testing.T) {
	for _, test := range []struct {
		baseline float64 // failures among 30 at one of two nodes
		others   int     // trial nodes that were asked nothing yet
		back     bool
	}{{0, 0, true}, {1, 0, true}, {25, 0, false}, {0, 3, false}} {
		sim := start(t, trialUpdate(0, 0.1), nil)
		list := []Endpoint{newEndpoint("a1", 7), newEndpoint("b1", 7), newEndpoint("a2", 8)}
		for i := range test.others {
			list = append(list, newEndpoint(EndpointID(fmt.Sprint("b", 2+i)), 8))
		}
		sim.handle(EndpointsChanged{Kind: FullSnapshot, Endpoints: list})
		for id, bad := range map[EndpointID]float64{"a1": test.baseline, "b1": 0, "a2": 25} {
			sim.balancer.endpoints.byID[id].outcomes[0] = stats.Count{Good: 30 - bad, Bad: bad}
		}
		if found := sim.balancer.failureEvidence(); (found.strength >= 1) != test.back {
			t.Errorf("blue fails %v times, %d others: statistic %v", test.baseline, test.others, found.strength)
		}
	}
}

// Where one of hundreds can stop the clock, one chance rejection must not: a hold takes as many in a row as
// the share of marshals that holds asks for; where a tenth of twenty hold, fewer.
func TestHoldQuorum(t *testing.T) {
	for _, test := range []struct{ instances, hold, rejects int }{
		{3, 1, 2},
		{17, 2, 2},
		{280, 1, 3},
		{650, 0, 3},
		{280, 28, 1},
	} {
		for rejects, want := range []Verdict{VoteNone, VoteNone, VoteNone, VoteNone} {
			if rejects >= test.rejects {
				want = VoteHold
			}
			sim := start(t, trialUpdate(1, 0.5), func(s *Settings) {
				s.Instances, s.HoldQuorum, s.RollbackQuorum, s.Control = test.instances, test.hold, test.instances, ByClock
			})
			sim.balancer.classes.ordered[0].rejections, sim.balancer.outliers.lastFaultAt = rejects, sim.balancer.now // no back: the hold alone is judged
			if got := sim.balancer.verdict(); rejects > 0 && got.verdict != want {
				t.Errorf("%+v with %d rejections: %v, %s", test, rejects, got.verdict, got.reason)
			}
		}
	}
}

// While most of the capacity is cold, as at the last stage of an in-place swap, slowness sends no build back:
// the warm few take everything. Once warm, it does.
func TestSlowStartTurnover(t *testing.T) {
	for _, test := range []struct {
		age  Millis // of the build on trial's nodes, since their start
		want Verdict
	}{{500, VoteNone}, {2000, VoteNone}, {3500, VoteRollback}, {9000, VoteRollback}} {
		sim := start(t, trialUpdate(2, 1), nil)
		for _, id := range []EndpointID{"a1", "b1"} { // the earlier build has drained
			sim.balancer.endpoints.byID[id].State = Draining
		}
		for _, id := range []EndpointID{"a2", "b2"} {
			sim.balancer.endpoints.byID[id].warmingSince = sim.balancer.now - test.age
		}
		sim.balancer.classes.ordered[0].rejections = rejectionsToRollback
		sim.balancer.tick()
		if sim.balancer.now += 4500; test.age < 9000 {
			for _, id := range []EndpointID{"a2", "b2"} {
				sim.balancer.endpoints.byID[id].warmingSince = sim.balancer.now - test.age
			}
		}
		sim.balancer.tick()
		if got := sim.balancer.verdict(); got.verdict != test.want {
			t.Errorf("%+v: %v, %s", test, got.verdict, got.reason)
		}
	}
}

// New figures reach a running marshal: what it has taken stays open and gets one answer, the proof follows the
// new figures, and the same step leads back.
func TestSettingsChange(t *testing.T) {
	sim := start(t, trialUpdate(1, 0.5), func(s *Settings) { s.Instances = 3 })
	was := sim.balancer.settings
	id, to := sim.request("pay", "")
	if to == "" {
		t.Fatal("the hit was not forwarded")
	}
	next := was
	next.Instances, next.HoldQuorum, next.RollbackQuorum, next.Control = 600, 1, 30, ByClock
	sim.handle(SettingsChanged{Settings: next})
	if sim.balancer.proof.holdRejections != 3 || sim.balancer.classes.overall.rejectionsNeeded != 1 || sim.balancer.settings.Control != ByClock || len(sim.balancer.requests.open) != 1 {
		t.Errorf("after the change: hold after %d, back after %d, control %v, %d open", sim.balancer.proof.holdRejections,
			sim.balancer.classes.overall.rejectionsNeeded, sim.balancer.settings.Control, len(sim.balancer.requests.open))
	}
	sim.endAttempt(id, 0, Succeeded, 30)
	if n, _ := sim.responses(id); n != 0 || len(sim.balancer.requests.open) != 0 {
		t.Errorf("a delivered hit: %d answers of the marshal's own, %d open", n, len(sim.balancer.requests.open))
	}
	if sim.attemptedAt(id, 1) != "" {
		t.Error("the hit was sent twice")
	}
	sim.handle(SettingsChanged{Settings: was})
	if sim.balancer.proof.holdRejections != 2 || sim.balancer.classes.overall.rejectionsNeeded != 2 || sim.balancer.settings.Control != ByVotes || sim.balancer.settings.SlowStartWindow != was.SlowStartWindow {
		t.Errorf("back: hold after %d, back after %d, control %v", sim.balancer.proof.holdRejections, sim.balancer.classes.overall.rejectionsNeeded, sim.balancer.settings.Control)
	}
}

// What a marshal that is gone had seen goes on at another as if seen there, once: the counts that prove a build bad, the
// groups that prove it slow. One whose own was taken over begins anew.
func TestEvidenceAcquired(t *testing.T) {
	slow := func(i int) (Outcome, Millis) { return Succeeded, Millis(50 + i*7%13) }
	fails := func(i int) (Outcome, Millis) {
		if i%3 == 0 {
			return EndpointFailed, 5
		}
		return Succeeded, Millis(20 + i*7%13)
	}
	for name, candidate := range map[string]func(int) (Outcome, Millis){"slow": slow, "failing": fails} {
		dead := judgedHarness(t, nil, candidate)
		e, any := dead.balancer.Evidence()
		if !any || e.Build != 8 || e.Stage != 1 {
			t.Fatalf("%s: %+v", name, e)
		}
		successor := judgedHarness(t, nil, nil)
		for _, test := range []struct {
			why    string
			change func(*Evidence)
			want   bool
		}{{"of another build", func(e *Evidence) { e.Build++ }, false}, {"as it was", func(*Evidence) {}, true}} {
			other := e
			test.change(&other)
			successor.handle(EvidenceAcquired{other})
			successor.advance(successor.balancer.settings.VoteTTL)
			if back := strings.Contains(successor.votes(), "3"); back != test.want {
				t.Errorf("%s, %s: votes %q", name, test.why, successor.votes())
			}
		}
		dead.handle(EvidenceRevoked{})
		if e, _ := dead.balancer.Evidence(); len(e.Counts) > 0 || len(e.Classes[0].Candidate) > 0 || dead.balancer.ballot.vote.Verdict != VoteNone {
			t.Errorf("%s: disowned, it still has %+v", name, e)
		}
	}
	sim := start(t, StageUpdate{Build: 8, Phase: Released, ExposureCap: 1}, nil)
	if _, any := sim.balancer.Evidence(); any {
		t.Error("evidence of a build that is released")
	}
}

// What the operators withhold from builds on trial bounds the cap, all of it while a marshal does not know their word.
func TestWithheld(t *testing.T) {
	for _, test := range []struct {
		share       float64
		least, most int
	}{{0, 80, 101}, {0.8, 30, 41}, {1, 0, 0}} {
		sim := start(t, trialUpdate(1, 0.5), func(s *Settings) { s.WithheldShare = test.share })
		n := 0
		for range 200 {
			h, to := sim.request("read", "")
			if to == "a2" || to == "b2" {
				n++
			}
			sim.advance(20)
			sim.endAttempt(h, 0, Succeeded, 20)
		}
		if n < test.least || n > test.most {
			t.Errorf("withheld %g: %d of 200 hits went to the build on trial", test.share, n)
		}
	}
}

// A probe that comes back at once from a node whose cores are busy finds no idle node: its reported use
// counts as the slowdown of a queue, 1/(1-use).
func TestHealthCheckRatioByUse(t *testing.T) {
	for _, test := range []struct {
		use  float64 // -1: not reported
		idle bool
	}{{-1, true}, {0.1, true}, {0.5, false}, {0.95, false}} {
		sim := start(t, StageUpdate{Build: 8, Phase: Released, ExposureCap: 1}, nil)
		sim.balancer.checks.baseline = [2]Millis{1, 1}
		sim.handle(HealthCheckEnded{Endpoint: "a1", Outcome: Succeeded, After: 1, Load: &Load{Util: test.use, Queue: -1}})
		if n := sim.balancer.endpoints.byID["a1"]; (n.healthCheckRatio <= slowRatio) != test.idle {
			t.Errorf("%+v: look %v", test, n.healthCheckRatio)
		}
	}
}
