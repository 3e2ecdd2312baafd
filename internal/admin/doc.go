// Package admin provides the HTTP interface between a running instance and the operator's commands. It serves JSON on a
// loopback address only; clients of the balancer do not use it.
//
// [New] returns a [Server]. [Server.Get], [Server.GetWithContext] and [Server.Post] register paths, and [Server.Run]
// serves them until its context ends. [Call] is the client side, which the commands use.
//
//	server.go   server, its limits, and the check that a request is local
//	client.go   Call and its errors
package admin
