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
	for _, c := range []struct {
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
		t.Run(fmt.Sprint(c.class, c.outcome, c.after), func(t *testing.T) {
			r := start(t, released, nil)
			h, first := r.request(c.class, "")
			if first == "" {
				t.Fatal("no first forward")
			}
			r.now += c.after
			r.endAttempt(h, 0, c.outcome, c.after)
			r.advance(600)
			again := r.attemptedAt(h, 1)
			if (again == "") != (c.zone == "-") || c.zone == "same" && again[0] != first[0] {
				t.Errorf("first %q, then %q", first, again)
			}
			if _, got := r.responses(h); c.zone == "-" && got != c.response {
				t.Errorf("answer %q, want %q", got, c.response)
			}
		})
	}
}

// A further forward of a tagged hit that may have run is bound to be sent while the nodes remember the first; all others as
// long as the client waits.
func TestSendBy(t *testing.T) {
	for _, c := range []struct {
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
		t.Run(fmt.Sprint(c.class, c.ends), func(t *testing.T) {
			r := start(t, StageUpdate{Build: 8, Phase: Released, Stage: 2, ExposureCap: 1}, nil)
			h, _ := r.request(c.class, "")
			began := r.now
			for i, how := range c.ends {
				r.now += 20
				r.endAttempt(h, i, how, 20)
			}
			if r.attemptedAt(h, len(c.ends)) == "" {
				t.Fatal("no further forward")
			}
			last := r.actions[len(r.actions)-1].(StartAttempt)
			if want := c.want; want > 0 && last.SendBy != began+want || want == 0 && last.SendBy != 0 {
				t.Errorf("to be sent by %g, want %g after the first", last.SendBy-began, want)
			}
		})
	}
}

// Every hit that no node can take gets one answer, long before its own time is up, and nothing after it.
func TestOneResponse(t *testing.T) {
	for _, c := range []struct {
		name string
		ttl  Millis
		want string
	}{{"read", 1000, "bounce"}, {"pay", 1000, "bounce"}, {"mark", 30, "bounce"}, {"unknown", 1000, "bounce"}} {
		r := start(t, trialUpdate(0, 0), nil)
		r.handle(EndpointsChanged{Kind: FullSnapshot})
		r.handle(RequestReceived{Request: 9, Class: ClassName(c.name), TTL: c.ttl})
		r.advance(c.ttl)
		r.handle(ClientDisconnected{Request: 9})
		r.handle(AttemptEnded{Request: 9, Outcome: EndpointFailed})
		if n, got := r.responses(9); n != 1 || got != c.want || len(r.balancer.requests) != 0 {
			t.Errorf("%s: %d answers, last %q, %d hits kept", c.name, n, got, len(r.balancer.requests))
		}
	}
}

