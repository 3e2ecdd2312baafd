package faultinject

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// ErrUnknownProcess reports a step for a process that the environment does not have.
var ErrUnknownProcess = errors.New("unknown process")

// Environment holds the rules and processes that scripts act on.
type Environment struct {
	Rules     *Rules
	Processes map[string]*Process
	OnStep    func(Step) // called after each successful step; may be nil
}

// Play runs each step of a script when the time Step.At has passed since the call of Play. It returns the error of the
// first step that fails, or that of ctx if ctx ends first.
func (e *Environment) Play(ctx context.Context, script Script) error {
	start := time.Now()
	for _, step := range script {
		timer := time.NewTimer(time.Until(start.Add(step.At)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
		if err := e.apply(step); err != nil {
			return fmt.Errorf("step %q: %w", step, err)
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
		e.applyToLinks(step)
		return nil
	case Loss:
		e.Rules.SetDefault(Rule{Drop: step.Share})
		return nil
	case Delay:
		e.Rules.SetDefault(Rule{Delay: step.Delay, Jitter: step.Jitter})
		return nil
	}
	process := e.Processes[step.Target]
	if process == nil {
		return fmt.Errorf("%w: %q", ErrUnknownProcess, step.Target)
	}
	switch step.Verb {
	case Stall:
		return process.Stall()
	case Resume:
		return process.Resume()
	case Kill:
		return process.Kill()
	case Start:
		return process.Start()
	}
	return process.Restart(0)
}

// applyToLinks cuts or heals one link, or heals all links.
func (e *Environment) applyToLinks(step Step) {
	if step.Target == "" {
		e.Rules.Heal()
		return
	}
	e.Rules.SetCut(Link{step.Target, step.Peer}, step.Verb == Cut)
	if step.Both {
		e.Rules.SetCut(Link{step.Peer, step.Target}, step.Verb == Cut)
	}
}
