package rollout

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"

	"ottershed/decision"
)

// An unresponsive connection is closed only after the next one has received a message, because events in between would
// be lost. If the unresponsive connection receives a message first, it stays and the next one is closed.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	for name, currentReceives := range map[string]bool{"next receives": false, "current receives": true} {
		t.Run(name, func(t *testing.T) {
			_, calls, events := startClient(t)
			first := awaitSubscription(t, calls, events)
			second := nextCall(t, calls, "follow") // opened beside the first one
			if second.conn == first.conn {
				t.Fatal("second follow call: got the first connection, want another one")
			}
			kept, closed := second, first
			if currentReceives {
				kept, closed = first, second
			}
			sendHeartbeats(t, kept)
			ended := nextCall(t, calls, "closed")
			if ended.conn.RemoteAddr().String() != closed.conn.RemoteAddr().String() {
				t.Error("closed connection: got the one that receives messages, want the other one")
			}
		})
	}
}

// An older connection does not become active while a newer one is, so that older events don't follow newer ones.
func TestOlderConnectionDoesNotBecomeActive(t *testing.T) {
	client, calls, events := startClient(t)
	first := awaitSubscription(t, calls, events)
	older := &connection{client: client, number: 0}
	sendHeartbeats(t, first)
	if older.activate() {
		t.Error("older connection: got active, want inactive")
	}
}

// After a change of the address the client keeps the connection to the old address until the new one has received a
// message. A vote that is pending at the old address still gets its result, and later events from there are dropped.
func TestAddressChangeKeepsPendingVote(t *testing.T) {
	client, calls, events := startClientWithTimeout(t, 1000)
	old := awaitSubscription(t, calls, events)
	sendHeartbeats(t, old)
	client.Vote(decision.Vote{Build: 42, Verdict: decision.VoteAdvance})
	vote := nextCall(t, calls, "castBallot")
	conn := moveToNewController(t, client)
	lines := bufio.NewReader(conn)
	if _, err := lines.ReadString('\n'); err != nil {
		t.Fatalf("read the subscription on the connection to the new address: %v", err)
	}
	old.send(`{"method":"flag","params":{"host":"host-1"}}`)
	if got := fmt.Sprint(nextEvent(t, events)); !strings.Contains(got, "host-1") {
		t.Errorf("event of the old address: got %s, want the flag of host-1", got)
	}
	call{conn: conn}.send(`{"method":"stage","params":{"image":43,"ring":0,"progress":"testing","ceiling":0.1}}`)
	if got, ok := nextEvent(t, events).(decision.StageUpdate); !ok || got.Build != 43 {
		t.Errorf("event of the new address: got %v, want a stage update of build 43", got)
	}
	old.send(`{"method":"flag","params":{"host":"host-2"}}`) // dropped, because the new connection is active
	vote.respond(stageJSON)                                  // its stage, of build 42, may be outdated by now
	want := decision.StageUpdate{IsVoteResult: true, VoteResult: decision.VoteTimedOut}
	if got := nextEvent(t, events); got != want {
		t.Errorf("vote result: got %v, want VoteTimedOut", got)
	}
	nextCall(t, calls, "closed")
	client.Vote(decision.Vote{Build: 43, Verdict: decision.VoteAdvance})
	if text, err := lines.ReadString('\n'); err != nil || !strings.Contains(text, "castBallot") {
		t.Errorf("vote at the new address: got %q, error %v, want castBallot", text, err)
	}
}

// moveToNewController changes a client's address to one where nothing listens and then to that of a new listener. It
// returns the client's connection to that listener.
func moveToNewController(t *testing.T, client *Client) net.Conn {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen at the new address of the controller: %v", err)
	}
	t.Cleanup(func() { closeQuietly(listener) })
	client.SetAddress(t.Context(), "127.0.0.1:1") // dialing it fails until the next change
	client.SetAddress(t.Context(), listener.Addr().String())
	conn, err := listener.Accept()
	if err != nil {
		t.Fatalf("accept the connection to the new address of the controller: %v", err)
	}
	t.Cleanup(func() { closeQuietly(conn) })
	return conn
}
