// Package upstream carries attempts of requests to endpoints: each over one connection of its own for that time, each
// ended with one of the outcomes of package decision. It keeps idle connections by endpoint.
//
// Make a [Pool] with [NewPool], tell it each endpoint's address with [Pool.SetAddress], start attempts with
// [Pool.StartAttempt] and have [Pool.Run] retire idle connections until the process ends.
//
// http.Transport is not used: it sends a request again by itself, and hides whether its last byte was written.
//
// # Which file holds what
//
//	attempt.go     one attempt in steps: verify, acquire, write, read, release, classify
//	classify.go    the outcome that a status, an error or a moment stands for
//	connection.go  one connection: writing a request, reading the response to it
//	encode.go      a request as it is written
//	endpoint.go    endpoints as listed when an attempt was decided, and what may still be sent to them
//	idle.go        idle connections: reuse, how long they are kept, retirement
//	pool.go        construction, limit on connections, statistics
package upstream
