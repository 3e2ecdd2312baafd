package admin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
)

// running is a server that runs, with a path of each kind.
type running struct {
	address string
	cancel  context.CancelFunc
	ended   chan error // of Run
}

// start runs a server; stop ends it and must be called.
func start(t *testing.T) running {
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
	r := running{address: listener.Addr().String(), cancel: cancel, ended: make(chan error)}
	go func() { r.ended <- server.Run(ctx, listener) }()
	return r
}

// stop ends the server, which is no error.
func (r running) stop(t *testing.T) {
	t.Helper()
	r.cancel()
	if err := <-r.ended; err != nil {
		t.Error(err)
	}
}

// An instance serves its commands, with the reason where a request is rejected, until its end.
func TestCall(t *testing.T) {
	server := start(t)
	for _, c := range []struct{ path, body, want string }{
		{"/who", "", `"n": 1`},
		{"/do", `"it"`, "done"},
	} {
		got, err := Call(t.Context(), server.address, c.path, bodyOf(c.body))
		if err != nil || !strings.Contains(string(got), c.want) {
			t.Errorf("%s %s: %.60q, %v", c.path, c.body, got, err)
		}
	}
	for _, c := range []struct{ path, body, reason string }{
		{"/do", `"that"`, "that can't be done"},
		{"/do", strings.Repeat("x", maxBodyBytes+1), "http: request body too large"},
	} {
		got, err := Call(t.Context(), server.address, c.path, bodyOf(c.body))
		var rejected *RequestError
		if !errors.As(err, &rejected) || *rejected != (RequestError{server.address, c.reason}) {
			t.Errorf("%s %.20s: %.60q, %v", c.path, c.body, got, err)
		}
	}
	var status *StatusError
	got, err := Call(t.Context(), server.address, "/none", nil)
	if !errors.As(err, &status) || status.Code != http.StatusNotFound {
		t.Errorf("/none: %.60q, %v", got, err)
	}
	server.stop(t)
	if _, err := Call(t.Context(), server.address, "/who", nil); err == nil {
		t.Error("it responds after its end")
	}
}

// bodyOf is the body of a request; none if the text is empty.
func bodyOf(text string) []byte {
	if text == "" {
		return nil
	}
	return []byte(text)
}

// A page in a browser on this machine gets no response but an error.
func TestRequireLocal(t *testing.T) {
	server := start(t)
	defer server.stop(t)
	for name, test := range map[string]struct {
		change func(*http.Request)
		status int
	}{
		"a form": {
			func(r *http.Request) { r.Header.Set("Content-Type", "text/plain") }, http.StatusUnsupportedMediaType,
		},
		"by another name": {func(r *http.Request) { r.Host = "attacker.example:80" }, http.StatusMisdirectedRequest},
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
			_ = res.Body.Close() // the status is all that counts
			if res.StatusCode != test.status {
				t.Errorf("status %s, want %d", res.Status, test.status)
			}
		})
	}
}

// Only addresses of loopback may be listened on.
func TestCheck(t *testing.T) {
	for _, address := range []string{"127.0.0.1:80", "[::1]:80"} {
		if err := Check(address); err != nil {
			t.Errorf("%s: %v", address, err)
		}
	}
	for address, want := range map[string]string{
		"10.0.0.1:80": "an address of loopback", "127.0.0.1:0": "ip:port", "host:80": "ip:port",
	} {
		var fault *AddressError
		if err := Check(address); !errors.As(err, &fault) || *fault != (AddressError{want, address}) {
			t.Errorf("%s: %v, want %s", address, err, want)
		}
	}
}
