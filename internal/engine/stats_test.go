package engine

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"ottershed/decision"
	"ottershed/internal/clock"
)

// noUpstream is an Upstream that ignores every call.
type noUpstream struct{}

func (noUpstream) StartAttempt(Attempt) func()              { return func() {} }
func (noUpstream) SetAddress(decision.EndpointID, string)   {}
func (noUpstream) CancelUnsent(decision.EndpointID)         {}
func (noUpstream) CloseIdleConnections(decision.EndpointID) {}

// An engine's Stats contain the status of the decision module, and its Evidence is that of the module.
func TestStatsAndEvidenceComeFromModule(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	settings := decision.Settings{
		Classes: []decision.RequestClass{{Name: "read", LatencyObjective: 400}}, ExposureCaps: []float64{1},
		StageShares: []float64{1},
	}
	engine := New(settings, 1, clock.New(), log)
	engine.Connect(noUpstream{}, nil, nil)
	engine.UpdateEndpoints(EndpointUpdate{Kind: decision.FullSnapshot, Endpoints: []Endpoint{
		{Endpoint: decision.Endpoint{ID: "a", Build: 7, Capacity: 1}, Address: "a:1"},
		{Endpoint: decision.Endpoint{ID: "b", Build: 8, Capacity: 1}, Address: "b:1"},
	}})
	engine.HandleEvent(decision.StageUpdate{Build: 8, Phase: decision.InTrial, ExposureCap: 1})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	go engine.Run(ctx)
	stats, ok := engine.Stats(ctx)
	if !ok || stats.Status.Serving != 2 || stats.Status.Build != 8 {
		t.Errorf("stats: got ok %v, status %+v, want true, two serving endpoints and build 8", ok, stats.Status)
	}
	if evidence, ok := engine.Evidence(ctx); !ok || evidence.Build != 8 {
		t.Errorf("evidence: got ok %v, %+v, want true, build 8", ok, evidence)
	}
}
