package main

import (
	"bufio"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// Flags that make the soak of held-up shutdowns longer, or repeat a round of it.
var (
	holdUpRounds = flag.Int("holdup-rounds", 16, "number of rounds of TestHeldUpShutdownRespondsToAll")
	holdUpSeed   = flag.Int("holdup-seed", 61, "seed of the first round of TestHeldUpShutdownRespondsToAll")
)

const (
	holdUpTime = 140 * time.Millisecond // the operators' pages have up to 0.15 s
	// lastConnect is when the last clients connect, and lastCertain the time until which a request is read for certain, with
	// room for a hold-up before the grace period ends. Both count from SIGTERM.
	lastConnect = 400 * time.Millisecond
	lastCertain = 450 * time.Millisecond
	// clientsPerShutdown is the number of requests around the shutdown of a round, and calmRequests that of served requests
	// before it. Without these the decision module does not know the endpoints, and rejects most requests once they hang.
	clientsPerShutdown = 12
	calmRequests       = 40
	// responseWait is how long a client waits for a response. It has slack for a busy machine: this test looks for responses
	// that never come.
	responseWait = 10 * time.Second
)

// shutdownClient is a client that sends one request around a shutdown.
type shutdownClient struct {
	id        string
	sendAfter time.Duration // planned time of the request after SIGTERM; negative: before
	timeLeft  time.Duration // X-Time-Left
	bodyBytes int
	kept      bool // sends on a connection that has carried a request before

	connection net.Conn
	sentAt     time.Time // when the whole request was written
	err        error     // nil: a response came
}

// drawClient draws the request of a client.
func drawClient(random *rand.Rand, id string) *shutdownClient {
	c := &shutdownClient{id: id, kept: random.IntN(2) == 0, bodyBytes: 1}
	if random.IntN(3) == 0 {
		c.bodyBytes = 60 << 10 // not read with the head
	}
	latest := lastConnect
	if c.kept {
		latest = drainGrace
	}
	c.sendAfter = drawBetween(random, -200*time.Millisecond, latest)
	c.timeLeft = drawBetween(random, 50*time.Millisecond, 300*time.Millisecond)
	return c
}

// drawLateClient draws the request of a client whose time ends about when the last requests of the shutdown end.
func drawLateClient(random *rand.Rand, id string) *shutdownClient {
	return &shutdownClient{
		id: id, kept: true, bodyBytes: 1,
		sendAfter: drawBetween(random, drainGrace-70*time.Millisecond, drainGrace-20*time.Millisecond),
		timeLeft:  drawBetween(random, 280*time.Millisecond, 300*time.Millisecond),
	}
}

// drawShutdown draws the clients of a round and the time of the hold-up after SIGTERM. In half of the rounds, the hold-up
// is about when the last requests end.
func drawShutdown(random *rand.Rand, seed uint64) (clients []*shutdownClient, holdUpAfter time.Duration) {
	draw, holdUpAfter := drawClient, drawBetween(random, 0, time.Second)
	if random.IntN(2) == 0 {
		draw, holdUpAfter = drawLateClient, drainGrace+drawBetween(random, 180*time.Millisecond, 280*time.Millisecond)
	}
	for i := range clientsPerShutdown {
		clients = append(clients, draw(random, fmt.Sprintf("%d-%d", seed, i)))
	}
	return clients, holdUpAfter
}

// drawBetween draws a duration from earliest to latest.
func drawBetween(random *rand.Rand, earliest, latest time.Duration) time.Duration {
	return earliest + time.Duration(random.Int64N(int64(latest-earliest)))
}

// connect opens the connection. A kept one carries a first request.
func (c *shutdownClient) connect(address string) error {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	c.connection = connection
	if err := connection.SetDeadline(time.Now().Add(responseWait)); err != nil || !c.kept {
		return err
	}
	if _, err := fmt.Fprint(connection, "GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n"); err != nil {
		return err
	}
	return c.readResponse()
}

// readResponse reads a response and ignores its status. The error says that none came.
func (c *shutdownClient) readResponse() error {
	res, err := http.ReadResponse(bufio.NewReader(c.connection), nil)
	if err != nil {
		return err
	}
	return res.Body.Close()
}

// exchange sends the request at its time and reads the response.
func (c *shutdownClient) exchange(address string, terminateAt time.Time) error {
	time.Sleep(time.Until(terminateAt.Add(c.sendAfter)))
	if !c.kept {
		if err := c.connect(address); err != nil {
			c.sentAt = time.Now()
			return err
		}
	}
	_, err := fmt.Fprintf(c.connection, "POST /pay/1 HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: %s\r\nX-Time-Left: %.3f\r\n"+
		"Content-Length: %d\r\n\r\n%s", c.id, c.timeLeft.Seconds(), c.bodyBytes, strings.Repeat("x", c.bodyBytes))
	c.sentAt = time.Now()
	if err != nil {
		return err
	}
	return c.readResponse()
}

// checkResponse fails the test if the client got no response to a request that an endpoint has received, or that came so
// early that the instance had to read it. Later ones may cross the close of an idle connection.
func (c *shutdownClient) checkResponse(t *testing.T, platform *platformStub, terminatedAt time.Time) {
	t.Helper()
	sentAfter, runs := c.sentAt.Sub(terminatedAt), platform.runsOf(c.id)
	if c.err != nil && (runs > 0 || sentAfter < lastCertain) {
		t.Errorf("request %s, sent %v after SIGTERM with %v left, kept connection %v, %d runs: got no response: %v",
			c.id, sentAfter.Round(time.Millisecond), c.timeLeft.Round(time.Millisecond), c.kept, runs, c.err)
	}
}

// A soak on separate processes: endpoints hang from SIGTERM on, and the process is held up for 0.14 s at a random time of
// its shutdown. Guards against taken requests that get no response because a time limit is looked at late.
func TestHeldUpShutdownRespondsToAll(t *testing.T) {
	runRounds(t, *holdUpRounds, *holdUpSeed, holdUpShutdown)
}

// holdUpShutdown runs one round of TestHeldUpShutdownRespondsToAll.
func holdUpShutdown(t *testing.T, seed uint64) {
	t.Helper()
	platform := newPlatformStub(t)
	cfg, path := platform.configFile(t)
	process := startProcess(t, path)
	url := "http://" + cfg.Listen
	waitFor(t, stepTimeout, "instance is not ready", func() bool { return isReady(url) })
	for i := range calmRequests {
		if err := post(url+"/pay/1", fmt.Sprintf("calm-%d", i), "0.300"); err != nil {
			t.Fatal(err)
		}
	}
	clients, holdUpAfter := drawShutdown(rand.New(rand.NewPCG(seed, 0)), seed)
	for _, c := range clients {
		if c.kept {
			if err := c.connect(cfg.Listen); err != nil {
				t.Fatal(err)
			}
		}
	}
	terminateAt := time.Now().Add(250 * time.Millisecond)
	var exchanges sync.WaitGroup
	for _, c := range clients {
		exchanges.Go(func() { c.err = c.exchange(cfg.Listen, terminateAt) })
	}
	time.Sleep(time.Until(terminateAt))
	platform.setFault(neverResponds)
	terminatedAt := time.Now()
	process.signal(t, syscall.SIGTERM)
	time.Sleep(time.Until(terminatedAt.Add(holdUpAfter)))
	process.holdUp()
	exchanges.Wait()
	<-process.done
	if process.err != nil {
		t.Errorf("process ended with %v, want exit code 0", process.err)
	}
	for _, c := range clients {
		c.checkResponse(t, platform, terminatedAt)
		if c.connection != nil {
			_ = c.connection.Close() // the instance may have closed it
		}
	}
	if t.Failed() {
		t.Logf("held up %v after SIGTERM\n%s", holdUpAfter.Round(time.Millisecond), process.log.String())
	}
}

// holdUp stops the process for holdUpTime. It does nothing if the process has ended.
func (p *balancerProcess) holdUp() {
	if p.command.Process.Signal(syscall.SIGSTOP) == nil {
		time.Sleep(holdUpTime)
		_ = p.command.Process.Signal(syscall.SIGCONT) // a stopped process does not end by itself
	}
}
