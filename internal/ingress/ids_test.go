package ingress

import (
	"errors"
	"fmt"
	"testing"

	"ottershed/internal/engine"
)

// The id of a request whose client has left is taken while an attempt is out. After that it stays taken if the request may
// have run and must not run twice, and is free otherwise.
func TestIDOfDepartedClient(t *testing.T) {
	for name, test := range map[string]struct {
		line, headers string
		mayHaveRun    bool
		free          bool // a new request with the id reaches the engine
	}{
		"non-idempotent, may have run":      {"POST /pay/1", "", true, false},
		"non-idempotent, never ran":         {"POST /pay/1", "", false, true},
		"idempotent with key, may have run": {"POST /mark/1", "Idempotency-Key: k\r\n", true, false},
		"idempotent, may have run":          {"GET /read/1", "", true, true},
	} {
		t.Run(name, func(t *testing.T) {
			server, fake, address := start(t, 10)
			holdsAttempt := make(holdingEngine, 1)
			server.engine = holdsAttempt
			headers := test.headers + "X-Time-Left: 1\r\nX-Correlation-Id: same\r\nContent-Length: 0\r\n"
			first := dial(t, address)
			first.send(test.line, headers, "")
			request := <-holdsAttempt
			first.closeConn()
			waitFor(t, "connection of the departed client has ended", func() bool { return server.limiter.connCount() == 0 })
			second := dial(t, address)
			second.send(test.line, headers, "")
			if res, _ := second.readResponse(); res.StatusCode != 409 {
				t.Errorf("the same id while an attempt is out: got status %d, want 409", res.StatusCode)
			}
			request.OnEnd(test.mayHaveRun)
			server.engine = fake
			respondToRequests(t, fake, succeededResult(0))
			third, want := dial(t, address), 409
			if test.free {
				want = 200
			}
			third.send(test.line, headers, "")
			if res, _ := third.readResponse(); res.StatusCode != want {
				t.Errorf("the same id after the attempt's end: got status %d, want %d", res.StatusCode, want)
			}
		})
	}
}

// The memory for ids of executed requests is bounded: the oldest entry is forgotten, and an id with its newest entry.
func TestExecutedIDsAreBounded(t *testing.T) {
	const limit = 4
	ids := newExecutedIDs(limit)
	for i := range 3 * limit {
		ids.add("repeated")
		ids.add(fmt.Sprint(i))
		for earlier := range i + 1 {
			if known, want := ids.contains(fmt.Sprint(earlier)), earlier > i-limit/2; known != want {
				t.Errorf("after %d ids, id %d: got known %v, want %v", i+1, earlier, known, want)
			}
		}
		if !ids.contains("repeated") || len(ids.order) > limit || len(ids.hashes) > limit {
			t.Fatalf("got %d entries, %d hashes, want at most %d, and the repeated id known", len(ids.order), len(ids.hashes), limit)
		}
	}
}

// An id is free once its last holder has released it.
func TestIDIsTakenUntilLastHolderReleasesIt(t *testing.T) {
	ids := newRequestIDs()
	claim, err := ids.claim("a")
	if err != nil {
		t.Fatal(err)
	}
	claim.hold()
	for range 2 {
		if _, err := ids.claim("a"); !errors.Is(err, errCorrelationIDInUse) {
			t.Errorf("claim of a taken id: got error %v, want %v", err, errCorrelationIDInUse)
		}
		claim.release(false)
	}
	if claim, err = ids.claim("a"); err != nil {
		t.Fatalf("claim of a released id: got error %v, want none", err)
	}
	claim.release(true)
	if _, err := ids.claim("a"); !errors.Is(err, errCorrelationIDExecuted) {
		t.Errorf("claim of an executed id: got error %v, want %v", err, errCorrelationIDExecuted)
	}
}

// holdingEngine passes requests to the test, and keeps their attempts out when their clients leave.
type holdingEngine chan *engine.ClientRequest

func (h holdingEngine) ReceiveRequest(request *engine.ClientRequest) { h <- request }

func (h holdingEngine) ClientDisconnected(*engine.ClientRequest) {}
