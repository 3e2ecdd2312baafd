package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// Flags that make the soak of departing clients longer, or repeat a round of it.
var (
	departureRounds = flag.Int("departure-rounds", 16, "number of rounds of TestDepartingClients")
	departureSeed   = flag.Int("departure-seed", 65, "seed of the first round of TestDepartingClients")
)

const (
	soakClients  = 40
	soakTime     = 800 * time.Millisecond // clients connect within it
	soakMemory   = 64                     // MiB
	surgeInSoak  = 250                    // connections of a surge in some rounds
	holdUpSeries = 3                      // hold-ups in some rounds
	// soakResponseWait is the time of a request, and the half second after which a response counts as lost, for all requests
	// of a connection. The process may be held up besides.
	soakResponseWait = 3*time.Second + 500*time.Millisecond + holdUpSeries*holdUpTime
)

// soakClient sends requests on one connection, without waiting for responses, and leaves or stays for all responses.
type soakClient struct {
	connectAfter time.Duration
	requests     []soakRequest
	stays        bool
	leaveAfter   time.Duration // after the last request; of a client that does not stay
	awaitsFirst  bool          // leaves only after the first response
	resets       bool
	sendsAgain   bool // sends its last request again, on another connection, after it has left

	address string // of its connection
	leftAt  time.Time
	err     error // of a client that stays: why a response is missing
}

type soakRequest struct {
	id, text string
	pause    time.Duration // before it is sent
	again    bool          // is sent again after its client has left
}

// drawSoakClient draws a client. Requests that are sent again are non-idempotent, and so must not run twice.
func drawSoakClient(random *rand.Rand, name string) *soakClient {
	client := &soakClient{
		connectAfter: drawBetween(random, 0, soakTime), stays: random.IntN(3) == 0, awaitsFirst: random.IntN(3) == 0,
		leaveAfter: drawBetween(random, 0, 300*time.Millisecond), resets: random.IntN(2) == 0, sendsAgain: random.IntN(3) == 0,
	}
	for i := range 1 + random.IntN(5) {
		request := soakRequest{id: fmt.Sprint(name, "-", i)}
		if random.IntN(2) == 0 {
			request.pause = drawBetween(random, 0, 50*time.Millisecond)
		}
		request.text = getRequest(request.id)
		if random.IntN(2) == 0 {
			request.text = postRequest(request.id, strings.Repeat("x", random.IntN(1<<random.IntN(15))))
		}
		client.requests = append(client.requests, request)
	}
	if last := &client.requests[len(client.requests)-1]; !client.stays && client.sendsAgain {
		last.text, last.again = postRequest(last.id, "again"), true
	}
	return client
}

// run connects, sends the requests, and stays or leaves.
func (c *soakClient) run(address string) {
	time.Sleep(c.connectAfter)
	connection, err := net.Dial("tcp", address)
	if err != nil {
		c.err = err
		return
	}
	c.address = connection.LocalAddr().String()
	defer func() { _ = connection.Close() }()                // the client may have closed it
	_ = connection.SetDeadline(time.Now().Add(responseWait)) // fails only on a closed connection
	for _, request := range c.requests {
		time.Sleep(request.pause)
		if _, err := io.WriteString(connection, request.text); err != nil {
			c.err = err // missing responses tell more
			break
		}
	}
	_ = connection.SetDeadline(time.Now().Add(soakResponseWait)) // fails only on a closed connection
	responses := bufio.NewReader(connection)
	if c.stays {
		c.err = readResponses(responses, len(c.requests))
		return
	}
	if c.awaitsFirst {
		_ = readResponses(responses, 1) // nothing depends on it
	} else {
		time.Sleep(c.leaveAfter)
	}
	(&departingClient{connection: connection.(*net.TCPConn)}).leave(c.resets)
	c.leftAt = time.Now()
	if last := c.requests[len(c.requests)-1]; last.again {
		time.Sleep(c.leaveAfter)
		_, _ = exchangeOnNewConnection(address, last.text, responseWait) // checkSoak looks for what has run
	}
}

// readResponses reads responses, whatever they are, up to one that announces the close of the connection.
func readResponses(responses *bufio.Reader, n int) error {
	for i := range n {
		response, err := http.ReadResponse(responses, nil)
		if err != nil {
			return fmt.Errorf("response %d of %d: %w", i+1, n, err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return fmt.Errorf("body of response %d of %d: %w", i+1, n, err)
		}
		if response.Close {
			return nil
		}
	}
	return nil
}

// A soak on separate processes: clients send several requests and leave at random times and in different ways, while
// endpoints reject, fail, hang or serve at random. In some rounds the process is held up several times, in some there is a
// surge of clients that send half a request. Guards against requests that are sent after their client has left, that run
// twice or get no response, and against a process that passes its memory limit.
func TestDepartingClients(t *testing.T) {
	runRounds(t, *departureRounds, *departureSeed, soakDepartures)
}

// soakDepartures runs one round of TestDepartingClients.
func soakDepartures(t *testing.T, seed uint64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 0))
	limits := fmt.Sprintf(`{"cores":1,"memory_mb":%d,"sockets":1024}`, soakMemory)
	platform, process, address := startWithLimits(t, patientSettings, limits)
	platform.drawFaults(seed)
	var clients []*soakClient
	for i := range soakClients {
		clients = append(clients, drawSoakClient(random, fmt.Sprint(seed, "-", i)))
	}
	var holdUps []time.Duration
	if random.IntN(2) == 0 {
		for range holdUpSeries {
			holdUps = append(holdUps, drawBetween(random, 0, soakTime/holdUpSeries))
		}
	}
	var running sync.WaitGroup
	if random.IntN(4) == 0 {
		until := time.Now().Add(soakTime)
		for i := range surgeInSoak {
			running.Go(func() {
				for round := 0; time.Now().Before(until); round++ {
					useConnection(address, fmt.Sprint("surge-", i, "-", round), sendAndWait(surgePost+strings.Repeat("x", surgeBody/2)))
				}
			})
		}
	}
	for _, c := range clients {
		running.Go(func() { c.run(address) })
	}
	for _, after := range holdUps {
		time.Sleep(after)
		process.holdUp()
	}
	running.Wait()
	_, _ = exchangeOnNewConnection(address, getRequest(lastID), responseWait) // whatever the response, requests before it have ended or are out
	checkSoak(t, platform, process, clients, len(holdUps) > 0)
}

// checkSoak checks what a round has left behind. A hold-up may lie between the instance's last look at a client and the first
// byte of its request.
func checkSoak(t *testing.T, platform *platformStub, process *balancerProcess, clients []*soakClient, heldUp bool) {
	t.Helper()
	limit := departureLimit
	if heldUp {
		limit += holdUpTime
	}
	for _, c := range clients {
		// By the protocol, a client sends a request again that crosses the close of a connection between two requests.
		if c.stays && c.err != nil && !process.hasEvicted(c.address, "idle") {
			t.Errorf("client of request %s stayed: %v", c.requests[0].id, c.err)
		}
		for _, request := range c.requests {
			if late := platform.attemptsOfAfter(request.id, c.leftAt.Add(limit)); !c.stays && !request.again && late > 0 {
				t.Errorf("request %s: %d attempts later than %v after its client had left, want none", request.id, late, limit)
			}
		}
	}
	platform.checkRunsOnce(t)
	process.checkPeakMemory(t, soakMemory)
	if t.Failed() {
		t.Log(process.log.String())
	}
}
