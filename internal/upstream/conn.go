package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"maps"
	"math"
	"net"
	"net/http"
	"net/url"
	"os"
	"ottershed/decision"
	"ottershed/internal/engine"
	"ottershed/internal/sockopt"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const maxBody = 64 << 10 // bytes of an answer's body, and of what stands before it

// conn is a connection to a node; it carries one request at a time.
type conn struct {
	net.Conn
	limit     *io.LimitedReader // what may still come of the present answer
	reader    *bufio.Reader
	idleSince time.Time // idle
	readErr   error     // how reading ended
}

func newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw}
	c.limit = &io.LimitedReader{R: c}
	c.reader = bufio.NewReader(c.limit)
	return c
}

// Read keeps the error with which reading ends. Errors of net/http hide it where an answer breaks off inside a line of its
// head or in its trailer, and an endpoint that has gone would be taken for one that is there.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.readErr = err
	return n, err
}

// exchange writes the request and reads the whole answer. written tells if the last byte went out, keep if the
// connection is good for another request.
func (c *conn) exchange(ctx context.Context, f engine.Attempt, now decision.Millis, until time.Time, rest time.Duration) (
	end engine.AttemptResult, written, keep bool,
) {
	c.limit.N = 2 * maxBody
	_, failed := c.Write(encodeRequest(f.Request, f.Deadline-now))
	if failed != nil && !c.responseBegun() {
		return engine.AttemptResult{Outcome: decision.Unreachable}, false, false
	}
	res, body, begun, err := c.readResponse(ctx, until, rest)
	if err != nil && c.readErr != nil {
		err = c.readErr
	}
	switch late := errors.Is(err, os.ErrDeadlineExceeded); {
	case err == nil:
	case late && !begun:
		return engine.AttemptResult{Outcome: decision.TimedOut}, true, false
	// Danger: an answer that can't be read says that the node is there. Taken for a broken connection it would keep hits
	// from a node in good health.
	case late, c.limit.N == 0, begun && !peerClosed(err):
		return engine.AttemptResult{Outcome: decision.MalformedResponse}, true, false
	default:
		return engine.AttemptResult{Outcome: decision.ConnectionBroken}, true, false
	}
	end.Outcome, end.Load = outcomeOf(res), parseLoad(res.Header.Get("X-Backend-Load"))
	if end.Outcome == decision.Succeeded {
		end.Response = &engine.Response{Fields: res.Header, Body: body}
	}
	return end, true, failed == nil && !res.Close && c.reader.Buffered() == 0
}

// begun tells, where the request can't be written to its end, whether an answer to it lies there already. Such a request
// has run for all that is known; taken for one that never ran, it would be sent again and run twice.
func (c *conn) responseBegun() bool {
	c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.reader.Peek(1)
	return err == nil
}

// ended tells whether the other side has ended the connection.
func peerClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE)
}

// answer reads answers up to the last one; begun tells if a part of it has come. Danger: one that stays a part holds its
// hit until the client's time is over; nodes send answers in one piece, so the rest of it has rest to come.
func (c *conn) readResponse(ctx context.Context, until time.Time, rest time.Duration) (
	res *http.Response, body []byte, begun bool, err error,
) {
	for {
		c.setReadDeadline(ctx, until)
		if _, err := c.reader.Peek(1); err != nil {
			return nil, nil, false, err
		}
		if soon := time.Now().Add(rest); soon.Before(until) {
			c.setReadDeadline(ctx, soon)
		}
		if res, err = http.ReadResponse(c.reader, nil); err != nil {
			return nil, nil, true, err
		}
		switch {
		case res.StatusCode == http.StatusSwitchingProtocols:
			return nil, nil, true, errors.New("answer changes the protocol")
		case res.StatusCode < http.StatusOK:
			continue // not the answer yet
		}
		if res.ContentLength <= maxBody {
			body, err = io.ReadAll(io.LimitReader(res.Body, maxBody+1))
		}
		if err == nil && max(res.ContentLength, int64(len(body))) > maxBody {
			err = errors.New("answer too long")
		}
		return res, body, true, err // what is left of the body goes with the connection
	}
}

// wait has reading end at a time, or at once when ctx is over.
func (c *conn) setReadDeadline(ctx context.Context, until time.Time) {
	c.SetReadDeadline(until)
	if ctx.Err() != nil {
		c.SetDeadline(time.Unix(1, 0))
	}
}

// encode writes a request with the time that is left for it.
func encodeRequest(r *engine.Request, remaining decision.Millis) []byte {
	header := maps.Clone(http.Header(r.Fields)) // the value set below takes a new slice
	if header == nil {
		header = http.Header{}
	}
	header.Set("X-Time-Left", strconv.FormatFloat(max(0, remaining)/1000, 'f', 3, 64))
	req := &http.Request{
		Method: r.Method, URL: &url.URL{Opaque: r.URI}, Host: r.Host, Header: header,
		ContentLength: int64(len(r.Body)),
	}
	if len(r.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	var b bytes.Buffer
	req.Write(&b) // a buffer takes everything
	return b.Bytes()
}

// load reads a node's report; nil if there is none.
func parseLoad(text string) *decision.Load {
	if text == "" {
		return nil
	}
	l := &decision.Load{Util: -1, Queue: -1}
	for _, pair := range strings.Split(text, ",") {
		name, val, _ := strings.Cut(pair, "=")
		v, err := strconv.ParseFloat(val, 64)
		switch {
		case err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0: // no figure
		case name == "util" || name == "cpu":
			l.Util = v
		case name == "queue" || name == "waiting":
			l.Queue = v
		}
	}
	return l
}

// quiet tells whether an idle connection still stands with nothing to read. Danger: a request written to one that
// the node has closed ends as reset, and what may have run can't always be sent again.
func (c *conn) quiet() bool {
	sys, ok := c.Conn.(syscall.Conn)
	return !ok || sockopt.IsIdle(sys)
}
