// Package front takes hits from clients and passes final answers back.
package ingress

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log"
	"math"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"ottershed/decision"
	"ottershed/internal/clock"
	"ottershed/internal/cluster/lease"
	"ottershed/internal/engine"
	"ottershed/internal/settings"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	maxBody = 64 << 10
	maxHead = 8 << 10
	maxID   = 128

	// owed is when a client that doesn't ask for anything readable must have an error or a close, from connecting on.
	responseDue = 3 * time.Second
	// inTime is the part of it that the head of a request may take, and its body again.
	readTimeout = responseDue / 3
	// unused is how long a connection is kept for a client that asks nothing more.
	idleTimeout = 2 * responseDue
)

// Marshal is whom hits are handed to.
type Engine interface {
	ReceiveRequest(*engine.ClientRequest)
	ClientDisconnected(*engine.ClientRequest)
}

// Front is the server that clients connect to.
type Server struct {
	engine       Engine
	clock        *clock.Clock
	classes      map[string]decision.RequestClass // by the settings
	network      settings.Network
	retryAfter   decision.Millis            // longest time to come back
	tenants      map[decision.TenantID]bool // by the settings
	limiter      *connLimiter
	server       *http.Server
	draining     atomic.Bool
	notReady     atomic.Bool                                       // by Hold
	decideResume func(*decision.RequestClass) lease.ResumeDecision // nil: hits are not brought again

	mu      sync.Mutex
	openIDs map[string]bool // of hits that are open; the end of their handler empties it
}

// New makes a front that holds so many connections of clients; Serve starts it.
func New(m Engine, c *clock.Clock, s decision.Settings, n settings.Network, maxConnections int, log logrus.FieldLogger) *Server {
	server := &Server{
		engine: m, clock: c, network: n, retryAfter: s.MaxRetryAfter, limiter: newConnLimiter(maxConnections, log),
		classes: map[string]decision.RequestClass{}, tenants: map[decision.TenantID]bool{}, openIDs: map[string]bool{},
	}
	for _, id := range s.Tenants {
		server.tenants[id] = true
	}
	for _, g := range s.Classes {
		server.classes[string(g.Name)] = g
	}
	proxy := &httputil.ReverseProxy{
		Rewrite: rewrite, Transport: server, ModifyResponse: server.closeIfDraining, ErrorHandler: abortConnection,
		ErrorLog: discardLog(),
	}
	requests := server.readRequest(proxy)
	server.server = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/up" {
				server.serveReadiness(w)
			} else {
				requests(w, r)
			}
		}), ReadHeaderTimeout: readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHead, ErrorLog: discardLog(),
		ConnState: server.limiter.state,
	}
	return server
}

// Resume has hits taken that clients bring again from marshals that are gone, marked by X-Resume; before Serve.
func (f *Server) HandleResumed(decide func(*decision.RequestClass) lease.ResumeDecision) {
	f.decideResume = decide
}

// Hold has hits bounced, and /up say no, until Ready; before Serve. Danger: what discovery has told counts from a
// process's first moment on, and the list of its configuration may be older.
func (f *Server) SetNotReady() { f.notReady.Store(true) }

// Ready ends Hold.
func (f *Server) SetReady() { f.notReady.Store(false) }

// quietLog is for what clients do wrong, which is no line in our log.
func discardLog() *log.Logger { return log.New(io.Discard, "", 0) }

