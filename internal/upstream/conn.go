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
	"strconv"
	"strings"
	"syscall"
	"time"

	"ottershed/decision"
	"ottershed/internal/engine"
	"ottershed/internal/sockopt"
)

const longest = 64 << 10 // bytes of an answer's body, and of what stands before it

// conn is a connection to a node; it carries one request at a time.
type conn struct {
	net.Conn
	left  *io.LimitedReader // what may still come of the present answer
	r     *bufio.Reader
	since time.Time // idle
	over  error     // how reading ended
}

func newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw}
	c.left = &io.LimitedReader{R: c}
	c.r = bufio.NewReader(c.left)
	return c
}

// Read keeps the error with which reading ends. Errors of net/http hide it where an answer breaks off inside a line of its
// head or in its trailer, and an endpoint that has gone would be taken for one that is there.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.over = err
	return n, err
}

// exchange writes the request and reads the whole answer. written tells if the last byte went out, keep if the
// connection is good for another request.
func (c *conn) exchange(ctx context.Context, f engine.Forward, now decision.Millis, until time.Time, rest time.Duration) (
	end engine.End, written, keep bool) {
	c.left.N = 2 * longest
	_, failed := c.Write(encode(f.Request, f.Until-now))
	if failed != nil && !c.begun() {
		return engine.End{Ending: decision.Unreachable}, false, false
	}
	res, body, begun, err := c.answer(ctx, until, rest)
	if err != nil && c.over != nil {
		err = c.over
	}
	switch late := errors.Is(err, os.ErrDeadlineExceeded); {
	case err == nil:
	case late && !begun:
		return engine.End{Ending: decision.TimedOut}, true, false
	// Danger: an answer that can't be read says that the node is there. Taken for a broken connection it would keep hits
	// from a node in good health.
	case late, c.left.N == 0, begun && !ended(err):
		return engine.End{Ending: decision.Spoilt}, true, false
	default:
		return engine.End{Ending: decision.Broken}, true, false
	}
	end.Ending, end.Load = ending(res), load(res.Header.Get("X-Backend-Load"))
	if end.Ending == decision.Delivered {
		end.Reply = &engine.Reply{Fields: res.Header, Body: body}
	}
	return end, true, failed == nil && !res.Close && c.r.Buffered() == 0
}

// begun tells, where the request can't be written to its end, whether an answer to it lies there already. Such a request
// has run for all that is known; taken for one that never ran, it would be sent again and run twice.
func (c *conn) begun() bool {
	c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.r.Peek(1)
	return err == nil
}

// ended tells whether the other side has ended the connection.
func ended(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) ||
		errors.Is(err, syscall.EPIPE)
}

// answer reads answers up to the last one; begun tells if a part of it has come. Danger: one that stays a part holds its
// hit until the client's time is over; nodes send answers in one piece, so the rest of it has rest to come.
func (c *conn) answer(ctx context.Context, until time.Time, rest time.Duration) (
	res *http.Response, body []byte, begun bool, err error) {
	for {
		c.wait(ctx, until)
		if _, err := c.r.Peek(1); err != nil {
			return nil, nil, false, err
		}
		if soon := time.Now().Add(rest); soon.Before(until) {
			c.wait(ctx, soon)
		}
		if res, err = http.ReadResponse(c.r, nil); err != nil {
			return nil, nil, true, err
		}
		switch {
		case res.StatusCode == http.StatusSwitchingProtocols:
			return nil, nil, true, errors.New("answer changes the protocol")
		case res.StatusCode < http.StatusOK:
			continue // not the answer yet
		}
		if res.ContentLength <= longest {
			body, err = io.ReadAll(io.LimitReader(res.Body, longest+1))
		}
		if err == nil && max(res.ContentLength, int64(len(body))) > longest {
			err = errors.New("answer too long")
		}
		return res, body, true, err // what is left of the body goes with the connection
	}
}

// wait has reading end at a time, or at once when ctx is over.
func (c *conn) wait(ctx context.Context, until time.Time) {
	c.SetReadDeadline(until)
	if ctx.Err() != nil {
		c.SetDeadline(time.Unix(1, 0))
	}
}

// encode writes a request with the time that is left for it.
func encode(r *engine.Request, left decision.Millis) []byte {
	header := maps.Clone(http.Header(r.Fields)) // the value set below takes a new slice
	if header == nil {
		header = http.Header{}
	}
	header.Set("X-Time-Left", strconv.FormatFloat(max(0, left)/1000, 'f', 3, 64))
	req := &http.Request{Method: r.Method, URL: &url.URL{Opaque: r.URI}, Host: r.Host, Header: header,
		ContentLength: int64(len(r.Body))}
	if len(r.Body) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	var b bytes.Buffer
	req.Write(&b) // a buffer takes everything
	return b.Bytes()
}

// load reads a node's report; nil if there is none.
func load(text string) *decision.Load {
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
	return !ok || sockopt.Quiet(sys)
}
