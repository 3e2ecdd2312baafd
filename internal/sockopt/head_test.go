package sockopt

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"
)

// A head ends with an empty line after at least one that is not, and only lines that are not empty count.
func TestHeadScanner(t *testing.T) {
	for input, want := range map[string]struct {
		inHead, lines int
		ended         bool
	}{
		"":                            {0, 0, false},
		"GET / HTTP/1.1":              {14, 0, false},
		"a\r\nb: c\r\n":               {9, 2, false},
		"a\r\nb: c\r\n\r\nbody":       {11, 2, true},
		"a\nb: c\n\nbody":             {8, 2, true},
		"\r\n\r\na\r\n\r\n":           {9, 1, true},
		"a\r\n \t\r\nnot in the head": {7, 1, true},
		"a\r\n\r":                     {4, 1, false},
	} {
		for split := range len(input) + 1 { // as two reads
			var head headScanner
			inHead := head.scan([]byte(input[:split]), testHeadLines)
			if !head.ended {
				inHead += head.scan([]byte(input[split:]), testHeadLines)
			}
			if inHead != want.inHead || head.lines != want.lines || head.ended != want.ended {
				t.Errorf("%q, split at %d: got %d bytes, %d lines, ended %v, want %+v", input, split, inHead, head.lines, head.ended, want)
			}
		}
	}
}

// readRequests reads n requests as http.Server does, with bodies of the given length, until the first error.
func readRequests(server *Conn, n, bodyLength int) error {
	buffer := make([]byte, 4<<10)
	for range n {
		_ = server.SetReadDeadline(time.Now().Add(5 * time.Second)) // fails only on a closed connection
		for ended := false; !ended; {
			read, err := server.Read(buffer)
			if err != nil {
				return err
			}
			ended = strings.HasSuffix(string(buffer[:read]), "\r\n\r\n")
		}
		server.ExpectBody(int64(bodyLength))
		body := make([]byte, bodyLength)
		if _, err := io.ReadFull(server, body); err != nil {
			return err
		}
		if got, want := string(body), strings.Repeat("\n", bodyLength); got != want {
			return fmt.Errorf("got body %q, want %q", got, want)
		}
		server.MarkResponded()
	}
	return nil
}

// A head with more lines than the limit is an error, wherever it stands on the connection, and lines of bodies don't count.
// Guards against heads of very many short fields, which take much memory.
func TestHeadsWithTooManyLines(t *testing.T) {
	head := func(lines int) string { return strings.Repeat("a: b\r\n", lines) + "\r\n" }
	for name, test := range map[string]struct {
		sent       []string // written one by one
		bodyLength int
		want       error
	}{
		"as many as allowed":                    {[]string{head(testHeadLines)}, 0, nil},
		"one more":                              {[]string{head(testHeadLines + 1)}, 0, ErrTooManyLines},
		"in two parts":                          {[]string{head(testHeadLines)[:20], strings.Repeat("a: b\r\n", testHeadLines)}, 0, ErrTooManyLines},
		"incomplete":                            {[]string{strings.Repeat("a\n", testHeadLines+1)}, 0, ErrTooManyLines},
		"bodies of many lines, all at once":     {[]string{strings.Repeat(head(2)+strings.Repeat("\n", 100), 3)}, 100, nil},
		"behind another request":                {[]string{head(2) + head(testHeadLines+1)}, 0, ErrTooManyLines},
		"behind a request with a body":          {[]string{head(2) + "\n\n\n\n" + head(testHeadLines+1)}, 4, ErrTooManyLines},
		"as many as allowed, behind each other": {[]string{strings.Repeat(head(testHeadLines), 50)}, 0, nil},
	} {
		t.Run(name, func(t *testing.T) {
			client, server := connPair(t)
			requests := strings.Count(strings.Join(test.sent, ""), "\r\n\r\n")
			go func() {
				for _, text := range test.sent {
					sendText(client, text)
				}
			}()
			if err := readRequests(server, max(1, requests), test.bodyLength); !errors.Is(err, test.want) {
				t.Errorf("requests: got error %v, want %v", err, test.want)
			}
		})
	}
}