// up tells the front layer whether this marshal takes hits.
func (f *Server) serveReadiness(w http.ResponseWriter) {
	if f.draining.Load() || f.notReady.Load() {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// rewrite keeps method, path, query and headers as they came.
func rewrite(r *httputil.ProxyRequest) {
	r.Out.URL.Scheme, r.Out.URL.Host, r.Out.URL.RawQuery = "http", r.In.Host, r.In.URL.RawQuery
	for _, name := range []string{"Connection", "Upgrade", "Te", "Expect"} { // they concern one connection only
		r.Out.Header.Del(name)
	}
}

// last has the connection closed after an answer while this marshal leaves or has too many.
func (f *Server) closeIfDraining(r *http.Response) error {
	if f.draining.Load() || r.Close {
		r.Header.Set("Connection", "close")
	}
	// The last byte of a long answer is out before its handler ends; its client may use the id again from then on.
	r.Request.Context().Value(releaseKey{}).(func())()
	return nil
}

// abandon ends the connection of a client that has gone.
func abortConnection(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }

type (
	requestKey struct{}
	releaseKey struct{}
)

// refuse answers what is no hit with an error, and closes. Danger: where its framing is in doubt, what follows on the
// connection may be a part of it, or hide another request.
func rejectMalformed(w http.ResponseWriter, status int, fault string) {
	w.Header().Set("Connection", "close")
	http.Error(w, fault, status)
}

// whole reads a request to its end and checks it before the marshal hears of it.
func (f *Server) readRequest(next http.Handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		receivedAt := f.clock.Now()
		class, remaining, status, fault := f.check(r)
		if fault != "" {
			rejectMalformed(w, status, fault)
			return
		}
		if f.decideResume != nil && r.Header.Get("X-Resume") == "1" && f.decideResume(&class) == lease.ResumeReject {
			// What may have run is never forwarded by another marshal; its client hears so at once.
			if f.retryAfter > 0 {
				w.Header().Set("Retry-After", strconv.FormatFloat(f.retryAfter/1000, 'f', 3, 64))
			}
			rejectMalformed(w, http.StatusInternalServerError, "it may have run")
			return
		}
		var body []byte
		if r.ContentLength > 0 {
			control := http.NewResponseController(w)
			control.SetReadDeadline(time.Now().Add(min(readTimeout, clock.Duration(remaining))))
			body = make([]byte, r.ContentLength)
			if _, err := io.ReadFull(r.Body, body); err != nil {
				panic(http.ErrAbortHandler) // cut off halfway
			}
			control.SetReadDeadline(time.Time{})
		}
		id := r.Header.Get("X-Correlation-Id")
		if !f.claimID(id) {
			rejectMalformed(w, http.StatusConflict, "X-Correlation-Id is that of an open request")
			return
		}
		free := sync.OnceFunc(func() { f.releaseID(id) })
		defer free()
		request := &engine.ClientRequest{
			Class: class.Name, Tenant: decision.TenantID(r.Header.Get("X-Account")), Key: key(r), Remaining: remaining,
			ReceivedAt: receivedAt, Retried: r.Header.Get("X-Repeat") == "1",
			Request: &engine.Request{Method: r.Method, URI: r.RequestURI, Host: r.Host, Body: body},
		}
		r.Body = http.NoBody
		ctx := context.WithValue(context.WithValue(r.Context(), requestKey{}, request), releaseKey{}, free)
		next.ServeHTTP(w, r.WithContext(ctx))
	}
}

// key is the subject of a hit, empty where it names none: "key" in the query. Danger: where keys stay with the build that
// has answered them, a hit whose key is not read goes back to the earlier build.
func key(r *http.Request) decision.Key {
	for pair := range strings.SplitSeq(r.URL.RawQuery, "&") {
		if name, text, _ := strings.Cut(pair, "="); name == "key" {
			if plain, err := url.QueryUnescape(text); err == nil {
				text = plain
			}
			return decision.Key(text)
		}
	}
	return ""
}

// claim tells whether no open hit has this id. Danger: two with one id are copies of each other for a node.
func (f *Server) claimID(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	free := !f.openIDs[id]
	f.openIDs[id] = true
	return free
}

func (f *Server) releaseID(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.openIDs, id)
}

// check tells the path group and the time that is left, or what is wrong with a request and the status for it.
func (f *Server) check(r *http.Request) (class decision.RequestClass, remaining decision.Millis, status int, fault string) {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	class, known := f.classes[name]
	for _, field := range []string{"X-Correlation-Id", "X-Time-Left", "X-Account", "Idempotency-Key"} {
		if len(r.Header[field]) > 1 {
			return class, 0, http.StatusBadRequest, field + " more than once"
		}
	}
	seconds, err := strconv.ParseFloat(r.Header.Get("X-Time-Left"), 64)
	remaining = seconds * 1000
	method := http.MethodPost
	if class.Idempotency == decision.Idempotent {
		method = http.MethodGet
	}
	id, tenant := r.Header.Get("X-Correlation-Id"), decision.TenantID(r.Header.Get("X-Account"))
	switch {
	// Danger: with both a transfer coding and a length, which the server drops unseen, the body may hide another
	// request. Clients send none of the codings, so none is taken.
	case len(r.TransferEncoding) > 0:
		return class, 0, http.StatusLengthRequired, "no transfer coding is taken"
	case r.ContentLength > maxBody:
		return class, 0, http.StatusRequestEntityTooLarge, "body too long"
	case !strings.HasPrefix(r.RequestURI, "/") || !known:
		return class, 0, http.StatusNotFound, "no such path group"
	case r.Method != method:
		return class, 0, http.StatusMethodNotAllowed, "this path group takes " + method
	case method == http.MethodGet && r.ContentLength != 0:
		return class, 0, http.StatusBadRequest, "a GET takes no body"
	case id == "" || len(id) > maxID:
		return class, 0, http.StatusBadRequest, "X-Correlation-Id is missing or too long"
	case len(f.tenants) > 0 && !f.tenants[tenant]:
		return class, 0, http.StatusBadRequest, "no such X-Account"
	case err != nil || math.IsNaN(remaining) || remaining <= 0 || remaining > 2*f.network.LongestTimeout:
		return class, 0, http.StatusBadRequest, "X-Time-Left is no time that a client waits"
	case class.Idempotency == decision.IdempotentWithKey && r.Header.Get("Idempotency-Key") == "":
		return class, 0, http.StatusBadRequest, "no Idempotency-Key"
	}
	return class, min(remaining, f.network.LongestTimeout), 0, ""
}

