package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"
)

const (
	// floodTime is how long the clients of a flood send.
	floodTime = time.Second
	// latencyObjective is the latency objective of the classes of testSettings.
	latencyObjective = 100 * time.Millisecond
	// allowedMisses is the share of the other clients' requests that may miss the objective or fail.
	allowedMisses = 0.05
)

// soundRequest is the format of a request: method and path, id, time left, tenant, further headers.
const soundRequest = "%s HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: %s\r\nX-Time-Left: %s\r\nX-Account: %s\r\n%s\r\n"

// floodRequest returns a request with a new id and a new tenant.
func floodRequest(line string, i int, timeLeft, headers string) string {
	return fmt.Sprintf(soundRequest, line, fmt.Sprint("flood-", i), timeLeft, fmt.Sprint("tenant-", i), headers)
}

// flood sends requests on one connection as fast as the instance takes them, and reads the responses, until a time. When the
// connection ends, it opens another one. It returns the number of requests that it has sent.
func flood(address string, until time.Time, request func(i int) string) (sent int) {
	for time.Now().Before(until) {
		connection, err := net.Dial("tcp", address)
		if err != nil {
			continue
		}
		_ = connection.SetDeadline(until)                      // fails only on a closed connection
		go func() { _, _ = io.Copy(io.Discard, connection) }() // ends with the connection
		for ; time.Now().Before(until); sent++ {
			if _, err := io.WriteString(connection, request(sent)); err != nil {
				break
			}
		}
		_ = connection.Close() // the instance may have closed it
	}
	return sent
}

// Guards against a client that sends small requests on one connection at full speed, so that the requests of other clients
// are answered late or never. The instance has one core.
func TestFloodOnOneConnectionDoesNotDelayOthers(t *testing.T) {
	const check = "GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n"
	for name, request := range map[string]func(i int) string{
		"readiness checks": func(int) string { return check },
		"idempotent":       func(i int) string { return floodRequest("GET /read/1", i, "0.300", "") },
		"little time left": func(i int) string { return floodRequest("GET /read/1", i, "0.000001", "") },
		"non-idempotent":   func(i int) string { return floodRequest("POST /pay/1", i, "0.300", "Content-Length: 0\r\n") },
		"unsound":          func(int) string { return "GET /nothing HTTP/1.1\r\nHost: app.svc\r\n\r\n" },
		"that are no HTTP": func(int) string { return "\x01\x02\r\n\r\n" },
		"a byte at a time": func(i int) string { return check[i%len(check) : i%len(check)+1] },
	} {
		t.Run(name, func(t *testing.T) {
			platform := newPlatformStub(t)
			cfg, path := platform.configFileWith(t, testSettings, `{"cores":1,"memory_mb":64,"sockets":512}`)
			startProcess(t, path)
			waitFor(t, stepTimeout, "instance is not ready", func() bool { return isReady("http://" + cfg.Listen) })
			until := time.Now().Add(floodTime)
			sent := make(chan int, 1)
			go func() { sent <- flood(cfg.Listen, until, request) }()
			var latencies []time.Duration
			misses := 0
			for time.Now().Before(until) {
				other := fmt.Sprintf(soundRequest, "GET /read/1", fmt.Sprint("other-", len(latencies)), "0.300", "other", "")
				sentAt := time.Now()
				status, err := exchangeOnNewConnection(cfg.Listen, other, time.Second)
				latencies = append(latencies, time.Since(sentAt))
				if err != nil || status != http.StatusOK || latencies[len(latencies)-1] > latencyObjective {
					misses++
				}
				time.Sleep(5 * time.Millisecond)
			}
			slices.Sort(latencies)
			t.Logf("%d requests in the flood; %d others: %d misses, median %v, longest %v", <-sent, len(latencies), misses,
				latencies[len(latencies)/2], latencies[len(latencies)-1])
			if float64(misses) > allowedMisses*float64(len(latencies)) {
				t.Errorf("%d of %d requests of other clients failed or took longer than %v, want at most %v", misses, len(latencies),
					latencyObjective, allowedMisses)
			}
		})
	}
}

// exchangeOnNewConnection sends a request on a new connection, and returns the status of the response. The error says that none
// came within the timeout.
func exchangeOnNewConnection(address, text string, timeout time.Duration) (status int, err error) {
	connection, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return 0, err
	}
	defer func() { _ = connection.Close() }() // the response was read
	if err := connection.SetDeadline(time.Now().Add(timeout)); err != nil {
		return 0, err
	}
	if _, err := io.WriteString(connection, text); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

const (
	// pipeliningClients is the number of clients that send at full speed at once.
	pipeliningClients = 8
	// smallShare is the share of a core of an instance that such clients could use up.
	smallShare = 0.2
	// dueSlack is how long after the time of a request its response is in time, and lossLimit how long after it a response counts
	// as lost.
	dueSlack  = 50 * time.Millisecond
	lossLimit = 500 * time.Millisecond
)

// Guards against several clients that send requests under ever new names at full speed, without waiting for responses, and take
// all of the processor time that an instance has: the responses of other clients came after their time or not at all. The
// instance has a fifth of a core.
func TestPipeliningClientsDoNotDelayOthers(t *testing.T) {
	for name, request := range map[string]func(id int) string{
		"readiness checks": func(int) string { return "GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n" },
		"idempotent":       func(id int) string { return floodRequest("GET /read/1", id, "0.500", "") },
		"keys":             func(id int) string { return floodRequest(fmt.Sprint("GET /read/1?key=", id), id, "0.500", "") },
		"little time left": func(id int) string { return floodRequest("GET /read/1", id, "0.000001", "") },
		"non-idempotent":   func(id int) string { return floodRequest("POST /pay/1", id, "0.500", "Content-Length: 0\r\n") },
		"unsound":          func(id int) string { return floodRequest("GET /nothing", id, "0.500", "") },
	} {
		t.Run(name, func(t *testing.T) {
			platform := newPlatformStub(t)
			cfg, path := platform.configFileWith(t, testSettings, fmt.Sprintf(`{"cores":%g,"memory_mb":64,"sockets":512}`, smallShare))
			process := startProcess(t, path)
			waitFor(t, stepTimeout, "instance is not ready", func() bool { return isReady("http://" + cfg.Listen) })
			process.limitCPU(t, smallShare)
			until := time.Now().Add(2 * floodTime)
			var running sync.WaitGroup
			for i := range pipeliningClients {
				running.Go(func() {
					flood(cfg.Listen, until, func(sent int) string { return request(sent*pipeliningClients + i) })
				})
			}
			others := newSteadyClients(cfg.Listen)
			others.run(until)
			running.Wait()
			others.check(t)
			process.checkPeakMemory(t, 64)
			if t.Failed() {
				t.Log(process.log.String())
			}
		})
	}
}
