package rollout

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"ottershed/decision"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"
)

const stage = `{"image":42,"ring":1,"progress":"testing","ceiling":0.28,"lag_ms":310}`

// call is what the stand-in reads: one line on a connection.
type call struct {
	conn   net.Conn
	ID     int
	text   string
	Method string
}

func (c call) say(format string, args ...any) { fmt.Fprintf(c.conn, format+"\n", args...) }

func (c call) result(what string) { c.say(`{"jsonrpc":"2.0","id":%d,"result":%s}`, c.ID, what) }

// start runs a desk against a stand-in that does nothing by itself.
func start(t *testing.T) (*Client, chan call, chan decision.Event) { return startWaiting(t, 100) }

// startWaiting does so with another wait for the answer to a vote, in milliseconds.
func startWaiting(t *testing.T, wait decision.Millis) (d *Client, calls chan call, events chan decision.Event) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	calls, events = make(chan call, 100), make(chan decision.Event, 100)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				lines := bufio.NewScanner(c)
				for lines.Scan() {
					in := call{conn: c, text: lines.Text()}
					json.Unmarshal(lines.Bytes(), &in)
					calls <- in
				}
				calls <- call{conn: c, Method: "closed"}
			}()
		}
	}()
	log := logrus.New()
	log.SetOutput(io.Discard)
	d = New(l.Addr().String(), wait, func(e decision.Event) { events <- e }, log)
	d.heartbeat = 20 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { d.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended; l.Close() })
	return d, calls, events
}

// next is the next call of this method; others are passed over.
func next(t *testing.T, calls chan call, method string) call {
	t.Helper()
	for {
		select {
		case c := <-calls:
			if c.Method == method {
				return c
			}
		case <-time.After(5 * time.Second):
			t.Fatalf("no %s came", method)
		}
	}
}

func wait(t *testing.T, events chan decision.Event) decision.Event {
	t.Helper()
	select {
	case e := <-events:
		return e
	case <-time.After(5 * time.Second):
		t.Fatal("nothing was told")
		return nil
	}
}

// followed is a connection that is followed and has spoken, and is kept awake.
func followed(t *testing.T, calls chan call, events chan decision.Event) call {
	t.Helper()
	f := next(t, calls, "follow")
	f.result("true")
	f.say(`{"jsonrpc":"2.0","method":"stage","params":%s}`, stage)
	wait(t, events)
	return f
}

func awake(t *testing.T, c call) {
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(10 * time.Millisecond):
				c.say(`{"jsonrpc":"2.0","method":"ping"}`)
			}
		}
	}()
}

func TestEvents(t *testing.T) {
	for name, tc := range map[string]struct {
		line string
		want decision.Event // that is told; nil: nothing
	}{
		"on trial":   {`{"jsonrpc":"2.0","method":"stage","params":` + stage + `}`, decision.StageUpdate{Age: 310, Build: 42, Phase: 0, IsVoteResult: false, ExposureCap: 0.28, Stage: 1, VoteResult: 0}},
		"going back": {`{"method":"stage","params":{"image":42,"ring":0,"progress":"recalling","ceiling":0}}`, decision.StageUpdate{Age: 0, Build: 42, Phase: 1, IsVoteResult: false, ExposureCap: 0, Stage: 0, VoteResult: 0}},
		"released":   {`{"method":"stage","params":{"image":42,"ring":3,"progress":"live","ceiling":1}}`, decision.StageUpdate{Age: 0, Build: 42, Phase: 2, IsVoteResult: false, ExposureCap: 1, Stage: 3, VoteResult: 0}},
		"withdrawn":  {`{"method":"stage","params":{"image":42,"ring":3,"progress":"recalled","ceiling":0}}`, decision.StageUpdate{Age: 0, Build: 42, Phase: 3, IsVoteResult: false, ExposureCap: 0, Stage: 3, VoteResult: 0}},
		"flag":       {`{"method":"flag","params":{"host":"s-1","type":"lookup","lag_ms":1200}}`, decision.ResponseFlagged{Endpoint: "s-1", Class: "lookup", Age: 1200}},
		"ping":       {`{"method":"ping"}`, nil},
		"new kind":   {`{"method":"weather","params":{}}`, nil},
	} {
		t.Run(name, func(t *testing.T) {
			_, calls, events := start(t)
			f := followed(t, calls, events)
			f.say("%s", tc.line)
			f.say(`{"method":"flag","params":{"host":"last"}}`)
			if tc.want == nil {
				tc.want = decision.ResponseFlagged{Endpoint: "last"}
			}
			if diff := cmp.Diff(tc.want, wait(t, events)); diff != "" {
				t.Errorf("told (-want +got):\n%s", diff)
			}
		})
	}
}

