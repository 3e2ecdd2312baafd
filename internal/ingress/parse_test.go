package ingress

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"ottershed/decision"
)

// Each refusal of the parser is the error of a request that has this fault alone, and the first of two faults counts.
func TestParse(t *testing.T) {
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
		"a GET":       {"GET", "/read/1?key=a", func(*http.Request) {}, nil},
		"a POST":      {"POST", "/mark/1", func(r *http.Request) { r.ContentLength = maxBody }, nil},
		"two ids":     {"GET", "/read/1", add(headerCorrelationID, "d"), errRepeatedCorrelationID},
		"two times":   {"GET", "/read/1", add(headerTimeLeft, "1"), errRepeatedTimeLeft},
		"two tenants": {"GET", "/read/1", add(headerTenant, "acme"), errRepeatedTenant},
		"two keys":    {"POST", "/mark/1", add(headerIdempotencyKey, "l"), errRepeatedIdempotencyKey},
		"a transfer coding": {"POST", "/mark/1", func(r *http.Request) {
			r.TransferEncoding = []string{"chunked"}
		}, errTransferCoding},
		"a long body":          {"POST", "/mark/1", func(r *http.Request) { r.ContentLength = maxBody + 1 }, errBodyTooLong},
		"another class":        {"GET", "/other/1", func(*http.Request) {}, errUnknownClass},
		"no path":              {"GET", "read", func(*http.Request) {}, errUnknownClass},
		"a GET with key":       {"GET", "/mark/1", func(*http.Request) {}, errWantsPOST},
		"a POST of a read":     {"POST", "/read/1", func(*http.Request) {}, errWantsGET},
		"a GET with a body":    {"GET", "/read/1", func(r *http.Request) { r.ContentLength = 1 }, errBodyOfGET},
		"no id":                {"GET", "/read/1", set(headerCorrelationID, ""), errCorrelationID},
		"a long id":            {"GET", "/read/1", set(headerCorrelationID, strings.Repeat("i", 129)), errCorrelationID},
		"another tenant":       {"GET", "/read/1", set(headerTenant, "b"), errUnknownTenant},
		"no time":              {"GET", "/read/1", set(headerTimeLeft, ""), errTimeLeft},
		"no key":               {"POST", "/mark/1", set(headerIdempotencyKey, ""), errNoIdempotencyKey},
		"no time, wrong class": {"GET", "/other/1", set(headerTimeLeft, ""), errUnknownClass},
		"two ids, long body": {"POST", "/mark/1", func(r *http.Request) {
			r.ContentLength = maxBody + 1
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
				t.Errorf("error %v, want %v", err, test.want)
			}
			if err == nil && (parsed.remaining != 2000 || parsed.correlationID != "c" || parsed.tenant != "acme") {
				t.Errorf("parsed as %+v", parsed)
			}
		})
	}
}

// Every refusal has a text, and a status code of an error.
func TestRefusals(t *testing.T) {
	for i := range refusalCount {
		refusal := refusalError(i)
		if refusal.Error() == "" || refusal.status() < 400 || refusal.status() > 599 {
			t.Errorf("refusal %d: status %d, text %q", i, refusal.status(), refusal.Error())
		}
	}
}
