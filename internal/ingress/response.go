package ingress

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"

	"ottershed/decision"
	"ottershed/internal/engine"
)

// respondError responds with the text of an error and closes the connection. The status code is that of a requestError,
// and 400 for any other error.
func respondError(w http.ResponseWriter, err error) {
	status := http.StatusBadRequest
	if failure, ok := errors.AsType[requestError](err); ok {
		status = failure.status()
	}
	w.Header().Set("Connection", "close")
	http.Error(w, err.Error(), status)
}

// setRetryAfter sets Retry-After, in seconds with three decimals. It sets no header if after is not positive.
func setRetryAfter(header http.Header, after decision.Millis) {
	if after > 0 {
		header.Set("Retry-After", strconv.FormatFloat(after/1000, 'f', 3, 64))
	}
}

// newResponse returns the HTTP response for a final result of the engine.
func newResponse(r *http.Request, result engine.Result) *http.Response {
	res := &http.Response{
		Request: r, StatusCode: http.StatusInternalServerError, Proto: "HTTP/1.1", ProtoMajor: 1,
		ProtoMinor: 1, Header: http.Header{},
	}
	var body []byte
	switch result.Kind {
	case engine.Succeeded:
		res.StatusCode = http.StatusOK
		res.Header, body = result.Response.Header, result.Response.Body
		res.Header.Del("Transfer-Encoding")
	case engine.Rejected:
		res.StatusCode = http.StatusServiceUnavailable
		setRetryAfter(res.Header, result.RetryAfter)
	case engine.Failed: // status 500, set above
	}
	res.Header.Set("Content-Length", strconv.Itoa(len(body)))
	res.ContentLength = int64(len(body))
	res.Body = io.NopCloser(bytes.NewReader(body))
	return res
}
