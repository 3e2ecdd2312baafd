// Package gossip is the UDP transport of package internal/cluster/membership: it connects the failure detector to a
// socket and a clock, publishes its view, and logs and reports the changes of members' states.
//
// Open the socket with [Listen] and call [Transport.Run]. The detector is used by the goroutine of Run only, a second
// goroutine reads the socket. All other methods may be called from any goroutine.
//
// transport.go holds the socket and the event loop of the detector, changes.go the view and the changes, counters.go
// the counters.
package gossip