// What can't be read costs the connection and no more.
func TestUnreadable(t *testing.T) {
	for name, line := range map[string]string{
		"no JSON": "what?", "no phase": `{"method":"stage","params":{"image":1,"ceiling":1,"progress":"x"}}`,
		"no cap": `{"method":"stage","params":{"image":1,"progress":"live"}}`, "flag of no object": `{"method":"flag","params":3}`,
		"too long": `{"method":"ping","params":"` + strings.Repeat("x", maxLine) + `"}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, calls, events := start(t)
			f := followed(t, calls, events)
			f.say("%s", line)
			if c := next(t, calls, "closed"); c.conn != f.conn {
				t.Error("another connection was closed")
			}
			followed(t, calls, events)
		})
	}
}

func TestVotes(t *testing.T) {
	update := decision.StageUpdate{IsVoteResult: true, Age: 310, Build: 42, Stage: 1, ExposureCap: 0.28}
	result := func(f decision.VoteResult) decision.StageUpdate {
		return decision.StageUpdate{IsVoteResult: true, VoteResult: f}
	}
	refuse := func(message string) func(call) {
		return func(c call) { c.say(`{"jsonrpc":"2.0","id":%d,"error":{"code":-32602,"message":%q}}`, c.ID, message) }
	}
	for name, tc := range map[string]struct {
		response func(call)
		want     decision.StageUpdate
	}{
		"counts":           {func(c call) { c.result(stage) }, update},
		"full":             {refuse("Throttling"), result(decision.VoteThrottled)},
		"moot":             {refuse("ConditionFailed"), result(decision.VoteObsolete)},
		"error":            {refuse("InternalFailure"), result(decision.VoteFailed)},
		"not valid":        {refuse("ValidationError"), result(decision.VoteFailed)},
		"unknown error":    {refuse("Tired"), result(decision.VoteTimedOut)},
		"nothing":          {func(call) {}, result(decision.VoteTimedOut)},
		"closed":           {func(c call) { c.conn.Close() }, result(decision.VoteTimedOut)},
		"unreadable":       {func(c call) { c.say("what?") }, result(decision.VoteTimedOut)},
		"odd result":       {func(c call) { c.result("true") }, result(decision.VoteTimedOut)},
		"another's answer": {func(c call) { c.ID += 1000; c.result("true") }, result(decision.VoteTimedOut)},
		"news before it":   {func(c call) { c.say(`{"method":"ping"}`); c.result(stage) }, update},
	} {
		t.Run(name, func(t *testing.T) {
			d, calls, events := start(t)
			awake(t, followed(t, calls, events))
			d.Vote(decision.Vote{Build: 42, Stage: 1, Verdict: decision.VoteAdvance})
			c := next(t, calls, "castBallot")
			if want := fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"castBallot","params":{"image":42,"ring":1,"opinion":"on"}}`, c.ID); c.text != want {
				t.Errorf("sent %s, want %s", c.text, want)
			}
			tc.response(c)
			if got := wait(t, events); got != tc.want {
				t.Errorf("told %+v, want %+v", got, tc.want)
			}
			select {
			case e := <-events:
				t.Errorf("told twice: %+v", e)
			default:
			}
		})
	}
}

