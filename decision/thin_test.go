package decision

import (
	"fmt"
	"slices"
	"testing"

	"ottershed/internal/stats"
)

// Hundreds of thin marshals: what each has seen is next to nothing, what they have seen together is proof.
func hundreds(s *Settings) { s.Marshals, s.OnVotes, s.BackVotes = 300, 180, 24 }

// At a few hits a second, no marshal saw an outcome of a twelfth of the nodes in time: good builds stood in their first
// stage for 10 s and were taken off in the last one, unreleased (calm+mass, seeds 5, 11, 13, 15 and 16). Now one that has
// seen nothing votes on; one that has seen a failure, or times that lean, does not, and takes its vote back.
func TestThinVotes(t *testing.T) {
	slow, like := slices.Repeat([]float64{1.6}, 4), slices.Repeat([]float64{1.1}, 4)
	was := []float64{0.8, 1, 1, 1, 1.2}
	for _, c := range []struct {
		name      string
		stage     int
		good, bad float64
		kept, grn []float64
		change    func(*Settings)
		want      Verdict
	}{
		{"nothing seen, first stage", 0, 0, 0, was, nil, hundreds, VoteOn},
		{"one failure of three", 0, 2, 1, was, nil, hundreds, VoteBack}, // beside thirty of blue without one
		{"one failure of twelve", 0, 11, 1, was, nil, hundreds, VoteNone},
		{"one failure of forty", 0, 39, 1, was, nil, hundreds, VoteOn},
		{"no node within a gap of its power", 1, 3, 0, was, nil, hundreds, VoteNone},
		{"times alike", 1, 4, 0, was, like, hundreds, VoteOn},
		{"times that lean", 1, 4, 0, was, slow, hundreds, VoteNone},
		{"one failure of thirty, by a handful", 0, 29, 1, was, nil, nil, VoteOn}, // reload on sockets, seed 980671525844
		{"times that lean, by a handful", 1, 30, 0, was, slices.Repeat([]float64{1.6}, 5), nil, VoteOn},
		{"nothing to set them against", 1, 4, 0, nil, slow, hundreds, VoteOn},
	} {
		r := start(t, trial(c.stage, 0.5), c.change)
		r.m.nodes["a1"].tally[r.m.pool.index] = stats.Count{Good: 30}
		r.m.nodes["a2"].tally[r.m.pool.index] = stats.Count{Good: c.good, Bad: c.bad}
		r.m.pool.kept, r.m.pool.grn.Fill = c.kept, c.grn
		r.m.vote.Verdict = VoteOn // it stands already
		r.m.now += blindAfter
		if got, why := r.m.verdict(); got != c.want {
			t.Errorf("%s: %v, %s", c.name, got, why)
		}
	}
}

// A zone is lost while a good build stands in its last stage: the rest is crowded, so times lean at all marshals, and it was
// taken off unreleased (zone+mass, seed 5). There trouble of nodes voids what leans; where the vote would open more, it doesn't.
func TestLeansInTrouble(t *testing.T) {
	for _, c := range []struct {
		stage   int
		trouble bool
		want    Verdict
	}{{2, true, VoteOn}, {2, false, VoteNone}, {1, true, VoteNone}} {
		r := start(t, trial(c.stage, 1), hundreds)
		r.m.pool.kept, r.m.pool.grn.Fill = slices.Repeat([]float64{1}, 5), slices.Repeat([]float64{3}, 5)
		if r.m.now += blindAfter; c.trouble {
			r.m.troubleAt = r.m.now - 1
		}
		if got, why := r.m.verdict(); got != c.want {
			t.Errorf("%+v: %v, %s", c, got, why)
		}
	}
}

// What was seen of the earlier build is kept over a change of stage, for where it is gone none comes any more.
func TestKeptOverStages(t *testing.T) {
	r := start(t, trial(0, 0.1), hundreds)
	r.m.pool.blue.Fill = []float64{1, 2, 3, 4, 5}
	r.do(trial(1, 0.5))
	r.m.pool.blue.Fill = []float64{9}
	r.do(trial(2, 1))
	if want := []float64{1, 2, 3, 4, 5}; !slices.Equal(r.m.pool.kept, want) || r.m.pool.blue.Last != nil {
		t.Errorf("kept %v, group %v", r.m.pool.kept, r.m.pool.blue.Last)
	}
}

// A thin marshal has one outcome of most nodes. The worst quarter of nodes, left out as trouble of their own, was every
// failure that it had seen: on calm+mass, seed 635166458347, 250 of 312 marshals saw build 163 fail and 16 voted it back.
func TestFailuresSpreadThin(t *testing.T) {
	for _, c := range []struct {
		bad  [8]float64 // outcomes of the trial's nodes that failed
		each float64    // outcomes of each
		back bool
	}{
		{[8]float64{1, 1, 1}, 1, true},
		{[8]float64{1}, 1, false},
		{[8]float64{20}, 20, false}, // one that fails by itself
		{[8]float64{6, 7, 6, 8, 6, 7, 6, 7}, 20, true},
	} {
		r := start(t, trial(0, 0.1), func(s *Settings) { s.Marshals, s.BackVotes = 20, 2 })
		nodes := []Node{node4("b9", 7)}
		for i := range c.bad {
			nodes = append(nodes, node4(NodeID(fmt.Sprint("a", i)), 8))
		}
		r.do(NodesChanged{How: Whole, Nodes: nodes})
		r.m.nodes["b9"].tally[r.m.pool.index].Good = 20
		for i, bad := range c.bad {
			r.m.nodes[nodes[i+1].ID].tally[r.m.pool.index] = stats.Count{Good: c.each - bad, Bad: bad}
		}
		if k, _, _ := r.m.failing(); (k >= 1) != c.back {
			t.Errorf("%v of %v: statistic %v", c.bad, c.each, k)
		}
	}
}

