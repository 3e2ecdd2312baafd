package ingress

import (
	"slices"
	"testing"
	"time"
)

// A server's state only moves on: what is entered stays reached, and nothing leads back.
func TestLifecycle(t *testing.T) {
	all := []state{serving, draining, closing, closed}
	for _, test := range []struct {
		name    string
		entered []state
		want    state
	}{
		{"new", nil, serving},
		{"drained", []state{draining}, draining},
		{"drained twice", []state{draining, draining}, draining},
		{"in order", []state{draining, closing, closed}, closed},
		{"back to serving", []state{draining, serving}, draining},
		{"drained once more at the end", []state{draining, closing, closed, draining, closing}, closed},
	} {
		t.Run(test.name, func(t *testing.T) {
			var lifecycle lifecycle
			for _, to := range test.entered {
				lifecycle.advance(to)
			}
			for _, at := range all {
				if want := slices.Index(all, at) <= slices.Index(all, test.want); lifecycle.reached(at) != want {
					t.Errorf("state %d reached: %v, want %v", at, !want, want)
				}
			}
		})
	}
}

// Drain takes a server through its states: draining for the grace period, closing while a request is open, closed then.
func TestDrainStates(t *testing.T) {
	server, fake, address := start(t, 10)
	conn := dial(t, address)
	conn.send("GET /read/1", "X-Time-Left: 2\r\n", "")
	request := <-fake.requests
	if server.state.reached(draining) {
		t.Error("draining before Drain")
	}
	drained := make(chan error, 1)
	go func() { drained <- server.Drain(100 * time.Millisecond) }()
	waitFor(t, "draining", func() bool { return server.state.reached(draining) })
	if server.state.reached(closing) {
		t.Error("closing within the grace period")
	}
	waitFor(t, "closing", func() bool { return server.state.reached(closing) })
	if server.state.reached(closed) {
		t.Error("closed with a request open")
	}
	request.Respond(failed())
	if last := conn.wantResponse(); !last {
		t.Error("the response doesn't close its connection")
	}
	if err := <-drained; err != nil || !server.state.reached(closed) {
		t.Errorf("ended with %v, closed %v", err, server.state.reached(closed))
	}
}
