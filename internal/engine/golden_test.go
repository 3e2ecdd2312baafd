package engine

import (
	"fmt"
	"io"
	"testing"

	"github.com/sirupsen/logrus"

	"ottershed/decision"
	"ottershed/internal/golden"
)

// logged records the lines of a log.
type logged struct{ lines []*logrus.Entry }

func (l *logged) Levels() []logrus.Level { return logrus.AllLevels }

func (l *logged) Fire(line *logrus.Entry) error {
	l.lines = append(l.lines, line)
	return nil
}

// The fields of the log line about a panic in the decision module are those of the golden file, for each kind of event:
// searches in logs rely on these names. The stack in its text varies and is left out.
func TestGoldenPanics(t *testing.T) {
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
		decision.EvidenceAcquired{},
		decision.EvidenceRevoked{},
		decision.ControllerCounts{},
		decision.ResponseFlagged{},
	} {
		h, lines := newHarness(), &logged{}
		log := logrus.New()
		log.SetOutput(io.Discard)
		log.AddHook(lines)
		h.log = log
		h.module.panicNext = true
		h.callModule(h.now, event)
		if len(lines.lines) == 0 {
			t.Fatal("nothing was logged")
		}
		fields := lines.lines[0].Data
		observed += fmt.Sprintf("level=%s event=%v open=%v panic=%v\n", lines.lines[0].Level, fields["event"],
			fields["open"], fields["panic"])
	}
	if err := golden.Check("testdata/panics.golden", []byte(observed)); err != nil {
		t.Error(err)
	}
}
