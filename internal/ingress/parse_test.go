package ingress

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"ottershed/decision"
)

// Each error of the parser is returned for a request with this fault only. Of two faults, the first check counts.
func TestParseReturnsFirstError(t *testing.T) {
	parser := newRequestParser(decision.Settings{Classes: []decision.RequestClass{
		{Name: "read", Idempotency: decision.Idempotent},
		{Name: "mark", Idempotency: decision.IdempotentWithKey},
	}, Tenants: []decision.TenantID{"acme"}}, 2000)
	add := func(header, value string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Add(header, value) }
	}
	set := func(header, value string) func(*http.Request) {
		return func(r *http.Request) { r.Header.Set(header, value) }
	}
	for name, test := range map[string]struct {
		method, uri string
		change      func(*http.Request)
		want        error
	}{
		"valid GET":      {"GET", "/read/1?key=a", func(*http.Request) {}, nil},
		"valid POST":     {"POST", "/mark/1", func(r *http.Request) { r.ContentLength = maxBodyBytes }, nil},
		"two ids":        {"GET", "/read/1", add(headerCorrelationID, "d"), errRepeatedCorrelationID},
		"two times left": {"GET", "/read/1", add(headerTimeLeft, "1"), errRepeatedTimeLeft},
		"two tenants":    {"GET", "/read/1", add(headerTenant, "acme"), errRepeatedTenant},
		"two keys":       {"POST", "/mark/1", add(headerIdempotencyKey, "l"), errRepeatedIdempotencyKey},
		"transfer encoding": {"POST", "/mark/1", func(r *http.Request) {
			r.TransferEncoding = []string{"chunked"}
		}, errTransferEncoding},
		"body too long":               {"POST", "/mark/1", func(r *http.Request) { r.ContentLength = maxBodyBytes + 1 }, errBodyTooLong},
		"unknown class":               {"GET", "/other/1", func(*http.Request) {}, errUnknownClass},
		"no path":                     {"GET", "read", func(*http.Request) {}, errUnknownClass},
		"GET of a POST class":         {"GET", "/mark/1", func(*http.Request) {}, errMethodNotPOST},
		"POST of a GET class":         {"POST", "/read/1", func(*http.Request) {}, errMethodNotGET},
		"GET with a body":             {"GET", "/read/1", func(r *http.Request) { r.ContentLength = 1 }, errGETWithBody},
		"no id":                       {"GET", "/read/1", set(headerCorrelationID, ""), errInvalidCorrelationID},
		"id too long":                 {"GET", "/read/1", set(headerCorrelationID, strings.Repeat("i", 129)), errInvalidCorrelationID},
		"unknown tenant":              {"GET", "/read/1", set(headerTenant, "b"), errUnknownTenant},
		"no time left":                {"GET", "/read/1", set(headerTimeLeft, ""), errInvalidTimeLeft},
		"no key":                      {"POST", "/mark/1", set(headerIdempotencyKey, ""), errMissingIdempotencyKey},
		"no time left, unknown class": {"GET", "/other/1", set(headerTimeLeft, ""), errUnknownClass},
		"two ids, body too long": {"POST", "/mark/1", func(r *http.Request) {
			r.ContentLength = maxBodyBytes + 1
			r.Header.Add(headerCorrelationID, "d")
		}, errRepeatedCorrelationID},
	} {
		t.Run(name, func(t *testing.T) {
			r := httptest.NewRequest(test.method, "/", nil)
			r.RequestURI = test.uri
			r.Header.Set(headerCorrelationID, "c")
			r.Header.Set(headerTimeLeft, "3")
			r.Header.Set(headerTenant, "acme")
			r.Header.Set(headerIdempotencyKey, "k")
			test.change(r)
			parsed, err := parser.parse(r)
			if !errors.Is(err, test.want) {
				t.Errorf("parse: got error %v, want %v", err, test.want)
			}
			if err == nil && (parsed.remaining != 2000 || parsed.correlationID != "c" || parsed.tenant != "acme") {
				t.Errorf("parsed request: got %+v, want remaining 2000 ms, correlation id c, tenant acme", parsed)
			}
		})
	}
}

// Every requestError has a text and a status code of 400 to 599.
func TestRequestErrorsHaveStatusAndText(t *testing.T) {
	for i := range requestErrorCount {
		failure := requestError(i)
		if failure.Error() == "" || failure.status() < 400 || failure.status() > 599 {
			t.Errorf("requestError %d: got status %d, text %q; want both set", i, failure.status(), failure.Error())
		}
	}
}
