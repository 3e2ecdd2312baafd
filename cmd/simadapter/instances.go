package main

// The instances, and faults of one.

import (
	"fmt"
	"path/filepath"
	"runtime"
	"strings"

	"ottershed/decision"
	"ottershed/internal/simwire"
)

// instances are the decision modules by the number of their instance.
type instances map[int]*decision.Balancer

// handle hands one event to its instance and appends the reply. Events of an instance that does not run are dropped.
// A panic in the module becomes a fault of that instance, which ends.
func (all instances) handle(reply []byte, now float64, incoming *simwire.Incoming) (extended []byte) {
	defer func() {
		if p := recover(); p != nil {
			text := fmt.Sprintf("panic: %v at %s", p, panicLocation())
			extended = simwire.AppendFault(reply, incoming.Instance, text)
			delete(all, incoming.Instance)
		}
	}()
	switch {
	case incoming.Start != nil:
		return all.start(reply, incoming.Instance, incoming.Start)
	case incoming.Stop:
		delete(all, incoming.Instance)
		return reply
	}
	balancer := all[incoming.Instance]
	if balancer == nil {
		return reply
	}
	extended = reply
	for _, action := range balancer.Handle(now, incoming.Event) {
		extended = simwire.Append(extended, incoming.Instance, action)
	}
	return extended
}

// start starts an instance. With settings that are not valid, it replies with a fault instead.
func (all instances) start(reply []byte, instance int, start *simwire.Start) []byte {
	if start.Err != nil {
		delete(all, instance)
		return simwire.AppendFault(reply, instance, start.Err.Error())
	}
	all[instance] = decision.New(start.Settings, start.Seed)
	return reply
}

// panicLocation returns the first frame of the project's own code under a panic. Only the function that recovers
// may call it.
func panicLocation() string {
	const maxFrames = 32
	const skipped = 3 // runtime.Callers, this function and the one that recovers
	counters := make([]uintptr, maxFrames)
	frames := runtime.CallersFrames(counters[:runtime.Callers(skipped, counters)])
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
