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

// sample stands for any response.
type sample struct {
	Text   string `json:"text"`
	Number int    `json:"number"`
}

// responseBody is the body of the response that a path gives.
func responseBody(t *testing.T, server *Server, method, path string) []byte {
	t.Helper()
	request := httptest.NewRequest(method, "http://127.0.0.1:1"+path, strings.NewReader("{}"))
	request.Header.Set("Content-Type", jsonType)
	recorder := httptest.NewRecorder()
	server.server.Handler.ServeHTTP(recorder, request)
	return recorder.Body.Bytes()
}

// Responses and errors are as commands of earlier programs read them.
func TestResponsesOnTheWire(t *testing.T) {
	want := sample{Text: "x", Number: 1}
	server := New()
	server.Get("/sample", func() any { return want })
	server.Post("/fault", func(context.Context, []byte) (any, error) { return nil, errors.New("that can't be done") })
	golden.Compare(t, "answer.json", responseBody(t, server, http.MethodGet, "/sample"))
	golden.Compare(t, "fault.json", responseBody(t, server, http.MethodPost, "/fault"))
	var got sample
	if err := json.Unmarshal(golden.Read(t, "answer.json"), &got); err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "answer.json", got, want)
	var read errorResponse
	if err := json.Unmarshal(golden.Read(t, "fault.json"), &read); err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "fault.json", read, errorResponse{Error: "that can't be done"})
}
