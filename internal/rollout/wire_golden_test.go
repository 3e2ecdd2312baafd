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

// callIDPattern matches the id of a call. Ids depend on how many connections were opened before.
var callIDPattern = regexp.MustCompile(`"id":\d+`)

// The lines to the rollout controller are a published protocol, so they are compared with the golden file byte for
// byte: the follow call and a vote of each kind, with and without fences. ID replaces the calls' ids, which vary.
func TestGoldenCalls(t *testing.T) {
	calls, results, client := startRespondingController(t)
	observed := golden.Section("follow", receiveText(t, calls))
	for _, cast := range []struct {
		title  string
		vote   decision.Vote
		fences []Fence
	}{
		{"no verdict", decision.Vote{Build: 42, Stage: 1, Verdict: decision.VoteNone}, nil},
		{"advance", decision.Vote{Build: 42, Stage: 1, Verdict: decision.VoteAdvance}, nil},
		{"hold", decision.Vote{Build: 65535, Stage: 0, Verdict: decision.VoteHold}, nil},
		{"rollback", decision.Vote{Build: 7, Stage: 3, Verdict: decision.VoteRollback}, nil},
		{
			"advance, with fences",
			decision.Vote{Build: 42, Stage: 1, Verdict: decision.VoteAdvance},
			[]Fence{{Lease: "trial/n0", Token: 9}, {Lease: "trial/n<1>", Token: 1 << 60}},
		},
	} {
		client.VoteWithFences(cast.vote, cast.fences)
		observed += golden.Section(cast.title, receiveText(t, calls))
		receiveText(t, results)
	}
	if err := golden.CheckFile("testdata/calls.golden", []byte(observed)); err != nil {
		t.Errorf("calls to the rollout controller: %v", err)
	}
}

// startRespondingController starts a client and a fake rollout controller that responds to each line. It sends these
// lines to calls, and a text to results for the result of each vote. Votes can be cast when it returns.
func startRespondingController(t *testing.T) (calls, results chan string, client *Client) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen as the rollout controller: %v", err)
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
	client.heartbeat = 10 * time.Second // keeps the connection even if the machine is slow
	runClient(t, client)
	select {
	case <-received: // votes are sent on this connection from now on
	case <-time.After(10 * time.Second):
		t.Fatal("got no event within 10s, want the first stage")
	}
	return calls, results, client
}

// respondToLines responds to each line of a connection and sends it to calls with the id replaced. It also sends a
// stage after its response to the follow call.
func respondToLines(conn net.Conn, calls chan<- string) {
	defer closeQuietly(conn)
	lines := bufio.NewReader(conn)
	for {
		text, err := lines.ReadString('\n')
		if err != nil {
			return
		}
		calls <- golden.Quote([]byte(callIDPattern.ReplaceAllString(text, `"id":ID`)))
		id, _, _ := strings.Cut(callIDPattern.FindString(text), ",")
		if strings.Contains(text, "follow") {
			call{conn: conn}.send("{%s,\"result\":true}\n{\"method\":\"stage\",\"params\":%s}", id, stageJSON)
		} else {
			call{conn: conn}.send("{%s,\"result\":%s}", id, stageJSON)
		}
	}
}

// receiveText returns the next text of the channel calls or results.
func receiveText(t *testing.T, texts <-chan string) string {
	t.Helper()
	select {
	case text := <-texts:
		return text
	case <-time.After(10 * time.Second):
		t.Fatal("got neither a line nor a vote result within 10s, want one")
		return ""
	}
}
