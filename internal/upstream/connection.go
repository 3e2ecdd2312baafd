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

// maxBody is the maximum size of a response's body in bytes. The whole response, with its status line and headers, may
// have twice as many.
const maxBody = 64 << 10

// responseProbeTimeout limits the wait for a response that arrived before its request was written completely.
const responseProbeTimeout = time.Millisecond

// pastDeadline is a deadline in the past. Setting it interrupts reads and writes.
var pastDeadline = time.Unix(1, 0)

// conn is a connection to an endpoint. It carries one request at a time.
type conn struct {
	net.Conn
	readLimit *io.LimitedReader // remaining bytes allowed for the current response
	reader    *bufio.Reader
	idleSince time.Time // when the last exchange ended, or the connection was established
	readErr   error     // error of the last read, if any
}

// exchangeResult is the result of one request on one connection.
type exchangeResult struct {
	outcome    decision.Outcome
	load       *decision.Load   // the endpoint's load report; nil: none
	response   *engine.Response // nil unless the outcome is Succeeded
	mayHaveRun bool             // the last byte was written or a response came
	reusable   bool             // the connection may carry another request
}

// newConn wraps an established connection.
func newConn(raw net.Conn) *conn {
	c := &conn{Conn: raw, idleSince: time.Now()}
	c.readLimit = &io.LimitedReader{R: c}
	c.reader = bufio.NewReader(c.readLimit)
	return c
}

// Read reads from the connection and stores the error in readErr. The errors of net/http hide the cause if a response
// breaks off inside a header line or in the trailer, and an endpoint that is gone would be taken for a reachable one.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.readErr = err
	return n, err
}

// write writes a request with a single call. It returns whether the request may have run and whether it was written
// completely.
func (c *conn) write(request []byte) (mayHaveRun, complete bool) {
	c.readLimit.N = 2 * maxBody
	if _, err := c.Write(request); err != nil {
		return c.responseStarted(), false
	}
	return true, true
}

// responseStarted reports, after an incomplete write, whether a response has arrived already. Such a request may have
// run. Treated as never run, it would be sent again and could run twice.
func (c *conn) responseStarted() bool {
	_ = c.SetReadDeadline(time.Now().Add(responseProbeTimeout)) // fails only on a closed connection
	_, err := c.reader.Peek(1)
	return err == nil
}

// read reads the response to a request and returns the result of the exchange. readTimeout limits the time from the
// first byte of the response to the last.
func (c *conn) read(ctx context.Context, deadline time.Time, readTimeout time.Duration) exchangeResult {
	res, body, started, err := c.readResponse(ctx, deadline, readTimeout)
	if err != nil {
		if c.readErr != nil {
			err = c.readErr
		}
		return exchangeResult{outcome: classifyReadError(err, started, c.readLimit.N == 0), mayHaveRun: true}
	}
	result := exchangeResult{
		outcome: classifyStatus(res), load: parseLoad(res.Header.Get("X-Backend-Load")), mayHaveRun: true,
		reusable: !res.Close && c.reader.Buffered() == 0,
	}
	if result.outcome == decision.Succeeded {
		result.response = &engine.Response{Header: res.Header, Body: body}
	}
	return result
}

// readResponse skips 1xx responses and reads the final one. started reports whether a part of a response has come.
// readTimeout limits the time from the first byte of a response to the last: an endpoint sends a response in one piece,
// and an incomplete response would block its request until the client's deadline.
func (c *conn) readResponse(ctx context.Context, deadline time.Time, readTimeout time.Duration) (
	res *http.Response, body []byte, started bool, err error,
) {
	for {
		c.setReadDeadline(ctx, deadline)
		if _, err := c.reader.Peek(1); err != nil {
			return nil, nil, false, err
		}
		if readBy := time.Now().Add(readTimeout); readBy.Before(deadline) {
			c.setReadDeadline(ctx, readBy)
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

// readBody reads the body of a response. A body of more than maxBody bytes is an error, after which the connection
// can't be reused.
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

// setReadDeadline sets the read deadline, or interrupts the connection if ctx has ended. An error can only mean that
// the connection is closed, which the next read returns.
func (c *conn) setReadDeadline(ctx context.Context, deadline time.Time) {
	_ = c.SetReadDeadline(deadline)
	if ctx.Err() != nil {
		c.interrupt()
	}
}

// interrupt makes pending and later reads and writes fail at once.
func (c *conn) interrupt() {
	_ = c.SetDeadline(pastDeadline) // fails only on a closed connection
}
