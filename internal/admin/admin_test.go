package admin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
)

// testServer is a running server with one path for GET and one for POST.
type testServer struct {
	address string
	cancel  context.CancelFunc
	ended   chan error // receives the result of Run
}

// startTestServer runs a server. The test must call stop.
func startTestServer(t *testing.T) testServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := New()
	server.Get("/who", func() any { return map[string]int{"n": 1} })
	server.Post("/do", func(_ context.Context, body []byte) (any, error) {
		if string(body) != `"it"` {
			return nil, errors.New("that can't be done")
		}
		return "done", nil
	})
	ctx, cancel := context.WithCancel(t.Context())
	r := testServer{address: listener.Addr().String(), cancel: cancel, ended: make(chan error)}
	go func() { r.ended <- server.Run(ctx, listener) }()
	return r
}

// stop ends the server and checks that Run returns no error.
func (r testServer) stop(t *testing.T) {
	t.Helper()
	r.cancel()
	if err := <-r.ended; err != nil {
		t.Errorf("Run: got error %v, want none", err)
	}
}

// The server responds until it is stopped. Call returns the JSON, or the reason or status of an error response.
func TestCallReturnsResponseOrReason(t *testing.T) {
	server := startTestServer(t)
	for _, c := range []struct{ path, body, want string }{
		{"/who", "", `"n": 1`},
		{"/do", `"it"`, "done"},
	} {
		got, err := Call(t.Context(), server.address, c.path, requestBody(c.body))
		if err != nil || !strings.Contains(string(got), c.want) {
			t.Errorf("%s %s: got %.60q, error %v, want %s", c.path, c.body, got, err, c.want)
		}
	}
	for _, c := range []struct{ path, body, reason string }{
		{"/do", `"that"`, "that can't be done"},
		{"/do", strings.Repeat("x", maxBodyBytes+1), "http: request body too large"},
	} {
		got, err := Call(t.Context(), server.address, c.path, requestBody(c.body))
		var rejected *RequestError
		if !errors.As(err, &rejected) || *rejected != (RequestError{server.address, c.reason}) {
			t.Errorf("%s %.20s: got %.60q, error %v, want RequestError %q", c.path, c.body, got, err, c.reason)
		}
	}
	var status *StatusError
	got, err := Call(t.Context(), server.address, "/none", nil)
	if !errors.As(err, &status) || status.Code != http.StatusNotFound {
		t.Errorf("/none: got %.60q, error %v, want a StatusError of code 404", got, err)
	}
	server.stop(t)
	if _, err := Call(t.Context(), server.address, "/who", nil); err == nil {
		t.Error("the server responds after it was stopped")
	}
}

// requestBody returns the body for Call: nil, for a GET, if the text is empty.
func requestBody(text string) []byte {
	if text == "" {
		return nil
	}
	return []byte(text)
}

// A page in a browser on the same machine can send forms and use host names that resolve to loopback. Both get errors.
func TestBrowserRequestsAreRejected(t *testing.T) {
	server := startTestServer(t)
	defer server.stop(t)
	for name, test := range map[string]struct {
		change func(*http.Request)
		status int
	}{
		"content type of a form": {
			func(r *http.Request) { r.Header.Set("Content-Type", "text/plain") }, http.StatusUnsupportedMediaType,
		},
		"Host is a name": {func(r *http.Request) { r.Host = "attacker.example:80" }, http.StatusMisdirectedRequest},
	} {
		t.Run(name, func(t *testing.T) {
			url := "http://" + server.address + "/do"
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(`"it"`))
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("Content-Type", jsonType)
			test.change(req)
			res, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			_ = res.Body.Close() // only the status is checked
			if res.StatusCode != test.status {
				t.Errorf("response: got status %s, want %d", res.Status, test.status)
			}
		})
	}
}

func TestOnlyLoopbackAddressesPassCheck(t *testing.T) {
	for _, address := range []string{"127.0.0.1:80", "[::1]:80"} {
		if err := CheckAddress(address); err != nil {
			t.Errorf("%s: got error %v, want none", address, err)
		}
	}
	for address, want := range map[string]string{
		"10.0.0.1:80": "a loopback address", "127.0.0.1:0": "ip:port", "host:80": "ip:port",
	} {
		var rejected *AddressError
		if err := CheckAddress(address); !errors.As(err, &rejected) || *rejected != (AddressError{want, address}) {
			t.Errorf("%s: got error %v, want %s", address, err, want)
		}
	}
}
