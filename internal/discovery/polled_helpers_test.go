package discovery

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"ottershed/decision"
	"ottershed/internal/clock"
	"ottershed/internal/engine"
	"ottershed/internal/settings"
)

// polledInstance is a watcher of a polled list with the decision module that schedules its polls, in a synctest bubble.
type polledInstance struct {
	watcher *Watcher
	ctx     context.Context // context of the watcher's Run
	onList  func(version int64)

	mu        sync.Mutex // guards module
	module    *decision.Balancer
	startedAt time.Time
}

// pollSettings are the settings of a fleet of this size that polls its list.
func pollSettings(instances int, maxPollInterval decision.Millis) decision.Settings {
	return decision.Settings{
		Instances: instances, PollEndpoints: true, MaxPollInterval: maxPollInterval,
		MaxNotificationDelay: clock.Millis(MaxNotificationDelay),
		Classes:              []decision.RequestClass{{Name: "read", LatencyObjective: 500}},
	}
}

// startPolledInstance starts an instance that knows version 1 of the list. onList is called with the version of each list
// that reaches the module.
func startPolledInstance(
	t *testing.T, moduleSettings decision.Settings, seed uint64, transport http.RoundTripper, onList func(version int64),
) *polledInstance {
	t.Helper()
	instance := &polledInstance{onList: onList, module: decision.New(moduleSettings, seed), startedAt: time.Now()}
	network := settings.Network{PollEndpoints: true, MaxPollInterval: moduleSettings.MaxPollInterval, DrainGrace: 250}
	instance.watcher = New("agent", &engine.EndpointUpdate{Version: 1}, network, instance.handleUpdate, discardLog())
	instance.watcher.transport = func() http.RoundTripper { return transport }
	instance.ctx, _ = runWatcher(t, instance.watcher)
	instance.handle(decision.EndpointsChanged{Kind: decision.CachedSnapshot, Version: 1})
	return instance
}

// handleUpdate passes an update of the watcher to the module.
func (p *polledInstance) handleUpdate(update engine.EndpointUpdate) {
	p.handle(decision.EndpointsChanged{Kind: update.Kind, Version: update.Version, PollDuration: update.PollDuration})
	if update.Kind != decision.PollRejected {
		p.onList(update.Version)
	}
}

// handle passes an event to the module and carries out the actions that concern polls.
func (p *polledInstance) handle(event decision.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Since(p.startedAt)
	for _, action := range p.module.Handle(clock.Millis(now), event) {
		switch action := action.(type) {
		case decision.WatchEndpoints:
			p.watcher.ResumeWatch()
		case decision.WakeAt:
			at := clock.Duration(action.At)
			time.AfterFunc(at-now, func() {
				if p.ctx.Err() == nil {
					p.handle(decision.TimerFired{Token: action.Token})
				}
			})
		}
	}
}

// failure is what becomes of a call that a discovery service does not serve.
type failure func(r *http.Request) (*http.Response, error)

// Ways in which a call to a discovery service can fail.
var failures = map[string]failure{
	"status 503":              respondStatus(http.StatusServiceUnavailable),
	"status 429":              respondStatus(http.StatusTooManyRequests),
	"status 500":              respondStatus(http.StatusInternalServerError),
	"connection refused":      func(*http.Request) (*http.Response, error) { return nil, errBroken },
	"malformed list":          func(r *http.Request) (*http.Response, error) { return respondBody(r, "what?"), nil },
	"truncated list":          func(r *http.Request) (*http.Response, error) { return respondBody(r, `{"index":`), nil },
	"reset after a while":     resetAfter(time.Second),
	"reset after the hedge":   resetAfter(4500 * time.Millisecond),
	"refused after the hedge": refusedAfter(5500 * time.Millisecond),
	"refused after a while":   refusedAfter(2 * time.Second),
	"no response":             func(r *http.Request) (*http.Response, error) { return nil, waitUntilCanceled(r) },
	"stalled response":        respondSegments(0, segment{0, `{"index":`}, neverSent),
	"trickling response":      respondSegments(0, trickle...),
	"late trickling response": respondSegments(2*time.Second, trickle...),
}

// trickle is a response that takes 150 s.
var trickle = splitEvenly(150*time.Millisecond, strings.Repeat(" ", 1000), 1000)

