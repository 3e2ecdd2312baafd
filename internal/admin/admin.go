// Package admin answers the operator's questions to a running marshal, on loopback only: what `ottershed members` and its
// like ask. It is no front: no hit comes here.
package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"time"
)

const (
	timeout        = 5 * time.Second
	maxHeaderBytes = 4 << 10
	maxBodyBytes   = 4 << 20 // of an answer that Ask takes, and of a question
)

// Server answers on one listener.
type Server struct {
	mux    *http.ServeMux
	server *http.Server
}

// New makes a server without answers.
func New() *Server {
	mux := http.NewServeMux()
	return &Server{mux: mux, server: &http.Server{
		Handler: requireLocal(mux), ReadTimeout: timeout, WriteTimeout: 4 * timeout,
		IdleTimeout: timeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: log.New(io.Discard, "", 0),
	}}
}

// own lets through what a command of ours may have sent. Danger: a page in a browser on this machine can send to loopback,
// too, by its own name for it or as a form: it would propose policies.
func requireLocal(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if at, err := netip.ParseAddrPort(r.Host); err != nil || !at.Addr().IsLoopback() {
			write(w, http.StatusMisdirectedRequest, errorResponse{"not asked by an address of loopback"})
			return
		}
		if r.Method == http.MethodPost && r.Header.Get("Content-Type") != jsonType {
			write(w, http.StatusUnsupportedMediaType, errorResponse{"want " + jsonType})
			return
		}
		next.ServeHTTP(w, r)
	})
}

const jsonType = "application/json"

// Get has a path answered with what show returns, as JSON.
func (s *Server) Get(path string, show func() any) {
	s.GetWith(path, func(context.Context) any { return show() })
}

// GetWith does so where the answer has to be looked for; the context ends with the question.
func (s *Server) GetWith(path string, show func(context.Context) any) {
	s.mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) { write(w, http.StatusOK, show(r.Context())) })
}

// fault is an answer that says what is wrong.
type errorResponse struct {
	Error string `json:"error"`
}

// Post has a path take a body and answer with what do returns; an error is the caller's to mend, and its text is told.
func (s *Server) Post(path string, do func(ctx context.Context, body []byte) (any, error)) {
	s.mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			write(w, http.StatusRequestEntityTooLarge, errorResponse{err.Error()})
			return
		}
		response, err := do(r.Context(), body)
		if err != nil {
			write(w, http.StatusConflict, errorResponse{err.Error()})
			return
		}
		write(w, http.StatusOK, response)
	})
}

func write(w http.ResponseWriter, status int, response any) {
	raw, err := json.MarshalIndent(response, "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", jsonType)
	w.WriteHeader(status)
	w.Write(append(raw, '\n'))
}

// Check tells whether an address may be listened on: one of this machine's own only, for the answers are for nobody else.
func Check(address string) error {
	at, err := netip.ParseAddrPort(address)
	if err != nil || at.Port() == 0 {
		return fmt.Errorf("want ip:port, got %q", address)
	}
	if !at.Addr().IsLoopback() {
		return fmt.Errorf("want an address of loopback, got %q", address)
	}
	return nil
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	ended := context.AfterFunc(ctx, func() { s.server.Close() })
	defer ended()
	if err := s.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("admin: %w", err)
	}
	return nil
}

// Ask asks the marshal whose admin address is given: with a body a POST, without a GET. The answer is JSON.
func Call(ctx context.Context, address, path string, body []byte) ([]byte, error) {
	method := http.MethodGet
	if body != nil {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", address, err)
	}
	req.Header.Set("Content-Type", jsonType)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, Proxy: nil}}
	res, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", address, err)
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(res.Body, maxBodyBytes))
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", address, err)
	}
	if res.StatusCode != http.StatusOK {
		var f errorResponse
		if json.Unmarshal(raw, &f) == nil && f.Error != "" {
			return nil, fmt.Errorf("%s: %s", address, f.Error)
		}
		return nil, fmt.Errorf("ask %s%s: %s", address, path, res.Status)
	}
	return raw, nil
}
