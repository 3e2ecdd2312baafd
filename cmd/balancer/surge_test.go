package main

import (
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	surgeClients = 400 // more than the instance's limit on connections
	surgeTime    = 2 * time.Second
	surgeBody    = 64 << 10 // largest body that the instance accepts
	// surgeHead is the length of heads of many fields: nearly what net/http reads.
	surgeHead = 11500
	// shortFieldBytes is the length of a header field of shortFields.
	shortFieldBytes = 6
)

// peakMemory returns the largest resident memory that a process has had, in bytes.
func (p *balancerProcess) peakMemory(t *testing.T) int {
	t.Helper()
	status := readFile(t, fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	_, line, _ := strings.Cut(status, "VmHWM:")
	var kib int
	if _, err := fmt.Sscan(line, &kib); err != nil {
		t.Fatalf("peak memory of the process: %v in %q", err, status)
	}
	return kib << 10
}

// checkPeakMemory fails the test if a process has had more resident memory than a limit. The limit does not apply to a process
// with the race detector.
func (p *balancerProcess) checkPeakMemory(t *testing.T, limitMiB int) {
	t.Helper()
	peak := p.peakMemory(t)
	t.Logf("peak memory: %.1f MiB of %d", float64(peak)/(1<<20), limitMiB)
	if peak > limitMiB<<20 && !raceDetector {
		t.Errorf("peak memory: got %d bytes, want at most %d", peak, limitMiB<<20)
	}
}

// shortFields returns different header fields of a few bytes each, length bytes in all.
func shortFields(length int) string {
	var fields strings.Builder
	for i := range length / shortFieldBytes {
		fmt.Fprintf(&fields, "%03x:\r\n", i)
	}
	return fields.String()
}

// surgeClient uses a connection in a way that takes memory of the instance.
type surgeClient func(connection net.Conn, id string)

// sendAndWait returns a client that sends a text, with its id in place of %s, and reads until the connection ends.
func sendAndWait(text string) surgeClient {
	return func(connection net.Conn, id string) {
		if _, err := fmt.Fprintf(connection, text, id); err == nil {
			_, _ = io.Copy(io.Discard, connection) // ends with the connection or its deadline
		}
	}
}

// sendSlowly sends a request with a large body, some bytes at a time.
func sendSlowly(connection net.Conn, id string) {
	_, err := fmt.Fprintf(connection, surgePost, id)
	for sent := 0; err == nil && sent < surgeBody; sent += 256 {
		_, err = io.WriteString(connection, strings.Repeat("x", 256))
		time.Sleep(4 * time.Millisecond)
	}
}

// sendAndIgnore sends requests with large responses and does not read them.
func sendAndIgnore(connection net.Conn, id string) {
	_ = connection.(*net.TCPConn).SetReadBuffer(4 << 10) // fails only on a closed connection
	for i := range 20 {
		_, _ = fmt.Fprintf(connection, surgeGet+"\r\n", fmt.Sprint(id, "-", i))
	}
	time.Sleep(surgeTime)
}

// The heads of a surge's requests, without the empty line that ends a GET's.
const (
	surgeGet  = "GET /read/1 HTTP/1.1\r\nHost: app.svc\r\nX-Time-Left: 2\r\nX-Correlation-Id: %s\r\n"
	surgePost = "POST /pay/1 HTTP/1.1\r\nHost: app.svc\r\nX-Time-Left: 2\r\nX-Correlation-Id: %s\r\nContent-Length: 65536\r\n\r\n"
)

// surgeKinds returns the clients of each kind of surge.
func surgeKinds() map[string][]surgeClient {
	body, fields := strings.Repeat("x", surgeBody), shortFields(surgeHead)
	postWithFields := strings.Replace(surgePost, "\r\n\r\n", "\r\n"+fields+"\r\n", 1)
	kinds := map[string][]surgeClient{
		"slow bodies":                    {sendSlowly},
		"half bodies":                    {sendAndWait(surgePost + body[:surgeBody/2])},
		"whole bodies":                   {sendAndWait(surgePost + body)},
		"whole bodies and further input": {sendAndWait(surgePost + body + strings.Repeat("GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n", 1000))},
		"many fields, incomplete":        {sendAndWait(surgeGet + fields)},
		"many fields":                    {sendAndWait(surgeGet + fields + "\r\n")},
		"many fields and whole bodies":   {sendAndWait(postWithFields + body)},
		"as many fields as are accepted": {sendAndWait(surgeGet + shortFields(90*shortFieldBytes) + "\r\n")},
		unreadResponses:                  {sendAndIgnore},
	}
	var mix []surgeClient
	for _, name := range slices.Sorted(maps.Keys(kinds)) {
		mix = append(mix, kinds[name]...)
	}
	kinds["a mix of all"] = mix
	return kinds
}

// unreadResponses is the kind of surge whose requests are served.
const unreadResponses = "responses that are not read"

// Guards against hundreds of clients at once whose requests take so much memory that the process passes its limit and is
// killed: slow and incomplete ones, ones with very many header fields, and clients that don't read their responses.
func TestConnectionSurgeStaysWithinMemoryLimit(t *testing.T) {
	const memoryMiB = 32
	for name, clients := range surgeKinds() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			platform := newPlatformStub(t)
			platform.setFault(neverResponds)
			if name == unreadResponses {
				platform.setFault(respondsLargely)
			}
			limits := fmt.Sprintf(`{"cores":1,"memory_mb":%d,"sockets":1024}`, memoryMiB)
			cfg, path := platform.configFileWith(t, patientSettings, limits)
			process := startProcess(t, path)
			waitFor(t, stepTimeout, "instance is not ready", func() bool { return isReady("http://" + cfg.Listen) })
			gather(cfg.Listen, clients)
			process.checkPeakMemory(t, memoryMiB)
		})
	}
}

// gather keeps surgeClients connections open at once for surgeTime, each used by the clients in turn.
func gather(address string, clients []surgeClient) {
	until := time.Now().Add(surgeTime)
	var surge sync.WaitGroup
	for i := range surgeClients {
		surge.Go(func() {
			for round := i; time.Now().Before(until); round++ {
				useConnection(address, fmt.Sprint(i, "-", round), clients[round%len(clients)])
			}
		})
	}
	surge.Wait()
}

// useConnection opens a connection for a client, and closes it after that.
func useConnection(address, id string, client surgeClient) {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return
	}
	defer func() { _ = connection.Close() }()             // the instance may have closed it
	_ = connection.SetDeadline(time.Now().Add(surgeTime)) // fails only on a closed connection
	client(connection, id)
}
