package admin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
)

// A marshal answers its own commands, with what is wrong where something is, and no page in a browser.
func TestAsk(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New()
	s.Get("/who", func() any { return map[string]int{"n": 1} })
	s.Post("/do", func(_ context.Context, body []byte) (any, error) {
		if string(body) != `"it"` {
			return nil, errors.New("that can't be done")
		}
		return "done", nil
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- s.Run(ctx, l) }()
	at := l.Addr().String()
	for _, c := range []struct{ path, body, want, fault string }{
		{"/who", "", `"n": 1`, ""},
		{"/do", `"it"`, "done", ""},
		{"/do", `"that"`, "", "that can't be done"},
		{"/none", "", "", "404"},
		{"/do", strings.Repeat("x", maxBodyBytes+1), "", "too large"},
	} {
		var body []byte
		if c.body != "" {
			body = []byte(c.body)
		}
		got, err := Call(ctx, at, c.path, body)
		if c.fault == "" && (err != nil || !strings.Contains(string(got), c.want)) ||
			c.fault != "" && (err == nil || !strings.Contains(err.Error(), c.fault)) {
			t.Errorf("%s %.20s: %.60q, %v", c.path, c.body, got, err)
		}
	}
	for name, change := range map[string]func(*http.Request){
		"a form":          func(r *http.Request) { r.Header.Set("Content-Type", "text/plain") },
		"by another name": func(r *http.Request) { r.Host = "attacker.example:80" },
	} {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+at+"/do", strings.NewReader(`"it"`))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Content-Type", jsonType)
		change(req)
		res, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		if res.Body.Close(); res.StatusCode < 400 {
			t.Errorf("%s: %s", name, res.Status)
		}
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if _, err := Call(t.Context(), at, "/who", nil); err == nil {
		t.Error("it answers after its end")
	}
	for address, ok := range map[string]bool{"127.0.0.1:80": true, "[::1]:80": true, "10.0.0.1:80": false, "127.0.0.1:0": false, "host:80": false} {
		if (Check(address) == nil) != ok {
			t.Errorf("%s: %v", address, Check(address))
		}
	}
}