// Without a connection a vote was not carried out; an answer that comes too late is news still.
func TestVoteWithoutConnection(t *testing.T) {
	d, calls, events := start(t)
	d.Vote(decision.Vote{})
	if got := wait(t, events); got != (decision.StageUpdate{IsVoteResult: true, VoteResult: decision.VoteFailed}) {
		t.Errorf("told %+v", got)
	}
	awake(t, followed(t, calls, events))
	d.Vote(decision.Vote{})
	c := next(t, calls, "castBallot")
	if got := wait(t, events); got != (decision.StageUpdate{IsVoteResult: true, VoteResult: decision.VoteTimedOut}) {
		t.Errorf("told %+v", got)
	}
	c.result(stage)
	if got := wait(t, events); got != (decision.StageUpdate{Age: 310, Build: 42, Stage: 1, ExposureCap: 0.28}) {
		t.Errorf("told %+v", got)
	}
}

// A silent connection is given up only when the next one speaks; if it speaks first itself, it stays.
func TestUnavailable(t *testing.T) {
	for name, old := range map[string]bool{"the next one speaks": false, "the old one speaks": true} {
		t.Run(name, func(t *testing.T) {
			_, calls, events := start(t)
			first := followed(t, calls, events)
			second := next(t, calls, "follow") // opened beside
			if second.conn == first.conn {
				t.Fatal("followed twice on one connection")
			}
			speaks, closed := second, first
			if old {
				speaks, closed = first, second
			}
			awake(t, speaks)
			if c := next(t, calls, "closed"); c.conn.RemoteAddr().String() != closed.conn.RemoteAddr().String() {
				t.Error("the one that speaks was closed")
			}
		})
	}
}

// Told by both connections, older news must not come after newer.
func TestOlderStageUpdate(t *testing.T) {
	d, calls, events := start(t)
	first := followed(t, calls, events)
	older := &connection{client: d, number: 0}
	if awake(t, first); older.activate() {
		t.Error("an older connection's news pass")
	}
}

// Moved, the desk is followed at the next address before the first one is left; a vote that is still out there keeps
// its fate, and older news from there is not told any more.
func TestSetAddress(t *testing.T) {
	d, calls, events := startWaiting(t, 1000)
	old := followed(t, calls, events)
	awake(t, old)
	d.Vote(decision.Vote{Build: 42, Verdict: decision.VoteAdvance})
	vote := next(t, calls, "castBallot")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	d.SetAddress(t.Context(), "127.0.0.1:1") // nothing there: the next move ends the tries
	d.SetAddress(t.Context(), l.Addr().String())
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := bufio.NewReader(c).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	old.say(`{"method":"flag","params":{"host":"still"}}`)
	if got := fmt.Sprint(wait(t, events)); !strings.Contains(got, "still") {
		t.Errorf("the old address told %s", got)
	}
	fmt.Fprintln(c, `{"method":"stage","params":{"image":43,"ring":0,"progress":"testing","ceiling":0.1}}`)
	if got, ok := wait(t, events).(decision.StageUpdate); !ok || got.Build != 43 {
		t.Errorf("the new address told %v", got)
	}
	old.say(`{"method":"flag","params":{"host":"late"}}`)
	vote.result(stage) // of build 42
	if got := wait(t, events); got != (decision.StageUpdate{IsVoteResult: true, VoteResult: decision.VoteTimedOut}) {
		t.Errorf("the vote's fate came as %v", got)
	}
	next(t, calls, "closed")
	d.Vote(decision.Vote{Build: 43, Verdict: decision.VoteAdvance})
	if text, err := bufio.NewReader(c).ReadString('\n'); err != nil || !strings.Contains(text, "castBallot") {
		t.Errorf("the vote went out as %q, %v", text, err)
	}
}