func TestRejectHasRetryAfter(t *testing.T) {
	for _, may := range []bool{true, false} {
		r := start(t, trialUpdate(0, 0), func(s *Settings) {
			if !may {
				s.MaxRetryAfter = 0
			}
		})
		r.handle(EndpointsChanged{Kind: FullSnapshot})
		r.request("read", "")
		r.advance(300)
		for _, a := range r.actions {
			if b, ok := a.(Reject); ok && (b.RetryAfter > 0) != may || ok && b.RetryAfter > r.balancer.settings.MaxRetryAfter {
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
		r := start(t, StageUpdate{Build: 8, Phase: Released, ExposureCap: 1}, nil)
		r.handle(e)
		for range 100 {
			if h, to := r.request("read", ""); to == "a1" {
				t.Fatalf("%s: hit sent there", name)
			} else if to != "" {
				r.endAttempt(h, 0, Succeeded, 20)
			}
		}
	}
}

// In every window, wherever it begins and ends, forwards to the build on trial fit free + cap x hits taken.
// The first fault found: an allowance that was cut back only when a hit came let a later forward overdraw it.
func TestExposure(t *testing.T) {
	for _, c := range []struct {
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
		t.Run(c.name, func(t *testing.T) {
			r := start(t, c.update, nil)
			r.handle(EndpointsChanged{Kind: FullSnapshot, Endpoints: []Endpoint{newEndpoint("a2", 8)}}) // nothing else would take them
			var took, sent []Millis
			for i := range 300 {
				r.now += []Millis{0, 0, 3, 40, 0, 7}[i%6]
				r.lastID++
				events := []Event{RequestReceived{Request: r.lastID, Class: "read", TTL: 1000}, TimerFired{}}
				took = append(took, r.now)
				for _, e := range events[:1+i%2] {
					for _, a := range r.handle(e) {
						if f, ok := a.(StartAttempt); ok {
							sent = append(sent, r.now)
							r.handle(AttemptEnded{Request: f.Request, Outcome: Succeeded, Endpoint: f.Endpoint, After: 5, RequestEnded: true})
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
					if float64(j-i+1) > 1+c.cap*float64(n)+1e-9 {
						t.Fatalf("%d forwards on %d hits from %v to %v", j-i+1, n, sent[i], sent[j])
					}
				}
			}
			if c.cap == 0 && len(sent) > 0 || c.cap > 0 && len(sent) < int(250*c.cap*c.cap) {
				t.Errorf("%d forwards", len(sent))
			}
		})
	}
}

func TestExposurePerClass(t *testing.T) {
	for _, perClass := range []bool{false, true} {
		r := start(t, trialUpdate(0, 0.1), func(s *Settings) { s.ExposurePerClass = perClass })
		r.handle(EndpointsChanged{Kind: FullSnapshot, Endpoints: []Endpoint{newEndpoint("a2", 8)}})
		h, first := r.request("read", "")
		r.endAttempt(h, 0, Succeeded, 20)
		if _, second := r.request("pay", ""); first != "a2" || (second == "a2") != perClass {
			t.Errorf("per group %v: %q then %q", perClass, first, second)
		}
	}
}

// In guarded stages only hits that may run again go to the build on trial.
func TestGuardedStage(t *testing.T) {
	for _, c := range []struct {
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
		r := start(t, trialUpdate(c.stage, 1), func(s *Settings) { s.GuardedStages = 1 })
		r.handle(EndpointsChanged{Kind: FullSnapshot, Endpoints: []Endpoint{newEndpoint("a2", 8)}})
		if _, to := r.request(c.class, ""); (to != "") != c.may {
			t.Errorf("stage %d %s: sent to %q", c.stage, c.class, to)
		}
	}
}

// A key that the build on trial answered goes to no earlier one until the build goes back; at the cap or in a
// guarded stage it is bounced.
func TestStickyKeys(t *testing.T) {
	r := start(t, trialUpdate(1, 1), func(s *Settings) { s.StickyKeys = true })
	r.handle(EndpointsChanged{Kind: FullSnapshot, Endpoints: []Endpoint{newEndpoint("a2", 8)}})
	h, to := r.request("read", "k")
	if to != "a2" {
		t.Fatalf("sent to %q", to)
	}
	r.endAttempt(h, 0, Succeeded, 20)
	r.handle(EndpointsChanged{Kind: FullSnapshot, Endpoints: []Endpoint{newEndpoint("a1", 7)}})
	for _, c := range []struct {
		update StageUpdate
		may    bool
	}{
		{trialUpdate(2, 1), false},
		{StageUpdate{Build: 8, Phase: Released, ExposureCap: 1}, false},
		{StageUpdate{Build: 8, Phase: RollingBack}, true},
	} {
		r.handle(c.update)
		h, to := r.request("read", "k")
		r.advance(300)
		if n, how := r.responses(h); (to == "a1") != c.may || !c.may && (n != 1 || how != "bounce") {
			t.Errorf("%+v: sent to %q, %d answers %q", c.update, to, n, how)
		}
		o, other := r.request("read", "other")
		if r.endAttempt(o, 0, Succeeded, 20); other != "a1" {
			t.Errorf("another key went to %q", other)
		}
	}
}

// Cold nodes get no more than warm ones of like units answer, by their least warmth, with the room that the
// rule leaves; also where no other nodes are left, and a burst comes at once.
func TestSlowStart(t *testing.T) {
	for _, onlyWarming := range []bool{false, true} {
		r := start(t, StageUpdate{Build: 7, Phase: Released, ExposureCap: 1}, func(s *Settings) {
			s.Classes[0].LatencyObjective, s.CrossZonePrice = 200, 0.02
		})
		for range 400 { // 40 ms apart: each warm node gives 12 answers a second
			r.advance(40)
			r.request("read", "")
			r.respond("", 20)
		}
		warming := newEndpoint("a9", 7)
		warming.Started = r.now
		list := []Endpoint{warming, newEndpoint("a1", 7), newEndpoint("b1", 7)}
		if onlyWarming {
			list = list[:1]
		}
		r.handle(EndpointsChanged{Kind: FullSnapshot, Endpoints: list})
		sent, from, rate := 0, r.now, r.balancer.serviceRate
		for range 60 {
			r.advance(10)
			r.request("read", "")
			sent += r.respond("a9", 2)
			rate = max(rate, r.balancer.serviceRate)
		}
		// The rule's multiple of its least power at the end, over the time and one window.
		most := r.balancer.settings.OverloadFactor * rate * r.balancer.slowStartWeight(r.balancer.endpoints["a9"]) * (r.now - from + r.balancer.settings.OverloadWindow)
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
		r := start(t, StageUpdate{Build: 7, Phase: Released, ExposureCap: 1}, nil)
		r.balancer.random.Seed = uint64(seed+1) * 0x9e3779b97f4a7c15
		for range 20 {
			r.advance(500)
			r.request("read", "")
			r.respond("", 20)
		}
		warming := newEndpoint("a9", 7)
		warming.Started, rate = r.now, rate+r.balancer.serviceRate
		r.handle(EndpointsChanged{Kind: FullSnapshot, Endpoints: []Endpoint{warming}})
		for range 10 {
			r.advance(r.balancer.settings.OverloadWindow / 10)
			r.request("read", "")
			sent += r.respond("a9", 20)
		}
	}
	if most := rate * 0.4 * 2.5 * 1000; sent == 0 || float64(sent) > most {
		t.Errorf("%d forwards, at most %v", sent, most)
	}
}

// A node that was out of reach counts as cold from its first answer: it may have restarted unseen.
func TestRecoveryAfterSilence(t *testing.T) {
	r := start(t, StageUpdate{Build: 8, Phase: Released, ExposureCap: 1}, nil)
	n := r.balancer.endpoints["a1"]
	r.balancer.eject(n)
	r.now += 100
	r.balancer.responded(n)
	if w := r.balancer.slowStartWeight(n); w != 0.4 || n.ejections != 0 {
		t.Errorf("warmth %v, strikes %d", w, n.ejections)
	}
}

// The one hit that tries a struck node out stays there until it is answered or silence says more; moved off
// at once, as it first was, it never brought a node back.
func TestEjectedEndpointProbed(t *testing.T) {
	r := start(t, StageUpdate{Build: 8, Phase: Released, ExposureCap: 1}, nil)
	r.handle(EndpointsChanged{Kind: FullSnapshot, Endpoints: []Endpoint{newEndpoint("a2", 8)}})
	r.balancer.eject(r.balancer.endpoints["a2"])
	r.advance(300)
	h, to := r.request("read", "")
	r.advance(60)
	r.endAttempt(h, 0, Succeeded, 60)
	if to != "a2" || r.balancer.endpoints["a2"].ejections != 0 {
		t.Errorf("sent to %q, strikes %d", to, r.balancer.endpoints["a2"].ejections)
	}
	for _, a := range r.actions {
		if _, ok := a.(Cancel); ok {
			t.Error("called off")
		}
	}
}

// Hits that may run again leave a silent node; others are never sent twice.
func TestSilentEndpoint(t *testing.T) {
	for _, c := range []struct {
		class ClassName
		copy  bool
		want  string
	}{{"read", false, "cancel"}, {"read", true, "copy"}, {"pay", false, ""}, {"pay", true, ""}} {
		r := start(t, StageUpdate{Build: 8, Phase: Released, ExposureCap: 1}, func(s *Settings) { s.HedgingAllowed = c.copy })
		silent, at := r.request(c.class, "")
		for r.now < 10950 { // other hits are answered, and keep away from it
			if h, to := r.request("read", ""); to != "" && to != at {
				r.endAttempt(h, 0, Succeeded, 20)
			}
			r.advance(20)
		}
		got := ""
		for _, a := range r.actions {
			if x, ok := a.(Cancel); ok && x.Request == silent {
				got = "cancel"
			}
		}
		if r.attemptedAt(silent, 1) != "" {
			got = "copy"
		}
		if got != c.want {
			t.Errorf("%s, copies %v: %q", c.class, c.copy, got)
		}
	}
}

// judged feeds outcomes of both builds and returns the votes cast.
func judgedHarness(t *testing.T, change func(*Settings), candidate func(i int) (Outcome, Millis)) *harness {
	r := start(t, StageUpdate{Build: 7, Phase: Released, ExposureCap: 1}, change)
	play := func(n int, of func(i int) (Outcome, Millis)) {
		for i := range n {
			h, to := r.request("read", "")
			if to == "" {
				r.advance(100)
				continue
			}
			how, after := Succeeded, Millis(20+i*7%13)
			if of != nil && r.balancer.endpoints[to].Build == 8 {
				how, after = of(i)
			}
			r.advance(40)
			r.endAttempt(h, 0, how, after)
			if f := r.attemptedAt(h, 1); f != "" {
				r.endAttempt(h, 1, Succeeded, 25)
			}
		}
	}
	play(120, nil)
	r.handle(trialUpdate(1, 0.5))
	play(300, candidate)
	return r
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
	for _, c := range []struct {
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
		t.Run(c.name, func(t *testing.T) {
			got := judgedHarness(t, c.change, c.candidate).votes()
			if !strings.Contains(got, c.has) || c.not != "" && strings.ContainsAny(got, c.not) {
				t.Errorf("votes %q, want %q and none of %q", got, c.has, c.not)
			}
		})
	}
}

// The blind vote that opens the whole fleet takes outcomes of warm nodes; on cold ones a slow build passed.
func TestBlindVote(t *testing.T) {
	for _, c := range []struct {
		stage, outcomes, warm int
		want                  Verdict
	}{{0, 5, 0, VoteAdvance}, {0, 1, 0, VoteNone}, {1, 6, 0, VoteNone}, {1, 6, 11, VoteAdvance}, {2, 30, 9, VoteNone}} {
		r := start(t, trialUpdate(c.stage, 0.5), func(s *Settings) { s.Instances = 3 })
		r.balancer.endpoints["a2"].outcomes[r.balancer.overall.index].Good = float64(c.outcomes)
		r.balancer.overall.candidate.Fill = make([]float64, c.warm)
		r.balancer.now += blindVoteDelay
		if got, why := r.balancer.verdict(); got != c.want {
			t.Errorf("%+v: %v, %s", c, got, why)
		}
	}
}

// Slowness of all nodes sends a build back while on trial and for some time after the release, not later.
func TestAllSlower(t *testing.T) {
	for _, c := range []struct {
		phase Phase
		age   Millis
		want  Verdict
	}{{InTrial, 60000, VoteRollback}, {Released, 5000, VoteRollback}, {Released, 60000, VoteNone}} {
		r := start(t, StageUpdate{Build: 8, Phase: c.phase, Stage: 2, ExposureCap: 1, Age: c.age}, nil)
		r.balancer.overall.beforeTrial.rejections = 8 * rejectionsToRollback
		if got, why := r.balancer.verdict(); got != c.want {
			t.Errorf("%+v: %v, %s", c, got, why)
		}
	}
}

// Lost nodes crowd the rest, so slowness sends no build back until a warm-up time after the last was found,
// nor while one is found out of reach again and again: a thin marshal tried it out too seldom to be reminded.
func TestSlowDuringFault(t *testing.T) {
	for _, c := range []struct {
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
		r := start(t, trialUpdate(1, 0.5), nil)
		r.balancer.classOrder[0].rejections = rejectionsToRollback
		for range c.found {
			r.balancer.observeEndpoint(r.balancer.endpoints["b1"], AttemptEnded{Outcome: Unreachable, After: 250})
			r.balancer.endpoints["b1"].ejectedUntil = 0
		}
		if r.balancer.now += c.ago; c.ticked {
			r.balancer.tick()
		}
		if got, why := r.balancer.verdict(); got != c.want {
			t.Errorf("%+v: %v, %s", c, got, why)
		}
	}
}

// A node that falls silent once is no trouble that slowness could come of: on fleet-1 of the sockets' bench, under a
// build that slowed all nodes, such silence took the evidence away for seconds, again and again.
func TestOneSilentEndpoint(t *testing.T) {
	r := start(t, trialUpdate(1, 0.5), nil)
	r.balancer.classOrder[0].rejections = rejectionsToRollback
	n := r.balancer.endpoints["b1"]
	n.inFlight, n.lastResponseAt = 1, r.now-10000
	r.balancer.tick()
	if got, why := r.balancer.verdict(); n.ejections != 1 || got != VoteRollback {
		t.Errorf("struck %d times: %v, %s", n.ejections, got, why)
	}
}

// Against the time before the trial each group counts by how many gaps it is slower, four at most; one that is not
// begins the count anew.
func TestGaps(t *testing.T) {
	r := start(t, StageUpdate{Build: 7, Phase: Released, ExposureCap: 1}, nil)
	for i := range 2 * groupSize {
		r.balancer.overall.add(false, 100+float64(i%groupSize))
	}
	r.balancer.overall.baselineLatency.Add(100, latencySamples)
	r.handle(trialUpdate(1, 0.5))
	b := r.balancer.overall.beforeTrial
	for _, c := range []struct {
		times float64
		want  int
	}{{1.3, 0}, {1.6, 2}, {2, 5}, {4, 9}, {math.Inf(1), 9}, {1, 0}, {1000, 4}} {
		for i := range groupSize {
			r.balancer.recordBeforeTrial(b, c.times*(100+float64(i)), 1)
		}
		if b.rejections != c.want {
			t.Errorf("%g times slower: count %d, want %d", c.times, b.rejections, c.want)
		}
	}
}

// Failures at one of several trial nodes are that node's trouble.
func TestOneFailingEndpoint(t *testing.T) {
	for _, c := range []struct {
		bad  []float64 // failures among 30 outcomes, by trial node
		back bool
	}{
		{[]float64{20, 0}, false},
		{[]float64{10, 10}, true},
		{[]float64{20}, true},
		{[]float64{20, 0, 0, 0, 0}, false},
	} {
		r := start(t, trialUpdate(1, 0.5), nil)
		var list []Endpoint
		for i := range c.bad {
			list = append(list, newEndpoint(EndpointID(fmt.Sprint("a", i)), 8))
		}
		r.handle(EndpointsChanged{Kind: FullSnapshot, Endpoints: append(list, newEndpoint("a9", 7))})
		r.balancer.endpoints["a9"].outcomes[0].Good = 90
		for i, bad := range c.bad {
			outcomes := &r.balancer.endpoints[list[i].ID].outcomes[0]
			outcomes.Good, outcomes.Bad = 30-bad, bad
		}
		for _, left := range []bool{false, true} { // it still counts when the last earlier node has left
			if left {
				r.handle(EndpointsChanged{Kind: FullSnapshot, Endpoints: list})
			}
			if k, _, _ := r.balancer.failureEvidence(); (k >= 1) != c.back {
				t.Errorf("%v, left %v: statistic %v", c.bad, left, k)
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
	for _, c := range []struct {
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
		g := &classState{baseline: stats.Groups{Before: twenty(c.older), Last: twenty(c.baseline)}}
		if got := g.slower(twenty(c.got), 1); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
	if g := (&classState{baseline: stats.Groups{Last: twenty(1)}}); g.slower(twenty(2), 1) {
		t.Error("slower than a single group")
	}
}

// The same events bring the same actions.
func TestAlike(t *testing.T) {
	run := func() string {
		r := start(t, trialUpdate(1, 0.5), nil)
		for i := range 200 {
			h, to := r.request([]ClassName{"read", "mark", "pay"}[i%3], Key(fmt.Sprint(i%9)))
			r.advance(20)
			if to != "" && i%4 > 0 {
				r.endAttempt(h, 0, Outcome(i%6), 30)
			}
		}
		return fmt.Sprint(r.actions)
	}
	if run() != run() {
		t.Error("two runs differ")
	}
}

// The desk's counts of all forwards: equal builds are voted on; a failing or slow one goes back, but not for
// what nodes leave unanswered under both builds.
func TestControllerCounts(t *testing.T) {
	for _, c := range []struct {
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
		r := start(t, StageUpdate{Build: 7, Phase: Released, ExposureCap: 1}, func(s *Settings) { s.CountInterval = 500 })
		list := []Endpoint{newEndpoint("a1", 7), newEndpoint("b1", 7)}
		for i := range 20 {
			list = append(list, newEndpoint(EndpointID(fmt.Sprint("a3", i)), 8))
		}
		r.handle(EndpointsChanged{Kind: FullSnapshot, Endpoints: list})
		if c.errors {
			r.balancer.failures.Bad = 40
		}
		for i := range 10 {
			if i == 4 {
				r.handle(trialUpdate(0, 0.1))
			}
			r.advance(500)
			r.handle(ControllerCounts{Build: 7, Class: "read", Count: 40, Failed: c.baselineFailed, Mean: 50})
			if i >= 5 {
				r.handle(ControllerCounts{Build: 8, Class: "read", Count: 40, Failed: c.candidateFailed, Mean: c.candidateMean})
			}
		}
		if got := strings.TrimLeft(r.votes(), "0"); !strings.HasPrefix(got, c.want) || c.want == "" && got != "" {
			t.Errorf("%s: votes %q, want %q", c.name, got, c.want)
		}
	}
}

// How much evidence one marshal needs follows from how many judge and how many votes decide.
func TestRequiredEvidence(t *testing.T) {
	for _, c := range []struct{ instances, back, rejections int }{
		{3, 1, 2},
		{5, 1, 2},
		{60, 1, 3},
		{470, 1, 3},
		{200, 16, 1},
	} {
		r := start(t, trialUpdate(0, 0.1), func(s *Settings) { s.Instances, s.RollbackQuorum = c.instances, c.back })
		if r.balancer.overall.rejectionsNeeded != c.rejections || r.balancer.certainStatistic < rejectStatistic || (c.back == 1) != (r.balancer.certainStatistic > 1.9*rejectStatistic) {
			t.Errorf("%+v: %d rejections, statistic %v", c, r.balancer.overall.rejectionsNeeded, r.balancer.certainStatistic)
		}
	}
}

// While much is missed, a hit goes to the first node whose probe comes back as from an idle one, at the
// latest to the best of three; without answers it goes by what is known.
func TestHealthChecks(t *testing.T) {
	for _, c := range []struct {
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
		r := start(t, StageUpdate{Build: 8, Phase: Released, ExposureCap: 1},
			func(s *Settings) { s.HealthChecksAllowed, s.HealthCheckPrice = true, 0.01 })
		r.balancer.missedShare, r.balancer.healthCheckBaseline = c.missed, [2]Millis{1, 1}
		r.request("read", "")
		checks, best, at := 0, EndpointID(""), Millis(99)
		for i := 0; i < len(r.actions); i++ {
			p, ok := r.actions[i].(StartHealthCheck)
			if !ok {
				continue
			}
			took := c.takes[checks]
			if checks++; took > 0 {
				if took < at {
					best, at = p.Endpoint, took
				}
				r.handle(HealthCheckEnded{Endpoint: p.Endpoint, Outcome: Succeeded, After: took})
			}
			r.now += 2 * r.balancer.settings.ClockGranularity
			r.handle(TimerFired{Token: 1})
		}
		if to := r.attemptedAt(1, 0); to == "" || best != "" && to != best || checks != c.probes {
			t.Errorf("%s: %d probes, best %q, sent to %q", c.name, checks, best, to)
		}
	}
}

// While most answers of every path group and tenant take long, less goes out at once, and hits bounce early;
// slow answers of one tenant are no lack of power.
func TestOverloaded(t *testing.T) {
	for _, c := range []struct {
		slow    map[TenantID]bool
		limited bool
	}{{nil, false}, {map[TenantID]bool{"x": true}, false}, {map[TenantID]bool{"x": true, "y": true}, true}} {
		r := start(t, StageUpdate{Build: 8, Phase: Released, ExposureCap: 1}, nil)
		for i := range 80 {
			who := TenantID("xy"[i%2 : i%2+1])
			r.lastID++
			r.handle(RequestReceived{Request: r.lastID, Class: r.balancer.classOrder[i%3].Name, Tenant: who, TTL: 1000})
			r.advance(20)
			if after := 20.0; r.attemptedAt(r.lastID, 0) != "" {
				if c.slow[who] {
					after = 300
				}
				r.endAttempt(r.lastID, 0, Succeeded, after)
			}
		}
		if (r.balancer.concurrencyLimit < 2) != c.limited {
			t.Errorf("slow %v: limit %v", c.slow, r.balancer.concurrencyLimit)
		}
	}
}

// The limit on all forwards never reaches nothing. Forwards at silent nodes that ended after they were counted took it
// there, and a marshal bounced every hit for the rest of the day (simulated, on an earlier deployment).
func TestLimitComesBack(t *testing.T) {
	r := start(t, StageUpdate{Build: 8, Phase: Released, ExposureCap: 1}, nil)
	h, _ := r.request("read", "")
	r.balancer.slowShare, r.balancer.unresponsive = 1, 3
	for _, s := range r.balancer.slowShares {
		*s = 1
	}
	r.endAttempt(h, 0, Succeeded, 1000)
	r.advance(r.balancer.tickInterval) // counts the stuck ones anew
	if _, to := r.request("read", ""); r.balancer.concurrencyLimit > 1 || to == "" {
		t.Errorf("limit %v, the next hit went to %q", r.balancer.concurrencyLimit, to)
	}
}

// While nodes refuse connections at once, idle ones are closed after use, so that other marshals find room; slow
// handshakes that run out of time are no refusal, and closing would bring more of them.
func TestCloseIdle(t *testing.T) {
	for _, c := range []struct {
		after  Millis // until unreachable
		closes bool
	}{{0.5, true}, {250, false}} {
		r := start(t, StageUpdate{Build: 8, Phase: Released, ExposureCap: 1}, nil)
		for i := range 20 {
			r.advance(100)
			h, to := r.request("read", "")
			if i%4 == 0 && to != "" {
				r.endAttempt(h, 0, Unreachable, c.after)
			}
			r.respond("", 20)
		}
		closed := 0
		for _, a := range r.actions {
			if _, ok := a.(CloseIdle); ok {
				closed++
			}
		}
		if (closed > 0) != c.closes {
			t.Errorf("unreachable after %v: %d closed", c.after, closed)
		}
	}
}

// An answer that can't be read leaves its node in use, and its hit is sent again only where it may run twice.
func TestMalformedResponse(t *testing.T) {
	for _, tc := range []struct {
		class    ClassName
		attempts int
		last     string
	}{{"read", 2, ""}, {"mark", 2, ""}, {"pay", 1, "fail"}} {
		r := start(t, StageUpdate{Build: 8, Phase: Released, ExposureCap: 1}, nil)
		h, id := r.request(tc.class, "")
		r.endAttempt(h, 0, MalformedResponse, 50)
		if _, last := r.responses(h); last != tc.last || (r.attemptedAt(h, 1) != "") != (tc.attempts == 2) {
			t.Errorf("%s: answered %q, then sent to %q", tc.class, last, r.attemptedAt(h, 1))
		}
		if n := r.balancer.endpoints[id]; n.ejections != 0 || n.ejectedUntil > r.now || r.balancer.faultSeenAt == r.now || r.balancer.slowStartWeight(n) < 1 {
			t.Errorf("%s: strikes %d, shut for %v, warmth %v", tc.class, n.ejections, n.ejectedUntil-r.now, r.balancer.slowStartWeight(n))
		}
	}
}

// What nothing can come of any more is answered at once: an error where it may have run, else a bounce.
func TestExpired(t *testing.T) {
	for name, tc := range map[string]struct {
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
			r := start(t, StageUpdate{Build: 8, Phase: Released, ExposureCap: 1}, func(s *Settings) { s.MaxAttempts = tc.most })
			h, _ := r.request(tc.class, "")
			for _, n := range r.balancer.ordered {
				n.ejectedUntil = r.now + 5000 // there is no other
			}
			r.endAttempt(h, 0, tc.outcome, 1)
			if n, last := r.responses(h); last != tc.last || n > 1 {
				t.Errorf("%d answers, the last a %q", n, last)
			}
		})
	}
}

// Where connections break at all nodes alike, a break or two strike none of them; where none did, the first does, and
// one that doesn't come up in its time always does.
func TestBrokenConnections(t *testing.T) {
	for name, tc := range map[string]struct {
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
			r := start(t, StageUpdate{Build: 8, Phase: Released, ExposureCap: 1}, nil)
			r.balancer.brokenShare = tc.share
			n := r.balancer.endpoints["a2"]
			for _, e := range tc.outcomes {
				r.balancer.observeEndpoint(n, e)
			}
			if n.ejections > 0 != tc.ejected {
				t.Errorf("struck %d times", n.ejections)
			}
		})
	}
}

// A single trial node that fails is no proof while one of the earlier build fails alike, nor the only one of several
// that was asked anything: on the scored reload day a good build went back by two failures that a thin marshal saw.
func TestSingleCandidateEndpoint(t *testing.T) {
	for _, tc := range []struct {
		baseline float64 // failures among 30 at one of two nodes
		others   int     // trial nodes that were asked nothing yet
		back     bool
	}{{0, 0, true}, {1, 0, true}, {25, 0, false}, {0, 3, false}} {
		r := start(t, trialUpdate(0, 0.1), nil)
		list := []Endpoint{newEndpoint("a1", 7), newEndpoint("b1", 7), newEndpoint("a2", 8)}
		for i := range tc.others {
			list = append(list, newEndpoint(EndpointID(fmt.Sprint("b", 2+i)), 8))
		}
		r.handle(EndpointsChanged{Kind: FullSnapshot, Endpoints: list})
		for id, bad := range map[EndpointID]float64{"a1": tc.baseline, "b1": 0, "a2": 25} {
			r.balancer.endpoints[id].outcomes[0] = stats.Count{Good: 30 - bad, Bad: bad}
		}
		if k, _, _ := r.balancer.failureEvidence(); (k >= 1) != tc.back {
			t.Errorf("blue fails %v times, %d others: statistic %v", tc.baseline, tc.others, k)
		}
	}
}

// Where one of hundreds can stop the clock, one chance rejection must not: a hold takes as many in a row as
// the share of marshals that holds asks for; where a tenth of twenty hold, fewer.
func TestHoldQuorum(t *testing.T) {
	for _, c := range []struct{ instances, hold, rejects int }{
		{3, 1, 2},
		{17, 2, 2},
		{280, 1, 3},
		{650, 0, 3},
		{280, 28, 1},
	} {
		for rejects, want := range []Verdict{VoteNone, VoteNone, VoteNone, VoteNone} {
			if rejects >= c.rejects {
				want = VoteHold
			}
			r := start(t, trialUpdate(1, 0.5), func(s *Settings) {
				s.Instances, s.HoldQuorum, s.RollbackQuorum, s.Control = c.instances, c.hold, c.instances, ByClock
			})
			r.balancer.classOrder[0].rejections, r.balancer.faultSeenAt = rejects, r.balancer.now // no back: the hold alone is judged
			if got, why := r.balancer.verdict(); rejects > 0 && got != want {
				t.Errorf("%+v with %d rejections: %v, %s", c, rejects, got, why)
			}
		}
	}
}

// While most of the capacity is cold, as at the last stage of an in-place swap, slowness sends no build back:
// the warm few take everything. Once warm, it does.
func TestSlowStartTurnover(t *testing.T) {
	for _, c := range []struct {
		age  Millis // of the build on trial's nodes, since their start
		want Verdict
	}{{500, VoteNone}, {2000, VoteNone}, {3500, VoteRollback}, {9000, VoteRollback}} {
		r := start(t, trialUpdate(2, 1), nil)
		for _, id := range []EndpointID{"a1", "b1"} { // the earlier build has drained
			r.balancer.endpoints[id].State = Draining
		}
		for _, id := range []EndpointID{"a2", "b2"} {
			r.balancer.endpoints[id].warmingSince = r.balancer.now - c.age
		}
		r.balancer.classOrder[0].rejections = rejectionsToRollback
		r.balancer.tick()
		if r.balancer.now += 4500; c.age < 9000 {
			for _, id := range []EndpointID{"a2", "b2"} {
				r.balancer.endpoints[id].warmingSince = r.balancer.now - c.age
			}
		}
		r.balancer.tick()
		if got, why := r.balancer.verdict(); got != c.want {
			t.Errorf("%+v: %v, %s", c, got, why)
		}
	}
}

// New figures reach a running marshal: what it has taken stays open and gets one answer, the proof follows the
// new figures, and the same step leads back.
func TestSettingsChange(t *testing.T) {
	r := start(t, trialUpdate(1, 0.5), func(s *Settings) { s.Instances = 3 })
	was := r.balancer.settings
	id, to := r.request("pay", "")
	if to == "" {
		t.Fatal("the hit was not forwarded")
	}
	next := was
	next.Instances, next.HoldQuorum, next.RollbackQuorum, next.Control = 600, 1, 30, ByClock
	r.handle(SettingsChanged{Settings: next})
	if r.balancer.rejectionsToHold != 3 || r.balancer.overall.rejectionsNeeded != 1 || r.balancer.settings.Control != ByClock || len(r.balancer.requests) != 1 {
		t.Errorf("after the change: hold after %d, back after %d, control %v, %d open", r.balancer.rejectionsToHold,
			r.balancer.overall.rejectionsNeeded, r.balancer.settings.Control, len(r.balancer.requests))
	}
	r.endAttempt(id, 0, Succeeded, 30)
	if n, _ := r.responses(id); n != 0 || len(r.balancer.requests) != 0 {
		t.Errorf("a delivered hit: %d answers of the marshal's own, %d open", n, len(r.balancer.requests))
	}
	if r.attemptedAt(id, 1) != "" {
		t.Error("the hit was sent twice")
	}
	r.handle(SettingsChanged{Settings: was})
	if r.balancer.rejectionsToHold != 2 || r.balancer.overall.rejectionsNeeded != 2 || r.balancer.settings.Control != ByVotes || r.balancer.settings.SlowStartWindow != was.SlowStartWindow {
		t.Errorf("back: hold after %d, back after %d, control %v", r.balancer.rejectionsToHold, r.balancer.overall.rejectionsNeeded, r.balancer.settings.Control)
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
		for _, c := range []struct {
			why    string
			change func(*Evidence)
			want   bool
		}{{"of another build", func(e *Evidence) { e.Build++ }, false}, {"as it was", func(*Evidence) {}, true}} {
			other := e
			c.change(&other)
			successor.handle(EvidenceAcquired{other})
			successor.advance(successor.balancer.settings.VoteTTL)
			if back := strings.Contains(successor.votes(), "3"); back != c.want {
				t.Errorf("%s, %s: votes %q", name, c.why, successor.votes())
			}
		}
		dead.handle(EvidenceRevoked{})
		if e, _ := dead.balancer.Evidence(); len(e.Counts) > 0 || len(e.Classes[0].Candidate) > 0 || dead.balancer.vote.Verdict != VoteNone {
			t.Errorf("%s: disowned, it still has %+v", name, e)
		}
	}
	r := start(t, StageUpdate{Build: 8, Phase: Released, ExposureCap: 1}, nil)
	if _, any := r.balancer.Evidence(); any {
		t.Error("evidence of a build that is released")
	}
}

// What the operators withhold from builds on trial bounds the cap, all of it while a marshal does not know their word.
func TestWithheld(t *testing.T) {
	for _, c := range []struct {
		share       float64
		least, most int
	}{{0, 80, 101}, {0.8, 30, 41}, {1, 0, 0}} {
		r := start(t, trialUpdate(1, 0.5), func(s *Settings) { s.WithheldShare = c.share })
		n := 0
		for range 200 {
			h, to := r.request("read", "")
			if to == "a2" || to == "b2" {
				n++
			}
			r.advance(20)
			r.endAttempt(h, 0, Succeeded, 20)
		}
		if n < c.least || n > c.most {
			t.Errorf("withheld %g: %d of 200 hits went to the build on trial", c.share, n)
		}
	}
}

// A probe that comes back at once from a node whose cores are busy finds no idle node: its reported use
// counts as the slowdown of a queue, 1/(1-use).
func TestHealthCheckRatioByUse(t *testing.T) {
	for _, c := range []struct {
		use  float64 // -1: not reported
		idle bool
	}{{-1, true}, {0.1, true}, {0.5, false}, {0.95, false}} {
		r := start(t, StageUpdate{Build: 8, Phase: Released, ExposureCap: 1}, nil)
		r.balancer.healthCheckBaseline = [2]Millis{1, 1}
		r.handle(HealthCheckEnded{Endpoint: "a1", Outcome: Succeeded, After: 1, Load: &Load{Util: c.use, Queue: -1}})
		if n := r.balancer.endpoints["a1"]; (n.healthCheckRatio <= slowRatio) != c.idle {
			t.Errorf("%+v: look %v", c, n.healthCheckRatio)
		}
	}
}
