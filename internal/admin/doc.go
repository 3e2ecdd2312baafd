// Package admin serves the operator's commands at a running instance, on loopback only. No client's request comes here.
//
// New makes a Server; Get, GetWith and Post add paths, Run serves them on a listener until its context ends. Call is
// the commands' side.
//
//	server.go   Server and what it lets through
//	client.go   Call and its errors
package admin
