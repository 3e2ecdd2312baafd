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

// awaitPlatformUsed waits until an instance has called the platform's discovery agent more than once, and its controller.
func awaitPlatformUsed(t *testing.T, p *platformStub, message string) {
	t.Helper()
	waitFor(t, 5*time.Second, message, func() bool { return p.discoveryCalls.Load() > 1 && p.controllerLines.Load() > 0 })
}

// At SIGHUP an instance switches to the addresses in the file. A missing, incomplete or invalid file changes nothing, and
// SIGHUP while the instance is draining does no harm.
func TestReload(t *testing.T) {
	first, second := newPlatformStub(t), newPlatformStub(t)
	cfg, path := first.configFile(t)
	original := readFile(t, path)
	server := startReloadingServer(t, cfg, path)
	awaitPlatformUsed(t, first, "first agent and controller are not used")
	removeFile(t, path)
	if server.reload() == nil {
		t.Error("reload of a missing file: got no error, want one")
	}
	for _, text := range []string{original[:len(original)/2], strings.Replace(original, `"discovery":"`, `"discovery":":`, 1)} {
		writeFile(t, path, text)
		if server.reload() == nil {
			t.Errorf("reload of file %q: got no error, want one", text)
		}
	}
	next := strings.Replace(original, first.agentAddress(), second.agentAddress(), 1)
	next = strings.Replace(next, first.controllerAddress(), second.controllerAddress(), 1)
	for _, text := range []string{next, original, next} { // one reload directly after the other
		writeFile(t, path, text)
		if err := server.reload(); err != nil {
			t.Errorf("reload of file %q: got error %v, want none", text, err)
		}
	}
	server.stop <- syscall.SIGTERM
	if err := server.reload(); err != nil {
		t.Errorf("reload while draining: got error %v, want none", err)
	}
	awaitPlatformUsed(t, second, "second agent and controller are not used")
	if err := <-server.ended; err != nil {
		t.Errorf("instance ended with error %v, want none", err)
	}
	log := server.log.String()
	if n := strings.Count(log, "configuration not reloaded"); n != 3 || !strings.Contains(log, "error=\"discovery: ") {
		t.Errorf("got %d lines \"configuration not reloaded\", want 3, one of them for discovery\n%s", n, log)
	}
}

// writeOtherSettings returns the text of a configuration with other settings: 600 instances, control by the clock, and
// exposure per request class. It fails the test unless a running instance can reload them. It leaves text in the file.
func writeOtherSettings(t *testing.T, cfg *config.Config, path, text string) string {
	t.Helper()
	other := strings.Replace(text, `"n-instances":1,`, `"n-instances":600,`, 1)
	other = strings.Replace(other, `"domain":{`, `"domain":{"vote-mode":"clocked","to-pause":1,"per":"per_lane",`, 1)
	next, err := config.Reread(writeFile(t, path, other), noEnvironment)
	if err != nil || !cfg.CanReloadSettings(next) || next.Settings.HoldQuorum != 1 || next.Settings.Control != decision.ByClock {
		t.Fatalf("other settings: got error %v, configuration %+v, want settings that can be reloaded", err, next)
	}
	writeFile(t, path, text)
	return other
}

// At SIGHUP a running instance switches to very different settings and back while clients send requests. Each request gets
// one response, and no non-idempotent request runs twice.
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
			t.Errorf("response with status %d: got an incomplete body: %v", r.status, r.err)
		}
	}}
	clients.start(t, 4)
	for _, next := range []string{other, text, other, text} {
		awaitMore(t, &clients.responses, 50)
		writeFile(t, path, next)
		if err := server.reload(); err != nil {
			t.Fatalf("reload of file %q: got error %v, want none", next, err)
		}
	}
	awaitMore(t, &clients.responses, 50)
	clients.stop()
	server.stop <- syscall.SIGTERM
	if err := <-server.ended; err != nil {
		t.Errorf("instance ended with error %v, want none", err)
	}
	if requests, responses := clients.requests.Load(), clients.responses.Load(); requests != responses {
		t.Errorf("got %d responses to %d requests, want one each", responses, requests)
	}
	platform.checkRunsOnce(t)
	log := server.log.String()
	if n := strings.Count(log, "settings applied"); n != 4 || strings.Contains(log, "need a restart") {
		t.Errorf("got %d lines \"settings applied\", want 4 and none about a restart\n%s", n, log)
	}
}
