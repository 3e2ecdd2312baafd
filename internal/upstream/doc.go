// Package upstream sends attempts of requests to endpoints. Each attempt has exclusive use of a connection and ends
// with one of the outcomes of package decision. Idle connections are pooled by endpoint.
//
// Create a [Pool] with [NewPool], set the address of each endpoint with [Pool.SetAddress] and start attempts with
// [Pool.StartAttempt]. [Pool.Run] closes expired idle connections until the process ends.
//
// The package does not use http.Transport, which resends requests by itself and does not report whether the last byte
// of a request was written.
//
// # Files
//
//	attempt.go     the steps of an attempt: verify, acquire, write, read, release, classify
//	classify.go    mapping of statuses, errors and deadlines to outcomes
//	connection.go  writing a request to a connection and reading the response
//	encode.go      encoding of a request
//	endpoint.go    endpoints, and whether an attempt may still be sent to the endpoint that was selected
//	idle.go        idle connections: reuse, idle limit, expiry
//	pool.go        construction, connection limit, statistics
package upstream