// RoundTrip hands a hit to the marshal and waits for its final answer.
func (f *Server) RoundTrip(r *http.Request) (*http.Response, error) {
	// Danger: a hit that comes when the gate is shut, on a connection that was still open, may not be answered by a node
	// before the process is killed.
	if f.notReady.Load() || f.limiter.isClosed() || f.limiter.full() {
		res := response(r, engine.Result{Kind: engine.Rejected, RetryAfter: f.retryAfter})
		res.Close = true
		return res, nil
	}
	request := r.Context().Value(requestKey{}).(*engine.ClientRequest)
	request.Request.Fields = r.Header
	results := make(chan engine.Result, 1)
	request.Respond = func(a engine.Result) { results <- a }
	f.engine.ReceiveRequest(request)
	// Danger: a hit without a final answer breaks a rule, whatever the owner is at; so the wait has an end here too.
	overdue := time.NewTimer(clock.Duration(request.ReceivedAt + request.Remaining + f.network.ResponseSlack - f.clock.Now()))
	defer overdue.Stop()
	select {
	case a := <-results:
		return response(r, a), nil
	case <-overdue.C:
		f.engine.ClientDisconnected(request)
		return response(r, engine.Result{Kind: engine.Failed}), nil
	case <-r.Context().Done():
		f.engine.ClientDisconnected(request)
		return nil, r.Context().Err()
	}
}

// response makes a final answer one of HTTP.
func response(r *http.Request, a engine.Result) *http.Response {
	res := &http.Response{
		Request: r, StatusCode: http.StatusInternalServerError, Proto: "HTTP/1.1", ProtoMajor: 1,
		ProtoMinor: 1, Header: http.Header{},
	}
	var body []byte
	switch a.Kind {
	case engine.Succeeded:
		res.StatusCode, res.Header, body = http.StatusOK, a.Response.Fields, a.Response.Body
		res.Header.Del("Transfer-Encoding")
	case engine.Rejected:
		res.StatusCode = http.StatusServiceUnavailable
		if a.RetryAfter > 0 {
			res.Header.Set("Retry-After", strconv.FormatFloat(a.RetryAfter/1000, 'f', 3, 64))
		}
	}
	res.Header.Set("Content-Length", strconv.Itoa(len(body)))
	res.ContentLength = int64(len(body))
	res.Body = io.NopCloser(bytes.NewReader(body))
	return res
}

// Serve takes connections until Leave.
func (f *Server) Serve(l net.Listener) error {
	if !f.limiter.listen(l) { // left before it began
		return l.Close()
	}
	err := f.server.Serve(f.limiter)
	if f.draining.Load() || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Leave has the front layer told and goes on serving for a grace, for it learns that late; then it accepts nothing
// new and returns once all that was taken is answered. Danger: http.Server.Shutdown may close a connection as idle
// whose hit it has just read.
func (f *Server) Drain(grace time.Duration) error {
	f.draining.Store(true)
	time.Sleep(grace)
	if err := f.limiter.shutdown(); err != nil {
		return err
	}
	last := time.Now().Add(clock.Duration(f.network.LongestTimeout + f.network.ResponseSlack))
	for f.limiter.closeQuiet() > 0 && time.Now().Before(last) {
		time.Sleep(newConnectionGrace / 10) // many times in a client's moment
	}
	// Danger: with nothing left to answer, the server may close before it has seen that its listener is closed, closes that
	// again, and a marshal that left in good order would end as one that failed.
	if err := f.server.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}
