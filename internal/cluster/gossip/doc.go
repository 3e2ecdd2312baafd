// Package gossip is the UDP transport of package internal/cluster/membership: it gives the failure detector a socket
// and a clock, publishes its view, and logs and reports the changes of members' states.
//
// Open the socket with [Listen] and call [Transport.Run]; its goroutine owns the detector, another one reads the
// socket. All other methods can be called from any goroutine.
//
// transport.go holds the socket and the loop around the detector, changes.go the view and the changes, counters.go the
// counters.
package gossip
