package faultinject

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"ottershed/internal/stats"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Verb is what a step does.
type Verb string

const (
	Cut     Verb = "cut"     // cut A > B, or cut A - B for both ways
	Heal    Verb = "heal"    // heal A > B, heal A - B, or heal all
	Loss    Verb = "loss"    // loss 20%
	Delay   Verb = "delay"   // delay 10ms 5ms
	Stall   Verb = "stall"   // stall A
	Resume  Verb = "resume"  // resume A
	Kill    Verb = "kill"    // kill A
	Start   Verb = "start"   // start A
	Restart Verb = "restart" // restart A
)

// Step is one thing that happens, at a time from the script's start.
type Step struct {
	At           time.Duration
	Verb         Verb
	Target, Peer string // names; B of a link only
	Both         bool   // the link in both directions
	Share        float64
	Delay        time.Duration
	Jitter       time.Duration
}

// String writes a step as ParseScript reads it.
func (s Step) String() string {
	text := fmt.Sprintf("%v %s", s.At, s.Verb)
	switch s.Verb {
	case Cut, Heal:
		if s.Target == "" {
			return text + " all"
		}
		arrow := ">"
		if s.Both {
			arrow = "-"
		}
		return fmt.Sprintf("%s %s %s %s", text, s.Target, arrow, s.Peer)
	case Loss:
		return fmt.Sprintf("%s %g%%", text, 100*s.Share)
	case Delay:
		return fmt.Sprintf("%s %v %v", text, s.Delay, s.Jitter)
	}
	return text + " " + s.Target
}

// Script is what happens, in order.
type Script []Step

func (s Script) String() string {
	lines := make([]string, len(s))
	for i, step := range s {
		lines[i] = step.String()
	}
	return strings.Join(lines, "\n")
}

// ParseScript reads a script: a step a line, its time first; # begins a remark. An error names the line.
func ParseScript(text string) (Script, error) {
	var out Script
	lines := bufio.NewScanner(strings.NewReader(text))
	for n := 1; lines.Scan(); n++ {
		line, _, _ := strings.Cut(lines.Text(), "#")
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		step, err := parseStep(words)
		if err != nil {
			return nil, fmt.Errorf("script line %d: %w", n, err)
		}
		out = append(out, step)
	}
	slices.SortStableFunc(out, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return out, lines.Err()
}

func parseStep(words []string) (s Step, err error) {
	if s.At, err = time.ParseDuration(words[0]); err != nil || s.At < 0 {
		return s, fmt.Errorf("want a time first, got %q", words[0])
	}
	if len(words) < 3 {
		return s, errors.New("want a time, what to do, and to whom")
	}
	s.Verb = Verb(words[1])
	rest := words[2:]
	want := 1
	switch s.Verb {
	case Cut, Heal:
		if s.Verb == Heal && rest[0] == "all" {
			break
		}
		if want = 3; len(rest) == want {
			if rest[1] != ">" && rest[1] != "-" {
				return s, fmt.Errorf("want > or - between two names, got %q", rest[1])
			}
			s.Target, s.Both, s.Peer = rest[0], rest[1] == "-", rest[2]
		}
	case Loss:
		if s.Share, err = strconv.ParseFloat(strings.TrimSuffix(rest[0], "%"), 64); err != nil || s.Share < 0 || s.Share > 100 {
			return s, fmt.Errorf("want a share like 20%%, got %q", rest[0])
		}
		s.Share /= 100
	case Delay:
		if want = 2; len(rest) == want {
			var jerr error
			s.Delay, err = time.ParseDuration(rest[0])
			s.Jitter, jerr = time.ParseDuration(rest[1])
			if err = errors.Join(err, jerr); err != nil {
				return s, fmt.Errorf("want two times: %w", err)
			}
		}
	case Stall, Resume, Kill, Start, Restart:
		s.Target = rest[0]
	default:
		return s, fmt.Errorf("nothing is called %q", s.Verb)
	}
	if len(rest) != want {
		return s, fmt.Errorf("%s takes %d words, got %d", s.Verb, want, len(rest))
	}
	return s, nil
}

// Scene is what a script plays on.
type Environment struct {
	Rules     *Rules
	Processes map[string]*Process
	OnStep    func(Step) // called after each step; may be nil
}

// Play carries a script out in real time, from now on. It ends at the first step that fails, or with ctx.
func (e *Environment) Play(ctx context.Context, script Script) error {
	began := time.Now()
	for _, step := range script {
		wait := time.NewTimer(time.Until(began.Add(step.At)))
		select {
		case <-ctx.Done():
			wait.Stop()
			return ctx.Err()
		case <-wait.C:
		}
		if err := e.apply(step); err != nil {
			return fmt.Errorf("%v: %w", step, err)
		}
		if e.OnStep != nil {
			e.OnStep(step)
		}
	}
	return nil
}

func (e *Environment) apply(step Step) error {
	switch step.Verb {
	case Cut, Heal:
		if step.Target == "" {
			e.Rules.Heal()
			return nil
		}
		e.Rules.Cut(Link{step.Target, step.Peer}, step.Verb == Cut)
		if step.Both {
			e.Rules.Cut(Link{step.Peer, step.Target}, step.Verb == Cut)
		}
		return nil
	case Loss:
		e.Rules.SetDefault(Rule{Drop: step.Share})
		return nil
	case Delay:
		e.Rules.SetDefault(Rule{Delay: step.Delay, Jitter: step.Jitter})
		return nil
	}
	p := e.Processes[step.Target]
	if p == nil {
		return fmt.Errorf("no process %q", step.Target)
	}
	switch step.Verb {
	case Stall:
		return p.Stall()
	case Resume:
		return p.Resume()
	case Kill:
		return p.Kill()
	case Start:
		return p.Start()
	}
	return p.Restart(0)
}

// Random draws a script over a span: faults that overlap, all of them healed at its end, all processes running then. At
// most so many processes are down or stalled at once. The same seed gives the same script.
func Random(seed uint64, names []string, span time.Duration, steps, mostDown int) Script {
	random := stats.Random{Seed: seed}
	pick := func(n int) int { return int(random.Next() * float64(n)) }
	var out Script
	down := map[string]Verb{} // to what brings it back
	for i := range steps {
		s := Step{At: span * time.Duration(i+1) / time.Duration(steps+1), Target: names[pick(len(names))]}
		b := names[pick(len(names)-1)]
		if b == s.Target {
			b = names[len(names)-1]
		}
		back, isDown := down[s.Target]
		switch what := pick(8); {
		case what < 4 && isDown:
			s.Verb = back
			delete(down, s.Target)
		case what < 2 && len(down) < mostDown:
			s.Verb, down[s.Target] = Stall, Resume
		case what < 4 && len(down) < mostDown:
			s.Verb, down[s.Target] = Kill, Start
		case what == 4:
			s.Verb, s.Peer = Heal, b
		case what == 5:
			s.Verb, s.Target, s.Share = Loss, "", 0.3*random.Next()
		default:
			s.Verb, s.Peer, s.Both = Cut, b, what == 7
		}
		out = append(out, s)
	}
	out = append(out, Step{At: span, Verb: Heal})
	for _, name := range names {
		if back, isDown := down[name]; isDown {
			out = append(out, Step{At: span, Verb: back, Target: name})
		}
	}
	return out
}
