// Package ingress is the HTTP server for clients. It checks each request, passes it to the engine and sends the final
// result of the engine as the response.
//
// [New] returns a [Server]. Call [Server.SetResumeDecision] and [Server.SetNotReady], where they are needed, before
// [Server.Serve]. [Server.Drain] shuts the server down gracefully.
//
// # Files
//
//	server.go     construction, Serve, readiness check on /up, responses that close their connection
//	parse.go      checks of the request line and headers
//	errors.go     status code and text for each reason not to pass a request to the engine
//	serve.go      handling of one request: parse, read the body, claim its id, wait for the result of the engine
//	ids.go        correlation ids that new requests must not have
//	clientconn.go the connection of a request: whether its client has left, or sends without waiting for responses
//	pace.go       limits on the requests of clients at full speed
//	delaylog.go   warnings about late responses and delayed requests
//	response.go   results and errors as HTTP responses
//	limits.go     connection limit: counting, eviction, rejection beyond the limit
//	drain.go      lifecycle of the server, accepting while it drains, graceful shutdown
package ingress