// After seven in ten marshals died, their clients slowed all nodes; 31 marshals held the next build for the cause, some
// before one of its nodes ran (herd+mass, seed 687961939904). A burst of first tries is not the build's doing, nor is
// anything while no node runs it; clients that come again because it is slow are.
func TestAllSlowerByLoad(t *testing.T) {
	for _, c := range []struct {
		name          string
		first, again  int // hits more than before
		none, rejects bool
		early         float64 // times before a node ran it; 0: none were seen
	}{
		{"as many hits", 0, 0, false, true, 0},
		{"a burst", 400, 0, false, false, 0},
		{"clients that come again", 0, 400, false, true, 0},
		{"no node runs it", 0, 0, true, false, 0},
		{"slow before a node ran it", 0, 0, false, false, 2},
		{"slow since nodes run it", 0, 0, false, true, 1.1},
	} {
		r := start(t, StageNews{Build: 7, Phase: Released, Cap: 1}, hundreds)
		r.m.intake = 0.02
		r.m.pool.blue = stats.Groups{Before: slices.Repeat([]float64{1, 1.1}, 10), Last: slices.Repeat([]float64{1, 1.1}, 10)}
		r.m.pool.pace.Add(1, memory)
		r.do(trial(0, 0.1))
		if c.none || c.early > 0 {
			r.do(NodesChanged{How: Whole, Nodes: []Node{node4("a1", 7), node4("b1", 7)}})
		}
		if c.early > 0 {
			for range groupSize / 4 {
				r.m.enterBefore(r.m.pool.before, c.early, 1)
			}
			r.do(NodesChanged{How: Changes, Nodes: []Node{node4("a2", 8)}})
		}
		for i := range c.first + c.again {
			r.do(HitTaken{Hit: HitID(i + 1), Group: "read", TTL: 1000, Retried: i >= c.first})
		}
		for range groupSize {
			r.m.enterBefore(r.m.pool.before, 3, 1)
		}
		if got := r.m.pool.before.rejects > 0; got != c.rejects {
			t.Errorf("%s: rejected %v", c.name, got)
		}
	}
}

// Where target latencies are long, votes were looked at so seldom that each stage of a good build stood for up to a quarter
// of the longest one more: on calm+mass at 30 instances, targets of 7 to 9 s, five of eleven good builds were taken off
// unreleased as the next one came. The vote comes soon after the wait is over.
func TestVoteSoonAfterWait(t *testing.T) {
	r := start(t, StageNews{}, func(s *Settings) {
		for i := range s.Groups {
			s.Groups[i].Target = 7000
		}
	})
	began := r.now
	r.do(trial(0, 0.1))
	for _, id := range []NodeID{"a1", "a2"} {
		r.m.nodes[id].tally[r.m.pool.index] = stats.Count{Good: 30}
	}
	for r.votes() == "" && r.now < began+10*blindAfter {
		r.wait(r.m.period)
	}
	if took := r.now - began; r.votes() != "1" || took < blindAfter || took > blindAfter+2*r.m.period {
		t.Errorf("votes %q after %v ms, a look around every %v", r.votes(), took, r.m.period)
	}
}

// That all nodes are slower must last: eight groups in a row show it, or one that a marshal with few hits took 4 s or more
// to fill. Counted by groups alone, such a marshal found a build that slows all nodes out after half a minute (calm+mass at
// 30 instances, seed 8110: 12 s at all nodes, and released before).
func TestAllSlowerCountsTime(t *testing.T) {
	for _, c := range []struct {
		name  string
		took  Millis
		slow  float64
		proof bool
	}{
		{"at once", 0, 3, false},
		{"in half a second", 500, 3, false},
		{"in four seconds", 4000, 3, true},
		{"in a minute", 60000, 3, true},
		{"in four seconds, a little slower", 4000, 1.3, false},
	} {
		r := start(t, StageNews{Build: 7, Phase: Released, Cap: 1}, hundreds)
		r.m.pool.blue = stats.Groups{Before: slices.Repeat([]float64{1, 1.1}, 10), Last: slices.Repeat([]float64{1, 1.1}, 10)}
		r.m.pool.pace.Add(1, memory)
		r.do(trial(0, 0.1))
		for i := range groupSize {
			if i > 0 {
				r.m.now += c.took / (groupSize - 1)
			}
			r.m.enterBefore(r.m.pool.before, c.slow, 1)
		}
		if got := r.m.pool.before.rejects >= lastingGroups*r.m.pool.often; got != c.proof {
			t.Errorf("%s: %d rejections, proof %v", c.name, r.m.pool.before.rejects, got)
		}
	}
}
