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
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"ottershed/decision"
	"ottershed/internal/clock"
	"ottershed/internal/cluster/lease"
	"ottershed/internal/engine"
	"ottershed/internal/settings"
)

const (
	longestBody = 64 << 10
	longestHead = 8 << 10
	longestID   = 128

	// owed is when a client that doesn't ask for anything readable must have an error or a close, from connecting on.
	owed = 3 * time.Second
	// inTime is the part of it that the head of a request may take, and its body again.
	inTime = owed / 3
	// unused is how long a connection is kept for a client that asks nothing more.
	unused = 2 * owed
)

// Marshal is whom hits are handed to.
type Marshal interface {
	Hit(*engine.Hit)
	Gone(*engine.Hit)
}

// Front is the server that clients connect to.
type Front struct {
	marshal  Marshal
	clock    *clock.Clock
	groups   map[string]decision.PathGroup // by the settings
	network  settings.Network
	comeBack decision.Millis            // longest time to come back
	tenants  map[decision.TenantID]bool // by the settings
	gate     *gate
	server   *http.Server
	leaving  atomic.Bool
	held     atomic.Bool                            // by Hold
	resumed  func(*decision.PathGroup) lease.Resume // nil: hits are not brought again

	mu  sync.Mutex
	ids map[string]bool // of hits that are open; the end of their handler empties it
}

// New makes a front that holds so many connections of clients; Serve starts it.
func New(m Marshal, c *clock.Clock, s decision.Settings, n settings.Network, most int, log logrus.FieldLogger) *Front {
	f := &Front{marshal: m, clock: c, network: n, comeBack: s.MaxComeBack, gate: newGate(most, log),
		groups: map[string]decision.PathGroup{}, tenants: map[decision.TenantID]bool{}, ids: map[string]bool{}}
	for _, id := range s.Tenants {
		f.tenants[id] = true
	}
	for _, g := range s.Groups {
		f.groups[string(g.Name)] = g
	}
	proxy := &httputil.ReverseProxy{Rewrite: rewrite, Transport: f, ModifyResponse: f.last, ErrorHandler: abandon,
		ErrorLog: quietLog()}
	hits := f.whole(proxy)
	f.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/up" {
			f.up(w)
		} else {
			hits(w, r)
		}
	}), ReadHeaderTimeout: inTime, IdleTimeout: unused, MaxHeaderBytes: longestHead, ErrorLog: quietLog(),
		ConnState: f.gate.state}
	return f
}

// Resume has hits taken that clients bring again from marshals that are gone, marked by X-Resume; before Serve.
func (f *Front) Resume(decide func(*decision.PathGroup) lease.Resume) { f.resumed = decide }

// Hold has hits bounced, and /up say no, until Ready; before Serve. Danger: what discovery has told counts from a
// process's first moment on, and the list of its configuration may be older.
func (f *Front) Hold() { f.held.Store(true) }

// Ready ends Hold.
func (f *Front) Ready() { f.held.Store(false) }

// quietLog is for what clients do wrong, which is no line in our log.
func quietLog() *log.Logger { return log.New(io.Discard, "", 0) }

