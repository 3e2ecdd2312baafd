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

// What one connection has made of an attempt gives its outcome, or another connection.
func TestClassify(t *testing.T) {
	sent := func(o decision.Outcome) exchange { return exchange{outcome: o, written: true} }
	unsent := exchange{outcome: decision.Unreachable}
	for name, test := range map[string]struct {
		done             exchange
		reused, canceled bool
		deadline, sendBy time.Duration // from now on
		want             decision.Outcome
		again            bool
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
		"broken on a kept connection": {
			sent(decision.ConnectionBroken), true, false, time.Hour, time.Hour, decision.ConnectionBroken, false,
		},
		"broken by canceling": {
			sent(decision.ConnectionBroken), false, true, time.Hour, time.Hour, decision.Canceled, false,
		},
		"timed out": {
			sent(decision.TimedOut), false, false, -time.Hour, -time.Hour, decision.TimedOut, false,
		},
		"unsent on a new connection":          {unsent, false, false, time.Hour, time.Hour, decision.Unreachable, false},
		"unsent on a kept connection":         {unsent, true, false, time.Hour, time.Hour, 0, true},
		"unsent, canceled":                    {unsent, true, true, time.Hour, time.Hour, decision.NotSent, false},
		"unsent, new, too late to send":       {unsent, false, false, time.Hour, -time.Second, decision.NotSent, false},
		"unsent, kept, the deadline is over":  {unsent, true, false, -time.Second, -time.Second, decision.Unreachable, false},
		"unsent, kept, too late to send once": {unsent, true, false, time.Hour, -time.Second, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if test.canceled {
				cancel()
			}
			now := time.Now()
			run := attemptRun{deadline: now.Add(test.deadline)}
			on := acquired{reused: test.reused, sendBy: now.Add(test.sendBy)}
			if outcome, again := run.classify(ctx, on, test.done); outcome != test.want || again != test.again {
				t.Errorf("outcome %d, again %v, want %d, %v", outcome, again, test.want, test.again)
			}
		})
	}
}

// An error of reading says that the endpoint is silent, gone, or there and can't be understood.
func TestClassifyReadError(t *testing.T) {
	for name, test := range map[string]struct {
		err            error
		begun, tooLong bool
		want           decision.Outcome
	}{
		"late":                      {os.ErrDeadlineExceeded, false, false, decision.TimedOut},
		"late within the response":  {os.ErrDeadlineExceeded, true, false, decision.MalformedResponse},
		"ended":                     {io.EOF, false, false, decision.ConnectionBroken},
		"ended within the response": {io.ErrUnexpectedEOF, true, false, decision.ConnectionBroken},
		"reset within the response": {syscall.ECONNRESET, true, false, decision.ConnectionBroken},
		"can't be parsed":           {errors.New("malformed"), true, false, decision.MalformedResponse},
		"too long":                  {io.EOF, true, true, decision.MalformedResponse},
		"another error before it":   {errors.New("network down"), false, false, decision.ConnectionBroken},
	} {
		t.Run(name, func(t *testing.T) {
			if got := classifyReadError(test.err, test.begun, test.tooLong); got != test.want {
				t.Errorf("outcome %d, want %d", got, test.want)
			}
		})
	}
}
