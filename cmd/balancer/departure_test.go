package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// departureLimit is how long after its client's close an attempt may begin at most.
	departureLimit = 100 * time.Millisecond
	// manyBytes are more than the socket buffers of both sides hold by default.
	manyBytes = 8 << 20
)

// patientSettings are testSettings with classes whose requests are retried for a second.
var patientSettings = strings.NewReplacer(`"aim-ms":100,"give-up-ms":300`, `"aim-ms":1000,"give-up-ms":3000`).Replace(testSettings)

// lastID is the id of the request of awaitQuiet.
const lastID = "last"

// awaitQuiet waits until an instance has no request left but one that it sends on another connection. That one is received
// after all that was sent before. When it has its final response, requests that wait for a retry have had several occasions.
func awaitQuiet(t *testing.T, address string, platform *platformStub) {
	t.Helper()
	other := dialBalancer(t, address)
	other.send(getRequest(lastID))
	other.readResponse()
	if platform.attempts(lastID) == 0 {
		t.Error("last request: got no attempt, want some")
	}
}

// departingClient sends requests on one connection and closes it.
type departingClient struct {
	t          *testing.T
	connection *net.TCPConn
}

func dialBalancer(t *testing.T, address string) *departingClient {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() }) // the test may have closed it
	return &departingClient{t, connection.(*net.TCPConn)}
}

// getRequest returns a request of the idempotent class, which is retried until its time is over.
func getRequest(id string) string {
	return fmt.Sprintf("GET /read/1 HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: %s\r\nX-Time-Left: 3.000\r\n\r\n", id)
}

// postRequest returns a request of the non-idempotent class.
func postRequest(id, body string) string {
	return fmt.Sprintf("POST /pay/1 HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: %s\r\nX-Time-Left: 3.000\r\n"+
		"Content-Length: %d\r\n\r\n%s", id, len(body), body)
}

// send writes to the connection.
func (c *departingClient) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.connection, text); err != nil {
		c.t.Fatal(err)
	}
}

// sendMuch writes many requests, until the socket buffers of both sides are full.
func (c *departingClient) sendMuch(id string) {
	c.t.Helper()
	for sent := 0; sent < manyBytes; {
		_ = c.connection.SetWriteDeadline(time.Now().Add(50 * time.Millisecond)) // fails only on a closed connection
		n, err := io.WriteString(c.connection, postRequest(fmt.Sprint(id, "-", sent), strings.Repeat("x", 32<<10)))
		if sent += n; err != nil {
			return
		}
	}
	c.t.Fatalf("sent %d bytes without filling the socket buffers", manyBytes)
}

// readResponse waits for the response to the first request, and returns its status.
func (c *departingClient) readResponse() (status int) {
	c.t.Helper()
	res, err := http.ReadResponse(bufio.NewReader(c.connection), nil)
	if err != nil {
		c.t.Error(err)
		return 0
	}
	_ = res.Body.Close() // the connection sends no more requests
	return res.StatusCode
}

// leave closes the connection, with a reset if reset is true.
func (c *departingClient) leave(reset bool) {
	if reset {
		_ = c.connection.SetLinger(0) // fails only on a closed connection
	}
	_ = c.connection.Close() // the connection is closed even if an error is returned
}

// Guards against requests that are sent on after their client has closed its connection: whatever it has sent besides and
// the instance has not read yet, however it closes, and whether or not its request was read by then. The endpoints
// reject each attempt, but the one that is out when the client leaves only after departureLimit.
func TestRequestOfDepartedClientIsNotSentOn(t *testing.T) {
	sendFirst := func(c *departingClient, platform *platformStub) {
		c.send(getRequest("first"))
		waitFor(c.t, stepTimeout, "no attempt of the first request", func() bool { return platform.attempts("first") > 0 })
	}
	for name, test := range map[string]struct {
		before func(*departingClient, *platformStub) // what the client does before it leaves
		reset  bool                                  // the client resets its connection
	}{
		"alone":        {sendFirst, false},
		"alone, reset": {sendFirst, true},
		"another request behind it": {func(c *departingClient, p *platformStub) {
			sendFirst(c, p)
			c.send(getRequest("second") + getRequest("third"))
		}, false},
		"another request behind it, reset": {func(c *departingClient, p *platformStub) {
			sendFirst(c, p)
			c.send(getRequest("second") + getRequest("third"))
		}, true},
		"many requests behind it": {func(c *departingClient, p *platformStub) {
			sendFirst(c, p)
			for i := range 40 {
				c.send(postRequest(fmt.Sprint("second-", i), strings.Repeat("x", 200)))
			}
		}, false},
		"more behind it than the socket holds": {func(c *departingClient, p *platformStub) {
			sendFirst(c, p)
			c.sendMuch("second")
		}, false},
		"several at once, left on the first response": {func(c *departingClient, _ *platformStub) {
			c.send(getRequest(servedID) + getRequest("second") + strings.Repeat(getRequest("third"), 100))
			c.readResponse()
		}, false},
		"several at once, reset on the first response": {func(c *departingClient, _ *platformStub) {
			c.send(getRequest(servedID) + getRequest("second") + strings.Repeat(getRequest("third"), 100))
			c.readResponse()
		}, true},
		"a byte behind it": {func(c *departingClient, p *platformStub) {
			sendFirst(c, p)
			c.send("G")
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			platform, process, address := startWithLimits(t, patientSettings, "{}")
			release := make(chan struct{})
			platform.holdAttempts(release)
			client := dialBalancer(t, address)
			test.before(client, platform)
			client.leave(test.reset)
			leftAt := time.Now()
			time.Sleep(departureLimit + departureLimit/10)
			close(release)
			awaitQuiet(t, address, platform)
			checkNoAttemptAfter(t, platform, process, leftAt.Add(departureLimit))
		})
	}
}

