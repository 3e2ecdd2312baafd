// Command simadapter hosts instances of the decision module on the simulator's wire: it reads batches of events from
// standard input and writes one reply for each to standard output. The instances share nothing.
//
//	file         concern
//	main.go      the program
//	batches.go   batches in, replies out
//	instances.go the instances, and faults of one
package main

import (
	"fmt"
	"os"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
