package ingress

import (
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"ottershed/decision"
)

// Limits on requests. Higher values need more memory for each connection.
const (
	maxBodyBytes     = 64 << 10
	maxHeaderBytes   = 8 << 10 // request line and headers
	maxHeaderLines   = 100     // request line and headers
	maxCorrelationID = 128     // length in bytes
)

// Headers of clients.
const (
	headerCorrelationID  = "X-Correlation-Id"
	headerTimeLeft       = "X-Time-Left" // seconds until the client gives up
	headerTenant         = "X-Account"
	headerIdempotencyKey = "Idempotency-Key"
	headerRetried        = "X-Repeat" // "1": the client retries a request
	headerResumed        = "X-Resume" // "1": the client repeats a request whose instance has disappeared
)

// singleHeaders lists the headers that a request may have only once: of two values, an endpoint might use another one
// than this server.
var singleHeaders = []struct {
	name     string
	repeated requestError
}{
	{headerCorrelationID, errRepeatedCorrelationID},
	{headerTimeLeft, errRepeatedTimeLeft},
	{headerTenant, errRepeatedTenant},
	{headerIdempotencyKey, errRepeatedIdempotencyKey},
}

// requestParser checks requests against the settings.
type requestParser struct {
	classes map[string]*decision.RequestClass // keyed by the first segment of the path
	tenants map[decision.TenantID]bool        // empty: all tenants are accepted
	// maxClientTimeout is the longest remaining time of a request. A longer one is reduced to it; one of more than twice
	// as much is an error.
	maxClientTimeout decision.Millis
}

// parsedRequest holds the values from the headers and request line.
type parsedRequest struct {
	class         *decision.RequestClass
	remaining     decision.Millis // time until the client gives up; above 0
	tenant        decision.TenantID
	correlationID string
}

func newRequestParser(s decision.Settings, maxClientTimeout decision.Millis) requestParser {
	parser := requestParser{
		classes:          make(map[string]*decision.RequestClass, len(s.Classes)),
		tenants:          make(map[decision.TenantID]bool, len(s.Tenants)),
		maxClientTimeout: maxClientTimeout,
	}
	for _, id := range s.Tenants {
		parser.tenants[id] = true
	}
	for _, class := range s.Classes {
		parser.classes[string(class.Name)] = &class
	}
	return parser
}

// parse checks the request line and headers. The error is a requestError, the first one that applies.
func (p *requestParser) parse(r *http.Request) (parsedRequest, error) {
	if err := checkFraming(r); err != nil {
		return parsedRequest{}, err
	}
	class, err := p.class(r.RequestURI)
	if err != nil {
		return parsedRequest{}, err
	}
	if err := checkMethod(r, class); err != nil {
		return parsedRequest{}, err
	}
	id := r.Header.Get(headerCorrelationID)
	if id == "" || len(id) > maxCorrelationID {
		return parsedRequest{}, errInvalidCorrelationID
	}
	tenant := decision.TenantID(r.Header.Get(headerTenant))
	if len(p.tenants) > 0 && !p.tenants[tenant] {
		return parsedRequest{}, errUnknownTenant
	}
	remaining, err := p.remaining(r.Header.Get(headerTimeLeft))
	if err != nil {
		return parsedRequest{}, err
	}
	if class.Idempotency == decision.IdempotentWithKey && r.Header.Get(headerIdempotencyKey) == "" {
		return parsedRequest{}, errMissingIdempotencyKey
	}
	return parsedRequest{class, remaining, tenant, id}, nil
}

// checkFraming rejects requests that two servers may parse differently, and bodies that are too long.
//
// If a request has a Transfer-Encoding and a Content-Length, which net/http then drops, its body may hide another request
// (request smuggling). Clients do not use Transfer-Encoding, so no coding is accepted.
func checkFraming(r *http.Request) error {
	for _, header := range singleHeaders {
		if len(r.Header[header.name]) > 1 {
			return header.repeated
		}
	}
	if len(r.TransferEncoding) > 0 {
		return errTransferEncoding
	}
	if r.ContentLength > maxBodyBytes {
		return errBodyTooLong
	}
	return nil
}

// class returns the request class by the first segment of the path. The path is not unescaped before.
func (p *requestParser) class(uri string) (*decision.RequestClass, error) {
	if !strings.HasPrefix(uri, "/") {
		return nil, errUnknownClass
	}
	path, _, _ := strings.Cut(uri, "?")
	name, _, _ := strings.Cut(path[1:], "/")
	class := p.classes[name]
	if class == nil {
		return nil, errUnknownClass
	}
	return class, nil
}

// checkMethod requires a GET without a body for idempotent classes, and a POST for the others.
func checkMethod(r *http.Request, class *decision.RequestClass) error {
	if class.Idempotency != decision.Idempotent {
		if r.Method != http.MethodPost {
			return errMethodNotPOST
		}
		return nil
	}
	if r.Method != http.MethodGet {
		return errMethodNotGET
	}
	if r.ContentLength != 0 {
		return errGETWithBody
	}
	return nil
}

// remaining parses X-Time-Left, the time in seconds until the client gives up, and returns it in milliseconds. A time
// above maxClientTimeout is reduced to that. The error is errInvalidTimeLeft for a time that is no number, not
// positive, or more than twice maxClientTimeout.
func (p *requestParser) remaining(timeLeft string) (decision.Millis, error) {
	seconds, err := strconv.ParseFloat(timeLeft, 64)
	remaining := seconds * 1000
	if err != nil || math.IsNaN(remaining) || remaining <= 0 || remaining > 2*p.maxClientTimeout {
		return 0, errInvalidTimeLeft
	}
	return min(remaining, p.maxClientTimeout), nil
}

// stickyKey returns the first "key" parameter of the query, unescaped if its escapes are valid, or an empty key. With
// sticky keys, a request goes to the build that has responded to its key. Without its key, it could go back to the
// baseline.
func stickyKey(query string) decision.Key {
	for pair := range strings.SplitSeq(query, "&") {
		name, value, _ := strings.Cut(pair, "=")
		if name != "key" {
			continue
		}
		if unescaped, err := url.QueryUnescape(value); err == nil {
			value = unescaped
		}
		return decision.Key(value)
	}
	return ""
}
