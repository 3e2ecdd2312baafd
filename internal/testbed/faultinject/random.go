package faultinject

import (
	"time"

	"ottershed/internal/stats"
)

const (
	stepKinds     = 8   // number of kinds of steps, see nextStep
	maxRandomLoss = 0.3 // maximum share of packets lost
)

// RandomScript returns a script of overlapping faults, steps of them at regular times within duration. At the end of
// duration all faults are healed and all processes run. At most maxDown processes are stalled or killed at a time. The
// same seed gives the same script.
func RandomScript(seed uint64, names []string, duration time.Duration, steps, maxDown int) Script {
	generator := scriptGenerator{
		random: stats.Random{Seed: seed}, names: names, maxDown: maxDown, down: map[string]Verb{},
	}
	var script Script
	for i := range steps {
		at := duration * time.Duration(i+1) / time.Duration(steps+1)
		script = append(script, generator.nextStep(at))
	}
	script = append(script, Step{At: duration, Verb: Heal})
	for _, name := range names {
		if back, isDown := generator.down[name]; isDown {
			script = append(script, Step{At: duration, Verb: back, Target: name})
		}
	}
	return script
}

// scriptGenerator holds the state of the generation of a script.
type scriptGenerator struct {
	random  stats.Random
	names   []string
	maxDown int
	down    map[string]Verb // for each stalled or killed process, the verb that brings it back
}

func (g *scriptGenerator) intN(n int) int { return int(g.random.Float64() * float64(n)) }

// nextStep draws one step. Of the eight kinds, two stall a process, two kill a process (all four bring back a process
// that is down), one heals a link, one loses packets, one cuts a link in one direction and one in both. If no further
// process may be down, a link is cut instead.
func (g *scriptGenerator) nextStep(start time.Duration) Step {
	target := g.names[g.intN(len(g.names))]
	peer := g.names[g.intN(len(g.names)-1)]
	if peer == target {
		peer = g.names[len(g.names)-1]
	}
	kind := g.intN(stepKinds)
	back, isDown := g.down[target]
	mayTakeDown := len(g.down) < g.maxDown
	switch {
	case kind < 4 && isDown:
		delete(g.down, target)
		return Step{At: start, Verb: back, Target: target}
	case kind < 2 && mayTakeDown:
		g.down[target] = Resume
		return Step{At: start, Verb: Stall, Target: target}
	case kind < 4 && mayTakeDown:
		g.down[target] = Start
		return Step{At: start, Verb: Kill, Target: target}
	case kind == 4:
		return Step{At: start, Verb: Heal, Target: target, Peer: peer}
	case kind == 5:
		return Step{At: start, Verb: Loss, Share: maxRandomLoss * g.random.Float64()}
	default:
		return Step{At: start, Verb: Cut, Target: target, Peer: peer, Both: kind == 7}
	}
}
