package rollout

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"ottershed/decision"
	"ottershed/internal/golden"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// callID is the number of a call, which depends on how many connections were opened before.
var callID = regexp.MustCompile(`"id":\d+`)

// The lines that the rollout controller reads are those of the golden file, to the last byte: the call that asks to follow
// and one vote of each kind, with and without fences. The numbers of the calls are volatile and stand there as ID.
func TestGoldenCalls(t *testing.T) {
	calls, settled, d := goldenDesk(t)
	observed := golden.Section("follow", receive(t, calls))
	for _, v := range []struct {
		title string
		vote  decision.Vote
		under []Fence
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
		d.VoteFenced(v.vote, v.under)
		observed += golden.Section(v.title, receive(t, calls))
		receive(t, settled)
	}
	if err := golden.Check("testdata/calls.golden", []byte(observed)); err != nil {
		t.Error(err)
	}
}

// goldenDesk runs a desk against a rollout controller that tells each line it reads, and that answers each. Votes may go out
// once it has received the first one; settled tells when the fate of each is known.
func goldenDesk(t *testing.T) (calls, settled chan string, d *Client) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	calls, settled = make(chan string, 100), make(chan string, 100)
	speaks := make(chan struct{}, 100)
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go answerLines(c, calls)
		}
	}()
	log := logrus.New()
	log.SetOutput(io.Discard)
	d = New(l.Addr().String(), 5000, func(e decision.Event) {
		if news, ok := e.(decision.StageUpdate); ok && news.IsVoteResult {
			settled <- "settled"
			return
		}
		speaks <- struct{}{}
	}, log)
	d.heartbeat = 10 * time.Second // a controller that is slow here must not be taken for a silent one
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { d.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended })
	select {
	case <-speaks: // from now on votes go out on this connection
	case <-time.After(10 * time.Second):
		t.Fatal("the desk heard nothing")
	}
	return calls, settled, d
}

// answerLines tells each line that comes, its number replaced, and answers it; the first one also with the stage.
func answerLines(c net.Conn, calls chan<- string) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		text, err := r.ReadString('\n')
		if err != nil {
			return
		}
		calls <- golden.Quote([]byte(callID.ReplaceAllString(text, `"id":ID`)))
		id, _, _ := strings.Cut(callID.FindString(text), ",")
		if strings.Contains(text, "follow") {
			fmt.Fprintf(c, "{%s,\"result\":true}\n{\"method\":\"stage\",\"params\":%s}\n", id, stage)
		} else {
			fmt.Fprintf(c, "{%s,\"result\":%s}\n", id, stage)
		}
	}
}

// receive is the next text of a channel.
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
