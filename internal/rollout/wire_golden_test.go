package rollout

import (
	"bufio"
	"io"
	"net"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"ottershed/decision"
	"ottershed/internal/golden"
)

// callID is the id of a call, which depends on how many connections were opened before.
var callID = regexp.MustCompile(`"id":\d+`)

// The lines that the rollout controller reads are those of the golden file, byte for byte: the follow call and a vote
// of each kind, with and without fences. The ids of the calls vary and stand there as ID.
func TestGoldenCalls(t *testing.T) {
	calls, results, client := startGolden(t)
	observed := golden.Section("follow", receive(t, calls))
	for _, cast := range []struct {
		title  string
		vote   decision.Vote
		fences []Fence
	}{
		{"no opinion", decision.Vote{Build: 42, Stage: 1, Verdict: decision.VoteNone}, nil},
		{"on", decision.Vote{Build: 42, Stage: 1, Verdict: decision.VoteAdvance}, nil},
		{"hold", decision.Vote{Build: 65535, Stage: 0, Verdict: decision.VoteHold}, nil},
		{"back", decision.Vote{Build: 7, Stage: 3, Verdict: decision.VoteRollback}, nil},
		{
			"on, under fences",
			decision.Vote{Build: 42, Stage: 1, Verdict: decision.VoteAdvance},
			[]Fence{{Lease: "trial/n0", Token: 9}, {Lease: "trial/n<1>", Token: 1 << 60}},
		},
	} {
		client.VoteFenced(cast.vote, cast.fences)
		observed += golden.Section(cast.title, receive(t, calls))
		receive(t, results)
	}
	if err := golden.Check("testdata/calls.golden", []byte(observed)); err != nil {
		t.Error(err)
	}
}

// startGolden runs a client and a rollout controller that responds to each line; calls has these lines. Votes
// may be cast when it returns; results has an entry for the result of each.
func startGolden(t *testing.T) (calls, results chan string, client *Client) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(listener) })
	calls, results = make(chan string, 100), make(chan string, 100)
	received := make(chan struct{}, 100)
	go func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			go respondToLines(conn, calls)
		}
	}()
	log := logrus.New()
	log.SetOutput(io.Discard)
	client = New(listener.Addr().String(), 5000, func(event decision.Event) {
		if update, ok := event.(decision.StageUpdate); ok && update.IsVoteResult {
			results <- "result"
			return
		}
		received <- struct{}{}
	}, log)
	client.heartbeat = 10 * time.Second // on a slow machine the controller must not count as unresponsive
	run(t, client)
	select {
	case <-received: // from now on votes go out on this connection
	case <-time.After(10 * time.Second):
		t.Fatal("the client received nothing")
	}
	return calls, results, client
}

// respondToLines hands on each line that it reads, with its id replaced, and responds to it; to the follow call also
// with the stage.
func respondToLines(conn net.Conn, calls chan<- string) {
	defer closeQuietly(conn)
	lines := bufio.NewReader(conn)
	for {
		text, err := lines.ReadString('\n')
		if err != nil {
			return
		}
		calls <- golden.Quote([]byte(callID.ReplaceAllString(text, `"id":ID`)))
		id, _, _ := strings.Cut(callID.FindString(text), ",")
		if strings.Contains(text, "follow") {
			call{conn: conn}.send("{%s,\"result\":true}\n{\"method\":\"stage\",\"params\":%s}", id, stage)
		} else {
			call{conn: conn}.send("{%s,\"result\":%s}", id, stage)
		}
	}
}

// receive returns the next text of a channel.
func receive(t *testing.T, texts <-chan string) string {
	t.Helper()
	select {
	case text := <-texts:
		return text
	case <-time.After(10 * time.Second):
		t.Fatal("nothing came")
		return ""
	}
}
