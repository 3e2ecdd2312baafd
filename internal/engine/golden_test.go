package engine

import (
	"fmt"
	"io"
	"testing"

	"github.com/sirupsen/logrus"

	"ottershed/decision"
	"ottershed/internal/golden"
)

// logRecorder is a logrus hook that records the entries of a log.
type logRecorder struct{ entries []*logrus.Entry }

func (l *logRecorder) Levels() []logrus.Level { return logrus.AllLevels }

func (l *logRecorder) Fire(entry *logrus.Entry) error {
	l.entries = append(l.entries, entry)
	return nil
}

// Operators search logs by the fields of the line about a panic in the decision module, so the fields are compared with
// the golden file for each kind of event. The line's text contains a stack and is not compared.
func TestGoldenPanicLogFields(t *testing.T) {
	observed := ""
	for _, event := range []decision.Event{
		decision.EndpointsChanged{},
		decision.RequestReceived{},
		decision.ResponseStarted{},
		decision.AttemptEnded{},
		decision.ClientDisconnected{},
		decision.TimerFired{},
		decision.HealthCheckEnded{},
		decision.PeerMessage{},
		decision.StageUpdate{},
		decision.SettingsChanged{},
		decision.EvidenceAdded{},
		decision.EvidenceRevoked{},
		decision.ControllerCounts{},
		decision.ResponseFlagged{},
	} {
		h, recorder := newHarness(), &logRecorder{}
		log := logrus.New()
		log.SetOutput(io.Discard)
		log.AddHook(recorder)
		h.log = log
		h.module.panicNext = true
		h.callModule(h.now, event)
		if len(recorder.entries) == 0 {
			t.Fatal("got no log line, want one about the panic")
		}
		fields := recorder.entries[0].Data
		observed += fmt.Sprintf("level=%s event=%v open=%v panic=%v\n", recorder.entries[0].Level, fields["event"],
			fields["open"], fields["panic"])
	}
	if err := golden.CheckFile("testdata/panics.golden", []byte(observed)); err != nil {
		t.Errorf("names of events in the log line of a panic: %v", err)
	}
}
