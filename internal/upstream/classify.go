package upstream

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"ottershed/decision"
)

// Errors of responses that net/http accepts and this package does not.
var (
	errProtocolChange  = errors.New("response switches the protocol")
	errResponseTooLong = errors.New("response body exceeds 64 KiB")
)

// hasResponded reports whether an outcome means that the endpoint sent a response, including a malformed one.
func hasResponded(o decision.Outcome) bool {
	return o == decision.Succeeded || o == decision.EndpointFailed || o == decision.EndpointRejected ||
		o == decision.MalformedResponse
}

// classifyStatus returns the outcome for the status of a response. A 503 or 504 counts as rejected only with the header
// X-Unprocessed: 1. Without it the request may have run.
func classifyStatus(res *http.Response) decision.Outcome {
	if res.StatusCode == http.StatusOK {
		return decision.Succeeded
	}
	overloaded := res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusGatewayTimeout
	if overloaded && res.Header.Get("X-Unprocessed") == "1" {
		return decision.EndpointRejected
	}
	return decision.EndpointFailed
}

// classifyReadError returns the outcome for a response that could not be read. A response that started but can't be
// parsed shows that the endpoint is reachable. Counted as a broken connection, it would take requests away from a
// healthy endpoint.
func classifyReadError(err error, started, tooLong bool) decision.Outcome {
	timedOut := errors.Is(err, os.ErrDeadlineExceeded)
	switch {
	case timedOut && !started:
		return decision.TimedOut
	case timedOut, tooLong, started && !peerClosed(err):
		return decision.MalformedResponse
	default:
		return decision.ConnectionBroken
	}
}

// peerClosed reports whether an error means that the peer closed or reset the connection.
func peerClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE)
}

// classifyConnectError returns the outcome of an attempt without a connection. The endpoint does not count as
// unreachable if the attempt may no longer be sent or this process is out of descriptors.
func classifyConnectError(err error, maySend bool) decision.Outcome {
	if !maySend || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
		return decision.NotSent
	}
	return decision.Unreachable
}

// classify returns the outcome of an attempt after the exchange on one connection, or reconnect if the attempt
// continues on another connection. A canceled attempt that was sent has the outcome Canceled unless a complete response
// came before.
func (r *attemptRun) classify(
	ctx context.Context, acquired acquiredConn, result exchangeResult,
) (outcome decision.Outcome, reconnect bool) {
	switch {
	case result.outcome == decision.MalformedResponse && ctx.Err() != nil:
		return decision.Canceled, false
	case hasResponded(result.outcome):
		return result.outcome, false
	case result.mayHaveRun && ctx.Err() != nil:
		return decision.Canceled, false
	case result.mayHaveRun:
		return result.outcome, false
	case acquired.reused && ctx.Err() == nil && time.Now().Before(r.deadline):
		return 0, true // the idle connection was dead and the request has not run
	case ctx.Err() != nil || acquired.sendBy.Before(r.deadline) && !time.Now().Before(acquired.sendBy):
		return decision.NotSent, false
	default:
		return decision.Unreachable, false
	}
}

// parseLoad parses an endpoint's load report, comma-separated name=value pairs. It returns nil for an empty report.
// Values that are not finite numbers of 0 or more are ignored; a value that is missing or ignored is -1.
func parseLoad(report string) *decision.Load {
	if report == "" {
		return nil
	}
	load := &decision.Load{Utilisation: -1, Queue: -1}
	for _, pair := range strings.Split(report, ",") {
		name, encoded, _ := strings.Cut(pair, "=")
		value, err := strconv.ParseFloat(encoded, 64)
		if err != nil || math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
			continue
		}
		switch name {
		case "util", "cpu":
			load.Utilisation = value
		case "queue", "waiting":
			load.Queue = value
		}
	}
	return load
}
