package rollout

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"ottershed/decision"
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
func start(t *testing.T) (*Desk, chan call, chan decision.Event) { return startWaiting(t, 100) }

// startWaiting does so with another wait for the answer to a vote, in milliseconds.
func startWaiting(t *testing.T, wait decision.Millis) (d *Desk, calls chan call, told chan decision.Event) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	calls, told = make(chan call, 100), make(chan decision.Event, 100)
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
	d = New(l.Addr().String(), wait, func(e decision.Event) { told <- e }, log)
	d.sign = 20 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { d.Run(ctx); close(ended) }()
	t.Cleanup(func() { cancel(); <-ended; l.Close() })
	return d, calls, told
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

func wait(t *testing.T, told chan decision.Event) decision.Event {
	t.Helper()
	select {
	case e := <-told:
		return e
	case <-time.After(5 * time.Second):
		t.Fatal("nothing was told")
		return nil
	}
}

// followed is a connection that is followed and has spoken, and is kept awake.
func followed(t *testing.T, calls chan call, told chan decision.Event) call {
	t.Helper()
	f := next(t, calls, "follow")
	f.result("true")
	f.say(`{"jsonrpc":"2.0","method":"stage","params":%s}`, stage)
	wait(t, told)
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

func TestNotices(t *testing.T) {
	for name, tc := range map[string]struct {
		line string
		want decision.Event // that is told; nil: nothing
	}{
		"on trial":   {`{"jsonrpc":"2.0","method":"stage","params":` + stage + `}`, decision.StageNews{Age: 310, Build: 42, Phase: 0, ToVote: false, Cap: 0.28, Stage: 1, VoteFate: 0}},
		"going back": {`{"method":"stage","params":{"image":42,"ring":0,"progress":"recalling","ceiling":0}}`, decision.StageNews{Age: 0, Build: 42, Phase: 1, ToVote: false, Cap: 0, Stage: 0, VoteFate: 0}},
		"released":   {`{"method":"stage","params":{"image":42,"ring":3,"progress":"live","ceiling":1}}`, decision.StageNews{Age: 0, Build: 42, Phase: 2, ToVote: false, Cap: 1, Stage: 3, VoteFate: 0}},
		"withdrawn":  {`{"method":"stage","params":{"image":42,"ring":3,"progress":"recalled","ceiling":0}}`, decision.StageNews{Age: 0, Build: 42, Phase: 3, ToVote: false, Cap: 0, Stage: 3, VoteFate: 0}},
		"flag":       {`{"method":"flag","params":{"host":"s-1","type":"lookup","lag_ms":1200}}`, decision.Flagged{Node: "s-1", Group: "lookup", Age: 1200}},
		"ping":       {`{"method":"ping"}`, nil},
		"new kind":   {`{"method":"weather","params":{}}`, nil},
	} {
		t.Run(name, func(t *testing.T) {
			_, calls, told := start(t)
			f := followed(t, calls, told)
			f.say("%s", tc.line)
			f.say(`{"method":"flag","params":{"host":"last"}}`)
			if tc.want == nil {
				tc.want = decision.Flagged{Node: "last"}
			}
			if diff := cmp.Diff(tc.want, wait(t, told)); diff != "" {
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
		"too long": `{"method":"ping","params":"` + strings.Repeat("x", longestLine) + `"}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, calls, told := start(t)
			f := followed(t, calls, told)
			f.say("%s", line)
			if c := next(t, calls, "closed"); c.conn != f.conn {
				t.Error("another connection was closed")
			}
			followed(t, calls, told)
		})
	}
}

func TestVotes(t *testing.T) {
	news := decision.StageNews{ToVote: true, Age: 310, Build: 42, Stage: 1, Cap: 0.28}
	fate := func(f decision.VoteFate) decision.StageNews { return decision.StageNews{ToVote: true, VoteFate: f} }
	refuse := func(message string) func(call) {
		return func(c call) { c.say(`{"jsonrpc":"2.0","id":%d,"error":{"code":-32602,"message":%q}}`, c.ID, message) }
	}
	for name, tc := range map[string]struct {
		answer func(call)
		want   decision.StageNews
	}{
		"counts":           {func(c call) { c.result(stage) }, news},
		"full":             {refuse("Throttling"), fate(decision.VoteFull)},
		"moot":             {refuse("ConditionFailed"), fate(decision.VoteMoot)},
		"error":            {refuse("InternalFailure"), fate(decision.VoteError)},
		"not valid":        {refuse("ValidationError"), fate(decision.VoteError)},
		"unknown error":    {refuse("Tired"), fate(decision.VoteTimeout)},
		"nothing":          {func(call) {}, fate(decision.VoteTimeout)},
		"closed":           {func(c call) { c.conn.Close() }, fate(decision.VoteTimeout)},
		"unreadable":       {func(c call) { c.say("what?") }, fate(decision.VoteTimeout)},
		"odd result":       {func(c call) { c.result("true") }, fate(decision.VoteTimeout)},
		"another's answer": {func(c call) { c.ID += 1000; c.result("true") }, fate(decision.VoteTimeout)},
		"news before it":   {func(c call) { c.say(`{"method":"ping"}`); c.result(stage) }, news},
	} {
		t.Run(name, func(t *testing.T) {
			d, calls, told := start(t)
			awake(t, followed(t, calls, told))
			d.Vote(decision.Vote{Build: 42, Stage: 1, Verdict: decision.VoteOn})
			c := next(t, calls, "castBallot")
			if want := fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"castBallot","params":{"image":42,"ring":1,"opinion":"on"}}`, c.ID); c.text != want {
				t.Errorf("sent %s, want %s", c.text, want)
			}
			tc.answer(c)
			if got := wait(t, told); got != tc.want {
				t.Errorf("told %+v, want %+v", got, tc.want)
			}
			select {
			case e := <-told:
				t.Errorf("told twice: %+v", e)
			default:
			}
		})
	}
}

// Without a connection a vote was not carried out; an answer that comes too late is news still.
func TestVoteWithout(t *testing.T) {
	d, calls, told := start(t)
	d.Vote(decision.Vote{})
	if got := wait(t, told); got != (decision.StageNews{ToVote: true, VoteFate: decision.VoteError}) {
		t.Errorf("told %+v", got)
	}
	awake(t, followed(t, calls, told))
	d.Vote(decision.Vote{})
	c := next(t, calls, "castBallot")
	if got := wait(t, told); got != (decision.StageNews{ToVote: true, VoteFate: decision.VoteTimeout}) {
		t.Errorf("told %+v", got)
	}
	c.result(stage)
	if got := wait(t, told); got != (decision.StageNews{Age: 310, Build: 42, Stage: 1, Cap: 0.28}) {
		t.Errorf("told %+v", got)
	}
}

// A silent connection is given up only when the next one speaks; if it speaks first itself, it stays.
func TestSilent(t *testing.T) {
	for name, old := range map[string]bool{"the next one speaks": false, "the old one speaks": true} {
		t.Run(name, func(t *testing.T) {
			_, calls, told := start(t)
			first := followed(t, calls, told)
			second := next(t, calls, "follow") // opened beside
			if second.conn == first.conn {
				t.Fatal("followed twice on one connection")
			}
			speaks, gone := second, first
			if old {
				speaks, gone = first, second
			}
			awake(t, speaks)
			if c := next(t, calls, "closed"); c.conn.RemoteAddr().String() != gone.conn.RemoteAddr().String() {
				t.Error("the one that speaks was closed")
			}
		})
	}
}

// Told by both connections, older news must not come after newer.
func TestOlderNews(t *testing.T) {
	d, calls, told := start(t)
	first := followed(t, calls, told)
	older := &link{desk: d, number: 0}
	if awake(t, first); older.speaks() {
		t.Error("an older connection's news pass")
	}
}

// Moved, the desk is followed at the next address before the first one is left; a vote that is still out there keeps
// its fate, and older news from there is not told any more.
func TestMove(t *testing.T) {
	d, calls, told := startWaiting(t, 1000)
	old := followed(t, calls, told)
	awake(t, old)
	d.Vote(decision.Vote{Build: 42, Verdict: decision.VoteOn})
	vote := next(t, calls, "castBallot")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	d.Move(t.Context(), "127.0.0.1:1") // nothing there: the next move ends the tries
	d.Move(t.Context(), l.Addr().String())
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := bufio.NewReader(c).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	old.say(`{"method":"flag","params":{"host":"still"}}`)
	if got := fmt.Sprint(wait(t, told)); !strings.Contains(got, "still") {
		t.Errorf("the old address told %s", got)
	}
	fmt.Fprintln(c, `{"method":"stage","params":{"image":43,"ring":0,"progress":"testing","ceiling":0.1}}`)
	if got, ok := wait(t, told).(decision.StageNews); !ok || got.Build != 43 {
		t.Errorf("the new address told %v", got)
	}
	old.say(`{"method":"flag","params":{"host":"late"}}`)
	vote.result(stage) // of build 42
	if got := wait(t, told); got != (decision.StageNews{ToVote: true, VoteFate: decision.VoteTimeout}) {
		t.Errorf("the vote's fate came as %v", got)
	}
	next(t, calls, "closed")
	d.Vote(decision.Vote{Build: 43, Verdict: decision.VoteOn})
	if text, err := bufio.NewReader(c).ReadString('\n'); err != nil || !strings.Contains(text, "castBallot") {
		t.Errorf("the vote went out as %q, %v", text, err)
	}
}
