package admin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"ottershed/internal/golden"
)

// sampleResponse is the result of a handler.
type sampleResponse struct {
	Text   string `json:"text"`
	Number int    `json:"number"`
}

// serveBody sends a request to the handler of a server and returns the body of its response.
func serveBody(t *testing.T, server *Server, method, path string) []byte {
	t.Helper()
	request := httptest.NewRequest(method, "http://127.0.0.1:1"+path, strings.NewReader("{}"))
	request.Header.Set("Content-Type", jsonType)
	recorder := httptest.NewRecorder()
	server.server.Handler.ServeHTTP(recorder, request)
	return recorder.Body.Bytes()
}

// Commands of earlier versions read responses and errors of this form. The form of both must not change.
func TestResponsesOnTheWire(t *testing.T) {
	want := sampleResponse{Text: "x", Number: 1}
	server := New()
	server.Get("/sample", func() any { return want })
	server.Post("/error", func(context.Context, []byte) (any, error) { return nil, errors.New("that can't be done") })
	golden.AssertFixture(t, "response.json", serveBody(t, server, http.MethodGet, "/sample"))
	golden.AssertFixture(t, "error.json", serveBody(t, server, http.MethodPost, "/error"))
	var got sampleResponse
	if err := json.Unmarshal(golden.Read(t, "response.json"), &got); err != nil {
		t.Fatal(err)
	}
	golden.AssertDecoded(t, "response.json", got, want)
	var failure errorResponse
	if err := json.Unmarshal(golden.Read(t, "error.json"), &failure); err != nil {
		t.Fatal(err)
	}
	golden.AssertDecoded(t, "error.json", failure, errorResponse{Error: "that can't be done"})
}
