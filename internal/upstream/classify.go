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

// Faults of a response that net/http takes.
var (
	errProtocolChange  = errors.New("response changes the protocol")
	errResponseTooLong = errors.New("response too long")
)

// hasResponded tells whether an outcome is a response of the endpoint, be it one that can't be parsed.
func hasResponded(o decision.Outcome) bool {
	return o == decision.Succeeded || o == decision.EndpointFailed || o == decision.EndpointRejected ||
		o == decision.MalformedResponse
}

// classifyStatus names what a response's status says.
func classifyStatus(res *http.Response) decision.Outcome {
	if res.StatusCode == http.StatusOK {
		return decision.Succeeded
	}
	full := res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusGatewayTimeout
	if full && res.Header.Get("X-Unprocessed") == "1" {
		return decision.EndpointRejected
	}
	return decision.EndpointFailed
}

// classifyReadError names what it says that no response could be read. One that has begun and can't be parsed says that
// the endpoint is there; taken for a broken connection it would keep requests from a healthy endpoint.
func classifyReadError(err error, begun, tooLong bool) decision.Outcome {
	late := errors.Is(err, os.ErrDeadlineExceeded)
	switch {
	case late && !begun:
		return decision.TimedOut
	case late, tooLong, begun && !peerClosed(err):
		return decision.MalformedResponse
	default:
		return decision.ConnectionBroken
	}
}

// peerClosed tells whether the other side has ended the connection.
func peerClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE)
}

// classifyConnectError names what it says that no connection came up. That the attempt may no longer be sent, or that
// descriptors are short here, says nothing of the endpoint.
func classifyConnectError(err error, maySend bool) decision.Outcome {
	if !maySend || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
		return decision.NotSent
	}
	return decision.Unreachable
}

// classify names how an attempt has ended, by what has become of it on one connection; again means that it is carried
// on over another one. An attempt that was canceled has ended so, unless the endpoint has responded before.
func (r *attemptRun) classify(ctx context.Context, on acquired, e exchange) (outcome decision.Outcome, again bool) {
	switch {
	case e.outcome == decision.MalformedResponse && ctx.Err() != nil:
		return decision.Canceled, false
	case hasResponded(e.outcome):
		return e.outcome, false
	case e.written && ctx.Err() != nil:
		return decision.Canceled, false
	case e.written:
		return e.outcome, false
	case on.reused && ctx.Err() == nil && time.Now().Before(r.deadline):
		return 0, true // the kept connection was dead and nothing has run
	case ctx.Err() != nil || on.sendBy.Before(r.deadline) && !time.Now().Before(on.sendBy):
		return decision.NotSent, false
	default:
		return decision.Unreachable, false
	}
}

// parseLoad reads an endpoint's load report; nil if there is none. What is no figure from 0 on is left out.
func parseLoad(text string) *decision.Load {
	if text == "" {
		return nil
	}
	load := &decision.Load{Util: -1, Queue: -1}
	for _, pair := range strings.Split(text, ",") {
		name, figure, _ := strings.Cut(pair, "=")
		v, err := strconv.ParseFloat(figure, 64)
		if err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			continue
		}
		switch name {
		case "util", "cpu":
			load.Util = v
		case "queue", "waiting":
			load.Queue = v
		}
	}
	return load
}
