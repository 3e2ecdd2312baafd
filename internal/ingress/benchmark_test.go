package ingress

import (
	"bytes"
	"net"
	"net/http"
	"testing"

	"golang.org/x/time/rate"

	"ottershed/decision"
	"ottershed/internal/clock"
	"ottershed/internal/engine"
	"ottershed/internal/settings"
)

// immediateEngine responds to every request within ReceiveRequest.
type immediateEngine struct{ result engine.Result }

func (e immediateEngine) ReceiveRequest(r *engine.ClientRequest) {
	r.OnEnd(e.result.Kind != engine.Rejected)
	r.Respond(e.result)
}

func (e immediateEngine) ClientDisconnected(*engine.ClientRequest) {}

// startForBenchmark starts a server on loopback and returns its address.
func startForBenchmark(b *testing.B, result engine.Result) string {
	b.Helper()
	server := New(immediateEngine{result}, clock.New(), decision.Settings{Classes: []decision.RequestClass{
		{Name: "read", Idempotency: decision.Idempotent},
		{Name: "mark", Idempotency: decision.IdempotentWithKey},
	}}, settings.Network{MaxClientTimeout: 2000, ResponseGracePeriod: 20}, Limits{100, 1}, quietLog())
	server.pacer.connRate = rate.Inf
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	b.Cleanup(func() {
		if err := server.Drain(0); err != nil {
			b.Errorf("Drain: got error %v, want none", err)
		}
		if err := <-served; err != nil {
			b.Errorf("Serve: got error %v, want none", err)
		}
	})
	return l.Addr().String()
}

// rawClient sends prepared bytes and reads responses up to a known end. It allocates no memory in exchange, so benchmarks
// count only the allocations of the server.
type rawClient struct {
	conn   net.Conn
	buffer []byte
}

func connect(b *testing.B, address string, buffer []byte) rawClient {
	b.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	return rawClient{conn, buffer}
}

// exchange sends a request and reads the response up to bodyEnd.
func (c rawClient) exchange(b *testing.B, request, bodyEnd []byte) {
	b.Helper()
	if _, err := c.conn.Write(request); err != nil {
		b.Fatal(err)
	}
	size := 0
	for {
		n, err := c.conn.Read(c.buffer[size:])
		if err != nil {
			b.Fatal(err)
		}
		size += n
		if bytes.HasSuffix(c.buffer[:size], bodyEnd) {
			return
		}
	}
}

// countID increments the number at the end of a request's correlation id, because some ids are refused if they come again.
func countID(request []byte) {
	start := bytes.Index(request, []byte("X-Correlation-Id"))
	for i := start + bytes.IndexByte(request[start:], '\r') - 1; ; i-- {
		if request[i]++; request[i] <= '9' {
			return
		}
		request[i] = '0'
	}
}

// benchmarkCases are the requests that the benchmarks send.
var benchmarkCases = []struct {
	name, request string
	result        engine.Result
	bodyEnd       string
}{
	{
		"GET", "GET /read/1?key=17 HTTP/1.1\r\nHost: app.svc\r\nX-Time-Left: 1\r\n" +
			"X-Correlation-Id: b1-00000000\r\nUser-Agent: app/1\r\n\r\n",
		engine.Result{Response: &engine.Response{Header: http.Header{}, Body: []byte("hi.")}},
		"\r\n\r\nhi.",
	},
	{
		"POST", "POST /mark/1 HTTP/1.1\r\nHost: app.svc\r\nX-Time-Left: 1\r\nX-Correlation-Id: b2-00000000\r\nIdempotency-Key: k\r\n" +
			"Content-Length: 4\r\n\r\nbody",
		engine.Result{Response: &engine.Response{Header: http.Header{}, Body: []byte("hi.")}},
		"\r\n\r\nhi.",
	},
	{
		"rejected", "GET /read/1 HTTP/1.1\r\nHost: app.svc\r\nX-Time-Left: 1\r\nX-Correlation-Id: b3-00000000\r\n\r\n",
		engine.Result{Kind: engine.Rejected, RetryAfter: 125},
		"\r\n\r\n",
	},
	{
		"malformed", "GET /read/1 HTTP/1.1\r\nHost: app.svc\r\nX-Correlation-Id: b4-00000000\r\n\r\n",
		engine.Result{},
		"X-Time-Left is no time that a client waits\n",
	},
	{
		"large response", "GET /read/1 HTTP/1.1\r\nHost: app.svc\r\nX-Time-Left: 1\r\nX-Correlation-Id: b5-00000000\r\n\r\n",
		engine.Result{Response: &engine.Response{
			Header: http.Header{}, Body: append(bytes.Repeat([]byte("x"), maxBodyBytes-3), "end"...),
		}},
		"xend",
	},
}

// BenchmarkRequest measures a request over a persistent connection: parsing, call of the engine, final response.
func BenchmarkRequest(b *testing.B) {
	for _, bc := range benchmarkCases {
		if bc.name == "malformed" {
			continue // its response closes the connection
		}
		b.Run(bc.name, func(b *testing.B) {
			client := connect(b, startForBenchmark(b, bc.result), make([]byte, 2*maxBodyBytes))
			request, bodyEnd := []byte(bc.request), []byte(bc.bodyEnd)
			client.exchange(b, request, bodyEnd)
			b.ReportAllocs()
			for b.Loop() {
				countID(request)
				client.exchange(b, request, bodyEnd)
			}
			if err := client.conn.Close(); err != nil {
				b.Fatal(err)
			}
		})
	}
}

// BenchmarkAccept measures a connection with one request, including the dial of the client.
func BenchmarkAccept(b *testing.B) {
	for _, bc := range benchmarkCases {
		b.Run(bc.name, func(b *testing.B) {
			address := startForBenchmark(b, bc.result)
			request, bodyEnd, buffer := []byte(bc.request), []byte(bc.bodyEnd), make([]byte, 2*maxBodyBytes)
			b.ReportAllocs()
			for b.Loop() {
				countID(request)
				client := connect(b, address, buffer)
				client.exchange(b, request, bodyEnd)
				if err := client.conn.Close(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
