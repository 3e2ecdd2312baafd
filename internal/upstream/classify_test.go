package upstream

import (
	"context"
	"errors"
	"io"
	"os"
	"syscall"
	"testing"
	"time"

	"ottershed/decision"
)

// The result on one connection determines the outcome of an attempt, or that the attempt continues on another
// connection.
func TestClassifyAttempt(t *testing.T) {
	sent := func(o decision.Outcome) exchangeResult { return exchangeResult{outcome: o, mayHaveRun: true} }
	unsent := exchangeResult{outcome: decision.Unreachable}
	for name, test := range map[string]struct {
		result           exchangeResult
		reused, canceled bool          // the connection was reused; the attempt was canceled
		deadline, sendBy time.Duration // relative to now
		want             decision.Outcome
		reconnect        bool
	}{
		"succeeded": {
			sent(decision.Succeeded), false, false, time.Hour, time.Hour, decision.Succeeded, false,
		},
		"succeeded, then canceled": {
			sent(decision.Succeeded), false, true, time.Hour, time.Hour, decision.Succeeded, false,
		},
		"rejected, then canceled": {
			sent(decision.EndpointRejected), true, true, time.Hour, time.Hour, decision.EndpointRejected, false,
		},
		"malformed": {
			sent(decision.MalformedResponse), false, false, time.Hour, time.Hour, decision.MalformedResponse, false,
		},
		"malformed, canceled": {
			sent(decision.MalformedResponse), false, true, time.Hour, time.Hour, decision.Canceled, false,
		},
		"broken on a reused connection": {
			sent(decision.ConnectionBroken), true, false, time.Hour, time.Hour, decision.ConnectionBroken, false,
		},
		"broken by cancel": {
			sent(decision.ConnectionBroken), false, true, time.Hour, time.Hour, decision.Canceled, false,
		},
		"timed out": {
			sent(decision.TimedOut), false, false, -time.Hour, -time.Hour, decision.TimedOut, false,
		},
		"unsent on a new connection":         {unsent, false, false, time.Hour, time.Hour, decision.Unreachable, false},
		"unsent on a reused connection":      {unsent, true, false, time.Hour, time.Hour, 0, true},
		"unsent, canceled":                   {unsent, true, true, time.Hour, time.Hour, decision.NotSent, false},
		"unsent, new, after sendBy":          {unsent, false, false, time.Hour, -time.Second, decision.NotSent, false},
		"unsent, reused, after the deadline": {unsent, true, false, -time.Second, -time.Second, decision.Unreachable, false},
		"unsent, reused, after sendBy":       {unsent, true, false, time.Hour, -time.Second, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if test.canceled {
				cancel()
			}
			now := time.Now()
			run := attemptRun{deadline: now.Add(test.deadline)}
			acquired := acquiredConn{reused: test.reused, sendBy: now.Add(test.sendBy)}
			outcome, reconnect := run.classify(ctx, acquired, test.result)
			if outcome != test.want || reconnect != test.reconnect {
				t.Errorf("classify: got outcome %d, reconnect %v, want %d, %v", outcome, reconnect, test.want, test.reconnect)
			}
		})
	}
}

// A read error shows that the endpoint did not respond, closed the connection, or sent a malformed response.
func TestClassifyReadError(t *testing.T) {
	for name, test := range map[string]struct {
		err              error
		started, tooLong bool // a part of a response came; the response exceeds the limit
		want             decision.Outcome
	}{
		"timeout":                         {os.ErrDeadlineExceeded, false, false, decision.TimedOut},
		"timeout within the response":     {os.ErrDeadlineExceeded, true, false, decision.MalformedResponse},
		"closed":                          {io.EOF, false, false, decision.ConnectionBroken},
		"closed within the response":      {io.ErrUnexpectedEOF, true, false, decision.ConnectionBroken},
		"reset within the response":       {syscall.ECONNRESET, true, false, decision.ConnectionBroken},
		"can't be parsed":                 {errors.New("malformed"), true, false, decision.MalformedResponse},
		"too long":                        {io.EOF, true, true, decision.MalformedResponse},
		"other error before the response": {errors.New("network down"), false, false, decision.ConnectionBroken},
	} {
		t.Run(name, func(t *testing.T) {
			if got := classifyReadError(test.err, test.started, test.tooLong); got != test.want {
				t.Errorf("classifyReadError: got outcome %d, want %d", got, test.want)
			}
		})
	}
}
