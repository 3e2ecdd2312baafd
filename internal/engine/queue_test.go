package engine

import (
	"fmt"
	"io"
	"testing"

	"github.com/sirupsen/logrus"

	"ottershed/decision"
	"ottershed/internal/clock"
)

// Events overtake waiting requests, and messages of one priority keep their order.
func TestEventsOvertakeWaitingRequests(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	settings := decision.Settings{
		Classes: []decision.RequestClass{{LatencyObjective: 400}}, ExposureCaps: []float64{1}, StageShares: []float64{1},
	}
	engine := New(settings, 1, clock.New(), log)
	engine.ReceiveRequest(&ClientRequest{Class: "1"})
	engine.HandleEvent(decision.ResponseFlagged{Endpoint: "2"})
	engine.ReceiveRequest(&ClientRequest{Class: "3"})
	engine.UpdateEndpoints(EndpointUpdate{Version: 4})
	got := ""
	for msg, _ := engine.queue.next(); msg.message != nil; msg, _ = engine.queue.next() {
		switch msg := msg.message.(type) {
		case requestReceived:
			got += string(msg.request.Class)
		case eventReceived:
			got += string(msg.event.(decision.ResponseFlagged).Endpoint)
		case endpointsReceived:
			got += fmt.Sprint(msg.update.Version)
		}
	}
	if got != "2413" {
		t.Errorf("order of the messages: got %s, want 2413", got)
	}
}
