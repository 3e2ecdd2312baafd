package main

import (
	"fmt"
	"net"
	"os"
	"testing"
	"time"
)

// stepTimeout limits how long a test waits for a step without a limit of its own. It has slack for a busy machine.
const stepTimeout = time.Minute

// noEnvironment looks up variables in an empty environment.
func noEnvironment(string) string { return "" }

// closedAddress returns an address with a port that was just closed. It refuses connections until a process listens there.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	return listener.Addr().String()
}

// waitFor waits until ok returns true, and fails the test with message if that takes too long.
func waitFor(t *testing.T, within time.Duration, message string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(within); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(message)
		}
	}
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

// writeFile writes a file and returns its path.
func writeFile(t *testing.T, path, text string) string {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func removeFile(t *testing.T, path string) {
	t.Helper()
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
}

// runRounds runs the rounds of a soak at once, each with a seed of its own.
func runRounds(t *testing.T, rounds, firstSeed int, run func(t *testing.T, seed uint64)) {
	t.Helper()
	for round := range rounds {
		seed := uint64(firstSeed + round)
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			run(t, seed)
		})
	}
}
