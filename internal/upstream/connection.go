package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"ottershed/decision"
	"ottershed/internal/engine"
)

// maxBody is the longest body of a response, and of what stands before it, in bytes.
const maxBody = 64 << 10

// responseProbe is how long a request that can't be written to its end waits for a response that is there already.
const responseProbe = time.Millisecond

// expired is a deadline that has passed.
var expired = time.Unix(1, 0)

// conn is a connection to an endpoint; it carries one request at a time.
type conn struct {
	net.Conn
	limit     *io.LimitedReader // what may still come of the present response
	reader    *bufio.Reader
	idleSince time.Time // while it is idle
	readErr   error     // how reading ended
}

// exchange is what has become of a request on one connection.
type exchange struct {
	outcome  decision.Outcome
	load     *decision.Load   // the endpoint's report; nil: none
	response *engine.Response // of a success
	written  bool             // the last byte went out, or a response came: it may have run
	reusable bool             // the connection is good for another request
}

func newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw}
	c.limit = &io.LimitedReader{R: c}
	c.reader = bufio.NewReader(c.limit)
	return c
}

// Read keeps the error with which reading ends. Errors of net/http hide it where a response breaks off inside a line of
// its head or in its trailer, and an endpoint that has gone would be taken for one that is there.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.readErr = err
	return n, err
}

// write writes a request in one piece and once. It returns whether the request may have run, and whether it is out to
// its last byte.
func (c *conn) write(request []byte) (mayHaveRun, complete bool) {
	c.limit.N = 2 * maxBody
	if _, err := c.Write(request); err != nil {
		return c.responseBegun(), false
	}
	return true, true
}

// responseBegun tells, where a request can't be written to its end, whether a response to it is there already. Such a
// request has run for all that is known; taken for one that never ran, it would be sent again and run twice.
func (c *conn) responseBegun() bool {
	_ = c.SetReadDeadline(time.Now().Add(responseProbe)) // fails on a connection that has ended only
	_, err := c.reader.Peek(1)
	return err == nil
}

// read reads the response to a request and closes the exchange with what it says.
func (c *conn) read(ctx context.Context, deadline time.Time, rest time.Duration) exchange {
	res, body, begun, err := c.readResponse(ctx, deadline, rest)
	if err != nil {
		if c.readErr != nil {
			err = c.readErr
		}
		return exchange{outcome: classifyReadError(err, begun, c.limit.N == 0), written: true}
	}
	result := exchange{
		outcome: classifyStatus(res), load: parseLoad(res.Header.Get("X-Backend-Load")), written: true,
		reusable: !res.Close && c.reader.Buffered() == 0,
	}
	if result.outcome == decision.Succeeded {
		result.response = &engine.Response{Fields: res.Header, Body: body}
	}
	return result
}

// readResponse reads responses up to the final one; begun tells whether a part of it has come. A response that stays a
// part would keep its request until the client's time is over; endpoints send it in one piece, so its rest has the time
// rest.
func (c *conn) readResponse(ctx context.Context, deadline time.Time, rest time.Duration) (
	res *http.Response, body []byte, begun bool, err error,
) {
	for {
		c.setReadDeadline(ctx, deadline)
		if _, err := c.reader.Peek(1); err != nil {
			return nil, nil, false, err
		}
		if soon := time.Now().Add(rest); soon.Before(deadline) {
			c.setReadDeadline(ctx, soon)
		}
		res, err = http.ReadResponse(c.reader, nil)
		if err != nil {
			return nil, nil, true, err
		}
		if res.StatusCode == http.StatusSwitchingProtocols {
			return nil, nil, true, errProtocolChange
		}
		if res.StatusCode >= http.StatusOK {
			body, err = readBody(res)
			return res, body, true, err
		}
	}
}

// readBody reads the body of a response. What is left of one that is too long goes with the connection.
func readBody(res *http.Response) ([]byte, error) {
	if res.ContentLength > maxBody {
		return nil, errResponseTooLong
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxBody+1))
	if err == nil && len(body) > maxBody {
		err = errResponseTooLong
	}
	return body, err
}

// setReadDeadline has reading end at a time, or at once when ctx is over. It fails on a connection that has ended only,
// whose next read says so.
func (c *conn) setReadDeadline(ctx context.Context, at time.Time) {
	_ = c.SetReadDeadline(at)
	if ctx.Err() != nil {
		c.interrupt()
	}
}

// interrupt ends reading and writing at once.
func (c *conn) interrupt() {
	_ = c.SetDeadline(expired) // fails on a connection that has ended only
}
