package main

import (
	"net"
	"os"
	"testing"
	"time"
)

// stepTimeout limits how long a test waits for a step that has no limit of its own; it has slack for a busy machine.
const stepTimeout = time.Minute

// noEnvironment is an environment without variables.
func noEnvironment(string) string { return "" }

// closedAddress is an address that was free a moment ago: it refuses connections until somebody listens there.
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

// waitFor fails the test with what is missing, where a condition is not met in time.
func waitFor(t *testing.T, within time.Duration, missing string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(within); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(missing)
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

// writeFile returns the path.
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
