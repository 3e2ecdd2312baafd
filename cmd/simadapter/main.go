// Command simadapter runs instances of the decision module for the simulator. It reads batches of events from standard
// input and writes one reply to each batch to standard output. The instances share no state.
//
//	file          contents
//	main.go       main function
//	batches.go    batches of events and their replies
//	instances.go  instances of the decision module
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