// respondStatus returns a failure with a status and no body.
func respondStatus(status int) failure {
	return func(r *http.Request) (*http.Response, error) {
		response := respondBody(r, "")
		response.StatusCode = status
		return response, nil
	}
}

// respondBody returns a response with status 200.
func respondBody(r *http.Request, body string) *http.Response {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(body)), Request: r}
}

// respondSegments returns a response that starts after a delay and arrives in segments.
func respondSegments(delay time.Duration, segments ...segment) failure {
	return func(r *http.Request) (*http.Response, error) {
		if err := sleepUnlessCanceled(r, delay); err != nil {
			return nil, err
		}
		body := &segmentedBody{r.Context(), slices.Clone(segments)}
		return &http.Response{StatusCode: http.StatusOK, Body: body, Request: r}, nil
	}
}

// refusedAfter returns a rejection after a delay.
func refusedAfter(delay time.Duration) failure {
	return func(r *http.Request) (*http.Response, error) {
		if err := sleepUnlessCanceled(r, delay); err != nil {
			return nil, err
		}
		return respondStatus(http.StatusServiceUnavailable)(r)
	}
}

// resetAfter returns a connection that breaks after a delay.
func resetAfter(delay time.Duration) failure {
	return func(r *http.Request) (*http.Response, error) {
		return nil, errors.Join(sleepUnlessCanceled(r, delay), errBroken)
	}
}

// waitUntilCanceled waits until the caller ends the call, and returns the error of its context.
func waitUntilCanceled(r *http.Request) error {
	<-r.Context().Done()
	return r.Context().Err()
}

// sleepUnlessCanceled waits for a duration. The error is not nil if the caller ends the call before.
func sleepUnlessCanceled(r *http.Request, duration time.Duration) error {
	select {
	case <-time.After(duration):
		return nil
	case <-r.Context().Done():
		return r.Context().Err()
	}
}

// polledService is a discovery service that serves version 1 of the list until it fails. It fails from the start of a
// call on, returns with version 2 in the moment in which a later call has reached it, and serves all calls after that one.
type polledService struct {
	serveCalls int // number of calls served before the failure
	fail       failure
	failCalls  int           // number of calls that fail
	latency    time.Duration // time until a response that is due is sent

	mu         sync.Mutex
	served     int       // calls served before the failure
	failed     int       // calls that have failed
	returnedAt time.Time // time of the last call that failed
}

func (s *polledService) RoundTrip(r *http.Request) (*http.Response, error) {
	if s.isUnavailable() {
		return s.fail(r)
	}
	if err := sleepUnlessCanceled(r, s.latency); err != nil {
		return nil, err
	}
	s.mu.Lock()
	returned := !s.returnedAt.IsZero()
	s.mu.Unlock()
	if returned {
		return serveWatch(r, 2)
	}
	return serveWatch(r, 1)
}

// isUnavailable counts a call and reports whether it fails.
func (s *polledService) isUnavailable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.served < s.serveCalls {
		s.served++
		return false
	}
	if s.failed == s.failCalls {
		return false
	}
	s.failed++
	if s.failed == s.failCalls {
		s.returnedAt = time.Now()
	}
	return true
}

// serveWatch responds to a call at a service whose list has this version.
func serveWatch(r *http.Request, version int64) (*http.Response, error) {
	since := r.URL.Query().Get("since")
	if since == "" || since != strconv.FormatInt(version, 10) {
		return respondBody(r, fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[]}`, version)), nil
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("timeout_ms") + "ms")
	if err != nil {
		return nil, err
	}
	if err := sleepUnlessCanceled(r, wait); err != nil {
		return nil, err
	}
	return respondBody(r, fmt.Sprintf(`{"index":%d,"snapshot":false,"endpoints":[]}`, version)), nil
}

// services is a transport to several discovery services, by address.
type services map[string]http.RoundTripper

func (s services) RoundTrip(r *http.Request) (*http.Response, error) {
	return s[r.URL.Host].RoundTrip(r)
}

// observedService is a service that calls onWatch for each watch: its caller has received a list before.
type observedService struct {
	http.RoundTripper
	onWatch func()
}

func (s observedService) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Query().Get("since") != "" {
		s.onWatch()
	}
	return s.RoundTripper.RoundTrip(r)
}
