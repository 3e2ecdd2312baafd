package admin

import (
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
	readTimeout    = 5 * time.Second  // of a request, and of an idle connection
	writeTimeout   = 20 * time.Second // of a request with its response; one may have to ask other instances
	maxHeaderBytes = 4 << 10
	maxBodyBytes   = 4 << 20 // of a request, and of a response that Call takes
)

const jsonType = "application/json"

// Server serves JSON on one listener.
type Server struct {
	mux    *http.ServeMux
	server *http.Server
}

// New makes a server without paths.
func New() *Server {
	mux := http.NewServeMux()
	return &Server{mux: mux, server: &http.Server{
		Handler: requireLocal(mux), ReadTimeout: readTimeout, WriteTimeout: writeTimeout,
		IdleTimeout: readTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: log.New(io.Discard, "", 0),
	}}
}

// requireLocal lets through what a command may have sent. A page in a browser on this machine can reach loopback too,
// by a name that resolves to it or with a form, and could propose policies.
func requireLocal(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		host, err := netip.ParseAddrPort(r.Host)
		if err != nil || !host.Addr().IsLoopback() {
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

// Get serves a path with what show returns, as JSON.
func (s *Server) Get(path string, show func() any) {
	s.GetWith(path, func(context.Context) any { return show() })
}

// GetWith does so where show needs time; its context ends with the request.
func (s *Server) GetWith(path string, show func(context.Context) any) {
	s.mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
		write(w, http.StatusOK, show(r.Context()))
	})
}

// Post serves a path that takes a body with what do returns, as JSON. The text of an error goes to the caller, with
// status 409.
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

// errorResponse says what is wrong with a request.
type errorResponse struct {
	Error string `json:"error"`
}

// write sends a response.
func write(w http.ResponseWriter, status int, response any) {
	raw, err := json.MarshalIndent(response, "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", jsonType)
	w.WriteHeader(status)
	_, _ = w.Write(append(raw, '\n')) // the caller has gone, and nobody else waits for the response
}

// AddressError is returned for an address that the server may not listen on.
type AddressError struct {
	Want    string
	Address string
}

func (e *AddressError) Error() string { return fmt.Sprintf("want %s, got %q", e.Want, e.Address) }

// Check tells whether the server may listen on an address: ip:port of loopback only, since responses are for this
// machine alone. The error is an AddressError.
func Check(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		return &AddressError{Want: "ip:port", Address: address}
	}
	if !parsed.Addr().IsLoopback() {
		return &AddressError{Want: "an address of loopback", Address: address}
	}
	return nil
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	// Close returns the listener's error; the end of Serve is all that counts.
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer stop()
	if err := s.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("admin: %w", err)
	}
	return nil
}
