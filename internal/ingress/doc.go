// Package ingress is the HTTP server that clients connect to. It checks each request, hands it to the engine and passes
// the engine's final result back as the response.
//
// Make a [Server] with [New]; before [Server.Serve] call [Server.HandleResumed] and [Server.SetNotReady] where they are
// wanted; end it with [Server.Drain].
//
// # Which file holds what
//
//	server.go     construction, Serve, readiness on /up, connections that are closed after their response
//	parse.go      what a request must look like, in the order in which it is checked
//	refusal.go    table of the refusals: status code and text
//	handover.go   one request: parse, read the body, claim its id, hand it to the engine, wait for the result
//	response.go   final results and refusals as HTTP responses
//	limits.go     connections counted and evicted; rejection beyond the limit
//	drain.go      states of the server, their transitions, accepting while it drains, graceful shutdown
package ingress
