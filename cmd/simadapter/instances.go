package main

// Instances of the decision module.

import (
	"fmt"
	"path/filepath"
	"runtime"
	"strings"

	"ottershed/decision"
	"ottershed/internal/simwire"
)

// instances holds the decision modules by the number of their instance.
type instances map[int]*decision.Balancer

// handle applies one input to its instance and appends the resulting actions to the reply. It ignores events for an
// instance that is not running. A panic in the module stops the instance and appends a fault.
func (running instances) handle(reply []byte, now float64, input *simwire.Input) (extended []byte) {
	defer func() {
		if p := recover(); p != nil {
			text := fmt.Sprintf("panic: %v at %s", p, panicLocation())
			extended = simwire.AppendFault(reply, input.Instance, text)
			delete(running, input.Instance)
		}
	}()
	switch {
	case input.Start != nil:
		return running.start(reply, input.Instance, input.Start)
	case input.Stop:
		delete(running, input.Instance)
		return reply
	}
	balancer := running[input.Instance]
	if balancer == nil {
		return reply
	}
	extended = reply
	for _, action := range balancer.Handle(now, input.Event) {
		extended = simwire.AppendAction(extended, input.Instance, action)
	}
	return extended
}

// start starts an instance. If the settings are not valid, it appends a fault instead, and the instance does not run.
func (running instances) start(reply []byte, instance int, start *simwire.Start) []byte {
	if start.Err != nil {
		delete(running, instance)
		return simwire.AppendFault(reply, instance, start.Err.Error())
	}
	running[instance] = decision.New(start.Settings, start.Seed)
	return reply
}

// panicLocation returns file and line of the innermost frame of the project's own code under a panic, or "an unknown
// place" if none of the innermost maxFrames frames is the project's. Only the deferred function that recovers may call
// it, because the number of skipped frames depends on the caller.
func panicLocation() string {
	const maxFrames = 32
	const skippedFrames = 3 // runtime.Callers, panicLocation and the deferred function
	pcs := make([]uintptr, maxFrames)
	frames := runtime.CallersFrames(pcs[:runtime.Callers(skippedFrames, pcs)])
	for {
		frame, more := frames.Next()
		if strings.HasPrefix(frame.Function, "ottershed/") {
			return fmt.Sprintf("%s:%d", filepath.Base(frame.File), frame.Line)
		}
		if !more {
			return "an unknown place"
		}
	}
}
