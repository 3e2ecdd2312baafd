package faultinject

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// ErrUnknownProcess is a step for a process that the environment does not have.
var ErrUnknownProcess = errors.New("no such process")

// Environment is what scripts are played on.
type Environment struct {
	Rules     *Rules
	Processes map[string]*Process
	OnStep    func(Step) // called after each step; may be nil
}

// Play carries out a script in real time, from now on. It ends with the first step that fails, or with ctx.
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

// applyToLinks cuts or heals a link, or heals everything.
func (e *Environment) applyToLinks(step Step) {
	if step.Target == "" {
		e.Rules.Heal()
		return
	}
	e.Rules.Cut(Link{step.Target, step.Peer}, step.Verb == Cut)
	if step.Both {
		e.Rules.Cut(Link{step.Peer, step.Target}, step.Verb == Cut)
	}
}
