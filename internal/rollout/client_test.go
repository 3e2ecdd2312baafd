package rollout

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"

	"ottershed/decision"
)

// An unresponsive connection is given up only when the next one receives something. If it receives something first
// itself, it stays.
func TestUnavailable(t *testing.T) {
	for name, old := range map[string]bool{"the next one receives": false, "the old one receives": true} {
		t.Run(name, func(t *testing.T) {
			_, calls, events := start(t)
			first := followed(t, calls, events)
			second := next(t, calls, "follow") // opened beside
			if second.conn == first.conn {
				t.Fatal("followed twice on one connection")
			}
			kept, closed := second, first
			if old {
				kept, closed = first, second
			}
			sendHeartbeats(t, kept)
			ended := next(t, calls, "closed")
			if ended.conn.RemoteAddr().String() != closed.conn.RemoteAddr().String() {
				t.Error("the responsive connection was closed")
			}
		})
	}
}

// Of two connections only the newer one's events count, so that an older event does not come after a newer one.
func TestOlderStageUpdate(t *testing.T) {
	client, calls, events := start(t)
	first := followed(t, calls, events)
	older := &connection{client: client, number: 0}
	sendHeartbeats(t, first)
	if older.activate() {
		t.Error("an older connection's events count")
	}
}

// After a change of the address the client follows at the new one before it leaves the old one. A vote that is
// pending at the old one keeps its result, and later events from there are dropped.
func TestSetAddress(t *testing.T) {
	client, calls, events := startWithTimeout(t, 1000)
	old := followed(t, calls, events)
	sendHeartbeats(t, old)
	client.Vote(decision.Vote{Build: 42, Verdict: decision.VoteAdvance})
	vote := next(t, calls, "castBallot")
	conn := moveClient(t, client)
	lines := bufio.NewReader(conn)
	if _, err := lines.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	old.send(`{"method":"flag","params":{"host":"still"}}`)
	if got := fmt.Sprint(wait(t, events)); !strings.Contains(got, "still") {
		t.Errorf("the old address sent %s", got)
	}
	call{conn: conn}.send(`{"method":"stage","params":{"image":43,"ring":0,"progress":"testing","ceiling":0.1}}`)
	if got, ok := wait(t, events).(decision.StageUpdate); !ok || got.Build != 43 {
		t.Errorf("the new address sent %v", got)
	}
	old.send(`{"method":"flag","params":{"host":"late"}}`)
	vote.result(stage) // of build 42
	want := decision.StageUpdate{IsVoteResult: true, VoteResult: decision.VoteTimedOut}
	if got := wait(t, events); got != want {
		t.Errorf("the vote's result is %v", got)
	}
	next(t, calls, "closed")
	client.Vote(decision.Vote{Build: 43, Verdict: decision.VoteAdvance})
	if text, err := lines.ReadString('\n'); err != nil || !strings.Contains(text, "castBallot") {
		t.Errorf("the vote was sent as %q, %v", text, err)
	}
}

// moveClient gives a client the address of another stand-in, after one where nothing listens, and returns the
// client's connection there.
func moveClient(t *testing.T, client *Client) net.Conn {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(listener) })
	client.SetAddress(t.Context(), "127.0.0.1:1") // the next address ends the attempts to connect
	client.SetAddress(t.Context(), listener.Addr().String())
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeQuietly(conn) })
	return conn
}
