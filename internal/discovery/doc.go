// Package discovery follows the endpoint list of the discovery agent: it fetches a full snapshot and then makes one
// long-poll call after another for the changes since the last version.
//
// [New] creates a [Watcher]. [Watcher.Run] follows the list until its context ends and passes each update to the
// handler given to New. Two kinds of service are supported. An agent pushes: it responds to a watch as soon as
// something changes, and calls cost the agent nothing. A polled service has a queue and may reject a call. The decision
// module then calls [Watcher.ResumeWatch] when the next call may be sent.
//
// # Files
//
//	watcher.go    Watcher: construction, time limits, commands, the watches that run after a change of address
//	watch.go      one watch at one address: its states and transitions
//	hedged.go     hedged calls, for a service that is slow or does not respond
//	resume.go     the permission to call a polled service again, for all watches that wait for it
//	call.go       one HTTP call with its time limits
//	delivery.go   delivery of updates, such that an older list never follows a newer one
//	wire.go       the encoding of the endpoint list
package discovery
