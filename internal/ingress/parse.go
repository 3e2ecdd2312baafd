package ingress

import (
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"ottershed/decision"
)

// Bounds on what a client sends. A higher value takes more memory for each connection.
const (
	maxBody          = 64 << 10 // bytes
	maxHead          = 8 << 10  // bytes
	maxCorrelationID = 128      // bytes
)

// Headers of clients.
const (
	headerCorrelationID  = "X-Correlation-Id"
	headerTimeLeft       = "X-Time-Left" // seconds
	headerTenant         = "X-Account"
	headerIdempotencyKey = "Idempotency-Key"
	headerRetried        = "X-Repeat"
	headerResumed        = "X-Resume"
)

// singleHeaders may stand in a request once at most: an endpoint may go by another one of two than this server.
var singleHeaders = []struct {
	name     string
	repeated refusalError
}{
	{headerCorrelationID, errRepeatedCorrelationID},
	{headerTimeLeft, errRepeatedTimeLeft},
	{headerTenant, errRepeatedTenant},
	{headerIdempotencyKey, errRepeatedIdempotencyKey},
}

// requestParser checks requests against the settings.
type requestParser struct {
	classes        map[string]*decision.RequestClass // by the first part of the path
	tenants        map[decision.TenantID]bool        // empty: every tenant is served
	longestTimeout decision.Millis                   // of a client; longer ones are cut, those beyond twice refused
}

// parsedRequest is what the head of a request says.
type parsedRequest struct {
	class         *decision.RequestClass
	remaining     decision.Millis // until the client gives up, more than 0
	tenant        decision.TenantID
	correlationID string
}

func newRequestParser(s decision.Settings, longestTimeout decision.Millis) requestParser {
	parser := requestParser{
		classes:        make(map[string]*decision.RequestClass, len(s.Classes)),
		tenants:        make(map[decision.TenantID]bool, len(s.Tenants)),
		longestTimeout: longestTimeout,
	}
	for _, id := range s.Tenants {
		parser.tenants[id] = true
	}
	for _, class := range s.Classes {
		parser.classes[string(class.Name)] = &class
	}
	return parser
}

// parse checks the head of a request; the error is a refusalError, the first one that applies.
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
		return parsedRequest{}, errCorrelationID
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
		return parsedRequest{}, errNoIdempotencyKey
	}
	return parsedRequest{class, remaining, tenant, id}, nil
}

// checkFraming finds what makes two readers of a request see different ones, and bodies that are too long.
//
// With both a transfer coding and a length, which net/http drops unseen, the body may hide another request. Clients
// send none of the codings, so none is taken.
func checkFraming(r *http.Request) error {
	for _, header := range singleHeaders {
		if len(r.Header[header.name]) > 1 {
			return header.repeated
		}
	}
	if len(r.TransferEncoding) > 0 {
		return errTransferCoding
	}
	if r.ContentLength > maxBody {
		return errBodyTooLong
	}
	return nil
}

// class finds the class of a request by the first part of its path, as the client wrote it.
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

// checkMethod wants a GET without a body of idempotent classes, and a POST of the others.
func checkMethod(r *http.Request, class *decision.RequestClass) error {
	if class.Idempotency != decision.Idempotent {
		if r.Method != http.MethodPost {
			return errWantsPOST
		}
		return nil
	}
	if r.Method != http.MethodGet {
		return errWantsGET
	}
	if r.ContentLength != 0 {
		return errBodyOfGET
	}
	return nil
}

// remaining reads the time that is left until the client gives up.
func (p *requestParser) remaining(text string) (decision.Millis, error) {
	seconds, err := strconv.ParseFloat(text, 64)
	remaining := seconds * 1000
	if err != nil || math.IsNaN(remaining) || remaining <= 0 || remaining > 2*p.longestTimeout {
		return 0, errTimeLeft
	}
	return min(remaining, p.longestTimeout), nil
}

// stickyKey is the subject of a request: the first "key" of the query, empty where there is none. A request whose key
// is not read would go back to the baseline where keys stay with the build that has responded to them.
func stickyKey(query string) decision.Key {
	for pair := range strings.SplitSeq(query, "&") {
		name, text, _ := strings.Cut(pair, "=")
		if name != "key" {
			continue
		}
		if plain, err := url.QueryUnescape(text); err == nil {
			text = plain
		}
		return decision.Key(text)
	}
	return ""
}
