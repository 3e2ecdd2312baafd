// Package discovery follows the endpoint list at the discovery agent: one full snapshot, then one watch after another
// for what changed since.
//
// New makes a Watcher; Run follows until its context ends and hands each update to the function that New was given.
// Two kinds of service are supported. An agent pushes: it answers a watch as soon as something changes, and calls
// cost it nothing. A service that is polled has a queue and may reject a call; then the decision module says through
// ResumeWatch when the next call goes out.
//
//	watcher.go    Watcher: construction, time limits, commands, the watches that run after a change of address
//	watch.go      what one watch at one address does: its states and their transitions
//	snapshot.go   full snapshot calls beside each other, for an agent that is slow or does not respond
//	call.go       one HTTP call with its time limits
//	delivery.go   hands updates on so that an older list never follows a newer one
//	wire.go       the endpoint list as it is encoded
package discovery