// up tells the front layer whether this marshal takes hits.
func (f *Front) up(w http.ResponseWriter) {
	if f.leaving.Load() || f.held.Load() {
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
func (f *Front) last(r *http.Response) error {
	if f.leaving.Load() || r.Close {
		r.Header.Set("Connection", "close")
	}
	// The last byte of a long answer is out before its handler ends; its client may use the id again from then on.
	r.Request.Context().Value(freeKey{}).(func())()
	return nil
}

// abandon ends the connection of a client that has gone.
func abandon(http.ResponseWriter, *http.Request, error) { panic(http.ErrAbortHandler) }

type (
	hitKey  struct{}
	freeKey struct{}
)

// refuse answers what is no hit with an error, and closes. Danger: where its framing is in doubt, what follows on the
// connection may be a part of it, or hide another request.
func refuse(w http.ResponseWriter, status int, fault string) {
	w.Header().Set("Connection", "close")
	http.Error(w, fault, status)
}

// whole reads a request to its end and checks it before the marshal hears of it.
func (f *Front) whole(next http.Handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		taken := f.clock.Now()
		group, left, status, fault := f.check(r)
		if fault != "" {
			refuse(w, status, fault)
			return
		}
		if f.resumed != nil && r.Header.Get("X-Resume") == "1" && f.resumed(&group) == lease.Refuse {
			// What may have run is never forwarded by another marshal; its client hears so at once.
			if f.comeBack > 0 {
				w.Header().Set("Retry-After", strconv.FormatFloat(f.comeBack/1000, 'f', 3, 64))
			}
			refuse(w, http.StatusInternalServerError, "it may have run")
			return
		}
		var body []byte
		if r.ContentLength > 0 {
			control := http.NewResponseController(w)
			control.SetReadDeadline(time.Now().Add(min(inTime, clock.Span(left))))
			body = make([]byte, r.ContentLength)
			if _, err := io.ReadFull(r.Body, body); err != nil {
				panic(http.ErrAbortHandler) // cut off halfway
			}
			control.SetReadDeadline(time.Time{})
		}
		id := r.Header.Get("X-Correlation-Id")
		if !f.claim(id) {
			refuse(w, http.StatusConflict, "X-Correlation-Id is that of an open request")
			return
		}
		free := sync.OnceFunc(func() { f.release(id) })
		defer free()
		hit := &engine.Hit{Group: group.Name, Tenant: decision.TenantID(r.Header.Get("X-Account")), Key: key(r), Left: left,
			Taken: taken, Retried: r.Header.Get("X-Repeat") == "1",
			Request: &engine.Request{Method: r.Method, URI: r.RequestURI, Host: r.Host, Body: body}}
		r.Body = http.NoBody
		ctx := context.WithValue(context.WithValue(r.Context(), hitKey{}, hit), freeKey{}, free)
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
func (f *Front) claim(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	free := !f.ids[id]
	f.ids[id] = true
	return free
}

func (f *Front) release(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.ids, id)
}

// check tells the path group and the time that is left, or what is wrong with a request and the status for it.
func (f *Front) check(r *http.Request) (group decision.PathGroup, left decision.Millis, status int, fault string) {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	group, known := f.groups[name]
	for _, field := range []string{"X-Correlation-Id", "X-Time-Left", "X-Account", "Idempotency-Key"} {
		if len(r.Header[field]) > 1 {
			return group, 0, http.StatusBadRequest, field + " more than once"
		}
	}
	seconds, err := strconv.ParseFloat(r.Header.Get("X-Time-Left"), 64)
	left = seconds * 1000
	method := http.MethodPost
	if group.Effect == decision.Repeatable {
		method = http.MethodGet
	}
	id, account := r.Header.Get("X-Correlation-Id"), decision.TenantID(r.Header.Get("X-Account"))
	switch {
	// Danger: with both a transfer coding and a length, which the server drops unseen, the body may hide another
	// request. Clients send none of the codings, so none is taken.
	case len(r.TransferEncoding) > 0:
		return group, 0, http.StatusLengthRequired, "no transfer coding is taken"
	case r.ContentLength > longestBody:
		return group, 0, http.StatusRequestEntityTooLarge, "body too long"
	case !strings.HasPrefix(r.RequestURI, "/") || !known:
		return group, 0, http.StatusNotFound, "no such path group"
	case r.Method != method:
		return group, 0, http.StatusMethodNotAllowed, "this path group takes " + method
	case method == http.MethodGet && r.ContentLength != 0:
		return group, 0, http.StatusBadRequest, "a GET takes no body"
	case id == "" || len(id) > longestID:
		return group, 0, http.StatusBadRequest, "X-Correlation-Id is missing or too long"
	case len(f.tenants) > 0 && !f.tenants[account]:
		return group, 0, http.StatusBadRequest, "no such X-Account"
	case err != nil || math.IsNaN(left) || left <= 0 || left > 2*f.network.LongestTimeout:
		return group, 0, http.StatusBadRequest, "X-Time-Left is no time that a client waits"
	case group.Effect == decision.Tagged && r.Header.Get("Idempotency-Key") == "":
		return group, 0, http.StatusBadRequest, "no Idempotency-Key"
	}
	return group, min(left, f.network.LongestTimeout), 0, ""
}

// RoundTrip hands a hit to the marshal and waits for its final answer.
func (f *Front) RoundTrip(r *http.Request) (*http.Response, error) {
	// Danger: a hit that comes when the gate is shut, on a connection that was still open, may not be answered by a node
	// before the process is killed.
	if f.held.Load() || f.gate.isShut() || f.gate.full() {
		res := response(r, engine.Answer{Kind: engine.Bounced, ComeBack: f.comeBack})
		res.Close = true
		return res, nil
	}
	hit := r.Context().Value(hitKey{}).(*engine.Hit)
	hit.Request.Fields = r.Header
	answer := make(chan engine.Answer, 1)
	hit.Answer = func(a engine.Answer) { answer <- a }
	f.marshal.Hit(hit)
	// Danger: a hit without a final answer breaks a rule, whatever the owner is at; so the wait has an end here too.
	overdue := time.NewTimer(clock.Span(hit.Taken + hit.Left + f.network.AnswerSlack - f.clock.Now()))
	defer overdue.Stop()
	select {
	case a := <-answer:
		return response(r, a), nil
	case <-overdue.C:
		f.marshal.Gone(hit)
		return response(r, engine.Answer{Kind: engine.Errored}), nil
	case <-r.Context().Done():
		f.marshal.Gone(hit)
		return nil, r.Context().Err()
	}
}

// response makes a final answer one of HTTP.
func response(r *http.Request, a engine.Answer) *http.Response {
	res := &http.Response{Request: r, StatusCode: http.StatusInternalServerError, Proto: "HTTP/1.1", ProtoMajor: 1,
		ProtoMinor: 1, Header: http.Header{}}
	var body []byte
	switch a.Kind {
	case engine.Delivered:
		res.StatusCode, res.Header, body = http.StatusOK, a.Reply.Fields, a.Reply.Body
		res.Header.Del("Transfer-Encoding")
	case engine.Bounced:
		res.StatusCode = http.StatusServiceUnavailable
		if a.ComeBack > 0 {
			res.Header.Set("Retry-After", strconv.FormatFloat(a.ComeBack/1000, 'f', 3, 64))
		}
	}
	res.Header.Set("Content-Length", strconv.Itoa(len(body)))
	res.ContentLength = int64(len(body))
	res.Body = io.NopCloser(bytes.NewReader(body))
	return res
}

// Serve takes connections until Leave.
func (f *Front) Serve(l net.Listener) error {
	if !f.gate.open(l) { // left before it began
		return l.Close()
	}
	err := f.server.Serve(f.gate)
	if f.leaving.Load() || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Leave has the front layer told and goes on serving for a grace, for it learns that late; then it accepts nothing
// new and returns once all that was taken is answered. Danger: http.Server.Shutdown may close a connection as idle
// whose hit it has just read.
func (f *Front) Leave(grace time.Duration) error {
	f.leaving.Store(true)
	time.Sleep(grace)
	if err := f.gate.shutdown(); err != nil {
		return err
	}
	last := time.Now().Add(clock.Span(f.network.LongestTimeout + f.network.AnswerSlack))
	for f.gate.clear() > 0 && time.Now().Before(last) {
		time.Sleep(silence / 10) // many times in a client's moment
	}
	// Danger: with nothing left to answer, the server may close before it has seen that its listener is closed, closes that
	// again, and a marshal that left in good order would end as one that failed.
	if err := f.server.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}
