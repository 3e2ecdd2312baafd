package ingress

import (
	"bytes"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"ottershed/internal/engine"
	"ottershed/internal/logging"
)

// Guards against late responses that the log does not show: the first one is logged at once, further ones within the interval
// are counted in the line after it, which tells of the latest, and responses in time are not logged.
func TestLateResponsesAreLogged(t *testing.T) {
	var out bytes.Buffer
	delays := &delayLog{log: logging.New(&out, logrus.WarnLevel)}
	respond := func(id string, at float64) {
		delays.observeResponse(at, &engine.ClientRequest{CorrelationID: id, ReceivedAt: 1000, Remaining: 500}, 40, 503)
	}
	respond("in-time", 1500+float64(lateThreshold.Milliseconds())-1)
	if out.Len() > 0 {
		t.Fatalf("log after a response in time: got %q, want nothing", out.String())
	}
	respond("first", 1600)
	respond("second", 2300)
	respond("third", 1700)
	if lines := strings.Count(out.String(), "\n"); lines != 1 || !strings.Contains(out.String(), "count=1 id=first longest_ms=100") {
		t.Errorf("log within the interval: got %q, want one line on the first response", out.String())
	}
	out.Reset()
	delays.late.loggedAt = time.Now().Add(-delayLogInterval)
	respond("fourth", 1600)
	if want := "count=3 id=second longest_ms=800 status=503 waited_ms=40"; !strings.Contains(out.String(), want) {
		t.Errorf("log after the interval: got %q, want it to contain %q", out.String(), want)
	}
}

// Guards against delays of fast clients that the log does not show.
func TestPacedRequestsAreLogged(t *testing.T) {
	var out bytes.Buffer
	delays := &delayLog{log: logging.New(&out, logrus.WarnLevel)}
	client := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 1}
	for range 2 {
		delays.observePacing(client, 30*time.Millisecond)
	}
	if want := `client="127.0.0.1:1" count=1 longest_ms=30`; strings.Count(out.String(), "\n") != 1 || !strings.Contains(out.String(), want) {
		t.Errorf("log: got %q, want one line with %q", out.String(), want)
	}
}
