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
	readTimeout    = 5 * time.Second  // limit for reading a request, and for an idle connection
	writeTimeout   = 20 * time.Second // limit for a request and its response; some handlers query other instances
	maxHeaderBytes = 4 << 10          // limit for the request line and headers of a request
	maxBodyBytes   = 4 << 20          // limit for the body of a request, and of a response that Call reads
)

const jsonType = "application/json"

// Server is an HTTP server that responds in JSON.
type Server struct {
	mux    *http.ServeMux
	server *http.Server
}

// New returns a server without paths.
func New() *Server {
	mux := http.NewServeMux()
	return &Server{mux: mux, server: &http.Server{
		Handler: requireLocal(mux), ReadTimeout: readTimeout, WriteTimeout: writeTimeout,
		IdleTimeout: readTimeout, MaxHeaderBytes: maxHeaderBytes, ErrorLog: log.New(io.Discard, "", 0),
	}}
}

// requireLocal rejects requests that cannot come from a command: a Host that is not a loopback address, or a POST with
// another content type than JSON. Without this check, a page in a browser on the same machine could propose policies by
// a host name that resolves to loopback (DNS rebinding) or by a form (CSRF).
func requireLocal(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		host, err := netip.ParseAddrPort(r.Host)
		if err != nil || !host.Addr().IsLoopback() {
			writeJSON(w, http.StatusMisdirectedRequest, errorResponse{"not asked by an address of loopback"})
			return
		}
		if r.Method == http.MethodPost && r.Header.Get("Content-Type") != jsonType {
			writeJSON(w, http.StatusUnsupportedMediaType, errorResponse{"want " + jsonType})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Get registers a path for GET requests. The response is the result of handle as JSON.
func (s *Server) Get(path string, handle func() any) {
	s.GetWithContext(path, func(context.Context) any { return handle() })
}

// GetWithContext is like Get, for a handler that takes time. The context of handle ends with the request.
func (s *Server) GetWithContext(path string, handle func(context.Context) any) {
	s.mux.HandleFunc("GET "+path, func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, http.StatusOK, handle(r.Context()))
	})
}

// Post registers a path for POST requests. The response is the result of handle for the request's body, as JSON. If
// handle returns an error, the response is its text with status 409. A body that is longer than 4 MiB or can't be read
// gets status 413.
func (s *Server) Post(path string, handle func(ctx context.Context, body []byte) (any, error)) {
	s.mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if err != nil {
			writeJSON(w, http.StatusRequestEntityTooLarge, errorResponse{err.Error()})
			return
		}
		response, err := handle(r.Context(), body)
		if err != nil {
			writeJSON(w, http.StatusConflict, errorResponse{err.Error()})
			return
		}
		writeJSON(w, http.StatusOK, response)
	})
}

// errorResponse is the body of a response that reports an error.
type errorResponse struct {
	Error string `json:"error"`
}

// writeJSON sends a response with a JSON body. It responds with status 500 if the value cannot be encoded.
func writeJSON(w http.ResponseWriter, status int, response any) {
	raw, err := json.MarshalIndent(response, "", "  ")
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", jsonType)
	w.WriteHeader(status)
	_, _ = w.Write(append(raw, '\n')) // fails if the caller has disconnected; the response has no other reader
}

// AddressError is returned for an address that the server may not listen on.
type AddressError struct {
	Want    string // the form that is required, such as "ip:port"
	Address string // the rejected address
}

func (e *AddressError) Error() string { return fmt.Sprintf("want %s, got %q", e.Want, e.Address) }

// CheckAddress returns an AddressError unless the server may listen on the address. Only ip:port of a loopback address
// is allowed, with a port other than 0, since the interface has no authentication and is for this machine alone.
func CheckAddress(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		return &AddressError{Want: "ip:port", Address: address}
	}
	if !parsed.Addr().IsLoopback() {
		return &AddressError{Want: "a loopback address", Address: address}
	}
	return nil
}

// Run serves requests on a listener until ctx ends, and closes the listener. It returns nil if ctx has ended the server.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	// Close returns an error of closing the listener, which has no effect on the result of Serve.
	stop := context.AfterFunc(ctx, func() { _ = s.server.Close() })
	defer stop()
	if err := s.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve admin interface: %w", err)
	}
	return nil
}
