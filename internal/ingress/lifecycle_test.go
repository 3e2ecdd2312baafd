package ingress

import (
	"slices"
	"testing"
	"time"
)

// States are only entered in their order: a state that was reached stays reached.
func TestLifecycleOnlyAdvances(t *testing.T) {
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
		{"drained after closed", []state{draining, closing, closed, draining, closing}, closed},
	} {
		t.Run(test.name, func(t *testing.T) {
			var lifecycle lifecycle
			for _, to := range test.entered {
				lifecycle.advance(to)
			}
			for _, s := range all {
				if want := slices.Index(all, s) <= slices.Index(all, test.want); lifecycle.reached(s) != want {
					t.Errorf("state %d reached: got %v, want %v", s, !want, want)
				}
			}
		})
	}
}

// Drain enters draining for the grace period, closing while a request is open, and then closed.
func TestDrainPassesThroughStates(t *testing.T) {
	server, fake, address := start(t, 10)
	conn := dial(t, address)
	conn.send("GET /read/1", "X-Time-Left: 2\r\n", "")
	request := <-fake.requests
	if server.state.reached(draining) {
		t.Error("state: draining before Drain")
	}
	drained := make(chan error, 1)
	go func() { drained <- server.Drain(100 * time.Millisecond) }()
	waitFor(t, "draining", func() bool { return server.state.reached(draining) })
	if server.state.reached(closing) {
		t.Error("state: closing within the grace period")
	}
	waitFor(t, "closing", func() bool { return server.state.reached(closing) })
	if server.state.reached(closed) {
		t.Error("state: closed with a request open")
	}
	request.Respond(failedResult())
	if closes := conn.readFailedOrRejected(); !closes {
		t.Error("the response does not close its connection")
	}
	if err := <-drained; err != nil || !server.state.reached(closed) {
		t.Errorf("Drain: got error %v, closed %v; want none, true", err, server.state.reached(closed))
	}
}
