package faultinject

import (
	"time"

	"ottershed/internal/stats"
)

const (
	randomKinds   = 8   // that a step is drawn from
	maxRandomLoss = 0.3 // share of packets lost
)

// Random draws a script over a span: faults that overlap, at whose end everything is healed and all processes run. At
// most mostDown processes are stalled or killed at once. The same seed gives the same script.
func Random(seed uint64, names []string, span time.Duration, steps, mostDown int) Script {
	draw := drawing{
		random: stats.Random{Seed: seed}, names: names, mostDown: mostDown, down: map[string]Verb{},
	}
	var script Script
	for i := range steps {
		at := span * time.Duration(i+1) / time.Duration(steps+1)
		script = append(script, draw.step(at))
	}
	script = append(script, Step{At: span, Verb: Heal})
	for _, name := range names {
		if back, isDown := draw.down[name]; isDown {
			script = append(script, Step{At: span, Verb: back, Target: name})
		}
	}
	return script
}

// drawing is the state of a script that is being drawn.
type drawing struct {
	random   stats.Random
	names    []string
	mostDown int
	down     map[string]Verb // processes that do not run, by the verb that brings them back
}

func (d *drawing) pick(n int) int { return int(d.random.Next() * float64(n)) }

// step draws one step: of eight kinds, two stall, two kill (or bring back a process that is down), and one each heals a
// link, loses packets, cuts a link in one direction and in both. A process that can't be taken down is cut off instead.
func (d *drawing) step(start time.Duration) Step {
	target := d.names[d.pick(len(d.names))]
	peer := d.names[d.pick(len(d.names)-1)]
	if peer == target {
		peer = d.names[len(d.names)-1]
	}
	kind := d.pick(randomKinds)
	back, isDown := d.down[target]
	mayTakeDown := len(d.down) < d.mostDown
	switch {
	case kind < 4 && isDown:
		delete(d.down, target)
		return Step{At: start, Verb: back, Target: target}
	case kind < 2 && mayTakeDown:
		d.down[target] = Resume
		return Step{At: start, Verb: Stall, Target: target}
	case kind < 4 && mayTakeDown:
		d.down[target] = Start
		return Step{At: start, Verb: Kill, Target: target}
	case kind == 4:
		return Step{At: start, Verb: Heal, Target: target, Peer: peer}
	case kind == 5:
		return Step{At: start, Verb: Loss, Share: maxRandomLoss * d.random.Next()}
	default:
		return Step{At: start, Verb: Cut, Target: target, Peer: peer, Both: kind == 7}
	}
}