// Guards against requests that are read and sent only after their client has left, because the process was held up while
// it sent them and closed its connection.
func TestRequestOfClientThatLeftDuringHoldUpIsNotSent(t *testing.T) {
	const clients = 20 // whether one attempt begins is up to the scheduler of the process
	platform, process, address := startWithLimits(t, patientSettings, "{}")
	openEndpointConnections(t, address, clients)
	process.signal(t, syscall.SIGSTOP)
	for i := range clients {
		client := dialBalancer(t, address)
		client.send(getRequest(fmt.Sprint("left-", i)))
		client.leave(i%2 == 0)
	}
	leftAt := time.Now()
	time.Sleep(departureLimit + departureLimit/10)
	process.signal(t, syscall.SIGCONT)
	awaitQuiet(t, address, platform)
	checkNoAttemptAfter(t, platform, process, leftAt.Add(departureLimit))
}

// openEndpointConnections has an instance open connections to endpoints. Attempts that use these are sent at once.
func openEndpointConnections(t *testing.T, address string, requests int) {
	t.Helper()
	var responses sync.WaitGroup
	for i := range requests {
		client := dialBalancer(t, address)
		client.send(getRequest(fmt.Sprint("opening-", i)))
		responses.Go(func() { client.readResponse() })
	}
	responses.Wait()
	time.Sleep(50 * time.Millisecond) // connections are not reused at once
}

// startWithLimits starts the platform and an instance with the given settings and limits, as JSON, that logs each step of a
// request. It returns both with the instance's address once that is ready.
func startWithLimits(t *testing.T, settings, limits string) (*platformStub, *balancerProcess, string) {
	t.Helper()
	platform := newPlatformStub(t)
	cfg, path := platform.configFileWith(t, settings, limits)
	process := startCommand(t, exec.Command(testProgram(t), "serve", "--config", path, "--log-level", "debug"))
	waitFor(t, stepTimeout, "instance is not ready", func() bool { return isReady("http://" + cfg.Listen) })
	return platform, process, cfg.Listen
}

// checkNoAttemptAfter fails the test if an attempt of a request other than that of awaitQuiet began after a time.
func checkNoAttemptAfter(t *testing.T, platform *platformStub, process *balancerProcess, latest time.Time) {
	t.Helper()
	for id, attempts := range platform.attemptsAfter(latest) {
		if id != lastID {
			t.Errorf("request %s: %d attempts later than %v after its client had left, want none", id, attempts, departureLimit)
		}
	}
	if t.Failed() {
		t.Log(process.log.String())
	}
}

// Guards against a request that runs twice because its client left without a response and its id came again, on another
// connection: while the first attempt is out, after it has ended, and after it was served.
func TestIDOfDepartedClientRunsOnce(t *testing.T) {
	const repeats = 3
	platform, process, address := startWithLimits(t, patientSettings, "{}")
	sendAgain := func(id string) {
		for range repeats {
			again := dialBalancer(t, address)
			again.send(postRequest(id, "x"))
			if status, runs := again.readResponse(), platform.runsOf(id); status != http.StatusConflict || runs != 1 {
				t.Fatalf("request %s again: got status %d, %d runs, want %d, 1 run", id, status, runs, http.StatusConflict)
			}
		}
	}
	platform.setFault(neverResponds)
	for _, reset := range []bool{false, true} {
		id := fmt.Sprint("left, reset ", reset)
		client := dialBalancer(t, address)
		client.send(postRequest(id, "x"))
		waitFor(t, stepTimeout, "no attempt", func() bool { return platform.runsOf(id) > 0 })
		client.leave(reset)
		sendAgain(id)
	}
	platform.setFault(noFault)
	served := dialBalancer(t, address)
	served.send(postRequest("served", "x"))
	served.readResponse()
	served.leave(true)
	sendAgain("served")
	if t.Failed() {
		t.Log(process.log.String())
	}
}
