package upstream

import (
	"bytes"
	"io"
	"maps"
	"net/http"
	"net/url"
	"strconv"

	"ottershed/decision"
	"ottershed/internal/engine"
)

// typicalHeadBytes is the length of the head of most requests.
const typicalHeadBytes = 1 << 10

// encodeRequest encodes a request for HTTP/1.1 and sets X-Time-Left to the remaining time, in seconds.
func encodeRequest(r *engine.Request, remaining decision.Millis) []byte {
	header := maps.Clone(http.Header(r.Header)) // shallow: Set below replaces the value slice
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
	b.Grow(typicalHeadBytes + len(r.Body)) // a buffer that grows as it is written takes up to three times the memory
	_ = req.Write(&b)                      // writing to a bytes.Buffer never fails
	return b.Bytes()
}
