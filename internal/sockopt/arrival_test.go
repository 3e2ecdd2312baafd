package sockopt

import (
	"net"
	"testing"
	"time"
)

const (
	// unreadTime is how long the requests under test lie in the socket before they are read.
	unreadTime = 100 * time.Millisecond
	// kernelTick is the longest tick of the kernel's clock, by which it records when data arrived.
	kernelTick = 10 * time.Millisecond
)

// Guards against time that a request waits in the socket and that is not counted: its client would get the response late by as
// much. The same holds for a connection that nobody has accepted yet.
func TestTimeInSocketCounts(t *testing.T) {
	const request = "GET / HTTP/1.1\r\n\r\n"
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer closeListener(t, l)
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(client)
	sentAt := time.Now()
	sendText(client, request)
	time.Sleep(unreadTime)
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	server, err := NewConn(accepted.(*net.TCPConn), time.Second, testHeadLines)
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(server)
	for _, name := range []string{"first request", "second request"} {
		readAll(t, server, len(request))
		if late := server.HeadArrivedAt().Sub(sentAt); late > unreadTime/2 || late < -kernelTick {
			t.Errorf("%s: arrived %v after it was sent, want its time in the socket to count", name, late)
		}
		respond(server)
		sentAt = time.Now()
		sendText(client, request)
		time.Sleep(unreadTime)
		server.MarkResponded() // late: the process was held up behind the write
	}
}

// respond writes a response. It ignores errors: the peer does not read it.
func respond(server *Conn) { _, _ = server.Write([]byte("HTTP/1.1 200 OK\r\n\r\n")) }

// Guards against a time before the response to the previous request, which the kernel may tell where it knows no better.
func TestRequestArrivesAfterPreviousResponse(t *testing.T) {
	const request = "GET / HTTP/1.1\r\n\r\n"
	client, server := connPair(t)
	sendText(client, request)
	readAll(t, server, len(request))
	sendText(client, request)
	time.Sleep(unreadTime)
	respondedAt := time.Now()
	respond(server)
	server.MarkResponded()
	readAll(t, server, len(request))
	if arrived := server.HeadArrivedAt(); arrived.Before(respondedAt) {
		t.Errorf("arrival: got %v before the previous response, want none", respondedAt.Sub(arrived))
	}
}

func closeListener(t *testing.T, l net.Listener) {
	t.Helper()
	if err := l.Close(); err != nil {
		t.Error(err)
	}
}

// readAll reads length bytes, with the buffer of a reader.
func readAll(t *testing.T, server *Conn, length int) {
	t.Helper()
	buffer := make([]byte, 4096)
	for read := 0; read < length; {
		n, err := server.Read(buffer)
		if err != nil {
			t.Fatal(err)
		}
		read += n
	}
}
