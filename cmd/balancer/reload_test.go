package main

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"ottershed/decision"
	"ottershed/internal/config"
)

// awaitUsed waits until an instance watches the platform's discovery and talks to its controller.
func awaitPlatformUsed(t *testing.T, p *platformStub, missing string) {
	t.Helper()
	waitFor(t, 5*time.Second, missing, func() bool { return p.discoveryCalls.Load() > 1 && p.controllerLines.Load() > 0 })
}

// On SIGHUP an instance moves to the addresses of the file. A file that is missing, half written or wrong changes nothing, and
// SIGHUP while the instance drains does no harm.
func TestReload(t *testing.T) {
	one, two := newPlatformStub(t), newPlatformStub(t)
	cfg, path := one.configFile(t)
	good := readFile(t, path)
	server := startReloadingServer(t, cfg, path)
	awaitPlatformUsed(t, one, "the first agent and controller are not used")
	removeFile(t, path)
	if server.reload() == nil {
		t.Error("reloaded a missing file")
	}
	for _, text := range []string{good[:len(good)/2], strings.Replace(good, `"discovery":"`, `"discovery":":`, 1)} {
		writeFile(t, path, text)
		if server.reload() == nil {
			t.Errorf("reloaded %q", text)
		}
	}
	next := strings.Replace(good, one.agentAddress(), two.agentAddress(), 1)
	next = strings.Replace(next, one.controllerAddress(), two.controllerAddress(), 1)
	for _, text := range []string{next, good, next} { // one right after another
		writeFile(t, path, text)
		if err := server.reload(); err != nil {
			t.Errorf("not reloaded: %v, %q", err, text)
		}
	}
	server.stop <- syscall.SIGTERM
	if err := server.reload(); err != nil {
		t.Error(err)
	}
	awaitPlatformUsed(t, two, "the next agent and controller are not used")
	if err := <-server.ended; err != nil {
		t.Error(err)
	}
	log := server.log.String()
	if n := strings.Count(log, "configuration not reloaded"); n != 3 || !strings.Contains(log, "error=\"discovery: ") {
		t.Errorf("%d lines for three files that can't be used\n%s", n, log)
	}
}

// otherSettings is the text of a configuration with settings of another shape: hundreds of instances, votes by the clock, and
// exposure for each request class. It fails the test unless a running instance can switch to them.
func writeOtherSettings(t *testing.T, cfg *config.Config, path, text string) string {
	t.Helper()
	other := strings.Replace(text, `"n-instances":1,`, `"n-instances":600,`, 1)
	other = strings.Replace(other, `"domain":{`, `"domain":{"vote-mode":"clocked","to-pause":1,"per":"per_lane",`, 1)
	next, err := config.Reread(writeFile(t, path, other), noEnvironment)
	if err != nil || !cfg.CanReloadSettings(next) || next.Settings.HoldQuorum != 1 || next.Settings.Control != decision.ByClock {
		t.Fatalf("the other file: %v, %+v", err, next)
	}
	writeFile(t, path, text)
	return other
}

// On SIGHUP a running instance switches to settings of another shape, and back, while clients send: each request gets one
// response, and no non-idempotent one runs twice.
func TestSwitchSettings(t *testing.T) {
	platform := newPlatformStub(t)
	cfg, path := platform.configFile(t)
	text := readFile(t, path)
	other := writeOtherSettings(t, cfg, path, text)
	server := startReloadingServer(t, cfg, path)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	defer client.CloseIdleConnections()
	clients := &clientLoad{url: "http://" + cfg.Listen, client: client, check: func(t *testing.T, r response) {
		t.Helper()
		if r.err != nil {
			t.Errorf("status %d, body cut short: %v", r.status, r.err)
		}
	}}
	clients.start(t, 4)
	for _, next := range []string{other, text, other, text} { // there and back, twice
		awaitMore(t, &clients.responded, 50)
		writeFile(t, path, next)
		if err := server.reload(); err != nil {
			t.Fatalf("not reloaded: %v, %q", err, next)
		}
	}
	awaitMore(t, &clients.responded, 50)
	clients.stop()
	server.stop <- syscall.SIGTERM
	if err := <-server.ended; err != nil {
		t.Error(err)
	}
	if sent, responded := clients.sent.Load(), clients.responded.Load(); sent != responded {
		t.Errorf("%d requests, %d responses", sent, responded)
	}
	platform.checkRunsOnce(t)
	log := server.log.String()
	if n := strings.Count(log, "settings taken"); n != 4 || strings.Contains(log, "need a restart") {
		t.Errorf("%d switches of the settings, want 4\n%s", n, log)
	}
}
