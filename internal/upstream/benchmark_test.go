package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"

	"github.com/sirupsen/logrus"

	"ottershed/decision"
	"ottershed/internal/clock"
	"ottershed/internal/engine"
	"ottershed/internal/settings"
)

// serveConstant responds to every request on a connection with the same bytes, without allocating per request. A
// request is complete when the received bytes end with terminator.
func serveConstant(conn net.Conn, terminator, response []byte) {
	buffer := make([]byte, 4<<10)
	size := 0
	for {
		n, err := conn.Read(buffer[size:])
		if err != nil {
			return
		}
		size += n
		if !bytes.HasSuffix(buffer[:size], terminator) {
			continue
		}
		size = 0
		if _, err := conn.Write(response); err != nil {
			return
		}
	}
}

// BenchmarkAttempt measures one attempt over a reused loopback connection: acquire, write, read, release, classify.
func BenchmarkAttempt(b *testing.B) {
	for _, bench := range []struct {
		name, response string
		want           decision.Outcome
		body           []byte
		terminator     string // end of a request
	}{
		{
			"GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Backend-Load: inflight=7,queue=2,util=0.61\r\n\r\nhi",
			decision.Succeeded, nil, "\r\n\r\n",
		},
		{"POST", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", decision.Succeeded, []byte("body"), "body"},
		{
			"rejected", "HTTP/1.1 503 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", decision.EndpointRejected, nil,
			"\r\n\r\n",
		},
	} {
		b.Run(bench.name, func(b *testing.B) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(func() {
				if err := listener.Close(); err != nil {
					b.Error(err)
				}
			})
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					go serveConstant(conn, []byte(bench.terminator), []byte(bench.response))
				}
			}()
			log := logrus.New()
			log.SetOutput(io.Discard)
			pool := NewPool(clock.New(), settings.Network{IdleTimeout: 60_000, ConnectTimeout: 1000}, 4, log)
			pool.timing.reuseDelay = 0
			address := listener.Addr().String()
			pool.SetAddress("n", address)
			results := make(chan engine.AttemptResult, 1)
			attempt := engine.Attempt{
				Endpoint: "n", Address: address, OnResult: func(r engine.AttemptResult) { results <- r },
				Request: &engine.Request{
					Method: bench.name, URI: "/read/1?key=17", Host: "app.svc", Body: bench.body,
					Header: map[string][]string{
						"X-Correlation-Id": {"c1"}, "X-Time-Left": {"1"}, "User-Agent": {"app/1"},
					},
				},
			}
			b.ReportAllocs()
			for b.Loop() {
				attempt.Deadline = pool.clock.Now() + 5000
				pool.StartAttempt(attempt)
				if result := <-results; result.Outcome != bench.want {
					b.Fatalf("attempt: got outcome %d, want %d", result.Outcome, bench.want)
				}
			}
			if stats := pool.Stats(); stats.Opened != 1 {
				b.Errorf("pool: got %d connections opened, want 1 that is reused", stats.Opened)
			}
			ctx, cancel := context.WithCancel(b.Context())
			cancel()
			pool.Run(ctx)
		})
	}
}
