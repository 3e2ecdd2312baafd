package main

import (
	"errors"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"ottershed/internal/logging"
)

// An instance whose address is in use ends with an error.
func TestListenOnTakenAddressFails(t *testing.T) {
	platform := newPlatformStub(t)
	cfg := platform.config(t)
	cfg.Listen = platform.controllerAddress() // in use by the controller stub
	if err := <-startServer(t, cfg).ended; err == nil {
		t.Error("got no error, want one for an address in use")
	}
}

// errAccept is the error of a failingListener.
var errAccept = errors.New("accept failed")

// failingListener is a listener whose Accept fails for good once fail was called.
type failingListener struct {
	*net.TCPListener
	failed atomic.Bool
}

// fail makes the pending Accept and all later ones fail.
func (l *failingListener) fail(t *testing.T) {
	t.Helper()
	l.failed.Store(true)
	if err := l.SetDeadline(time.Now()); err != nil {
		t.Error(err)
	}
}

func (l *failingListener) Accept() (net.Conn, error) {
	connection, err := l.TCPListener.Accept()
	if l.failed.Load() {
		return nil, errAccept
	}
	return connection, err
}

// Guards against open requests that are lost because the instance ends at once when accepting connections fails. The request
// gets its response, and the instance ends with the error after that.
func TestAcceptErrorDrainsOpenRequests(t *testing.T) {
	platform := newPlatformStub(t)
	platform.setFault(neverResponds)
	cfg := platform.config(t)
	cfg.Network.MaxClientTimeout = 1000 * stepTimeout.Seconds() // the request is open until its endpoint has ended
	var log lockedBuffer
	inst, err := newInstance(cfg, logging.New(&log, logrus.InfoLevel), 0)
	if err != nil {
		t.Fatal(err)
	}
	listener := &failingListener{TCPListener: inst.listener.(*net.TCPListener)}
	inst.listener = listener
	ended := make(chan error, 1)
	go func() {
		ended <- inst.run(t.Context(), make(chan os.Signal), &reloader{instance: inst}, time.Now().Add(stepTimeout))
	}()
	url := "http://" + cfg.Listen
	waitFor(t, stepTimeout, "instance is not ready", func() bool { return isReady(url) })
	responded := make(chan error, 1)
	go func() { responded <- post(url+"/pay/1", "1", "30") }()
	waitFor(t, stepTimeout, "endpoints received no request", func() bool { return platform.runsOf("1") == 1 })
	listener.fail(t)
	waitFor(t, stepTimeout, "neither ended nor drained", func() bool {
		return len(ended) == 1 || strings.Contains(log.String(), `msg="no longer accepting requests"`)
	})
	if len(ended) == 1 || !strings.Contains(log.String(), "open=1") {
		t.Fatalf("%d instances ended with a request open, want it to drain with open=1 first\n%s", len(ended), log.String())
	}
	platform.close()
	if err := <-responded; err != nil {
		t.Errorf("open request: got error %v, want a response", err)
	}
	if err := <-ended; !errors.Is(err, errAccept) {
		t.Errorf("instance ended with %v, want %v", err, errAccept)
	}
}

// isReady reports whether an instance responds 200 on /up. It opens a connection for the call and closes it.
func isReady(url string) bool {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get(url + "/up")
	if err != nil {
		return false
	}
	_ = res.Body.Close() // the status is all that is needed
	return res.StatusCode == http.StatusOK
}

// post sends a non-idempotent request and returns an error if it gets no response. Any status will do.
func post(url, id, secondsLeft string) error {
	request, err := newRequest(http.MethodPost, url, "body", id, secondsLeft)
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	return res.Body.Close()
}
