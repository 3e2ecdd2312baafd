package membership

import (
	"errors"
	"strconv"
	"strings"
	"testing"
)

// settings returns valid settings of a member that starts at time 1000, with run 7.
func settings(name Name) Settings {
	return Settings{
		Name: name, Address: "127.0.0.1:1", Run: 7, Start: 1000, RandomSeed: 1, ToleratedPause: 4000, DetectionTimeout: 12000,
		MaxMembers: 4, Seeds: []Seed{{"a", "127.0.0.1:1"}, {"b", "127.0.0.2:1"}},
	}
}

// packetFromB returns a gossip packet from member b with updates.
func packetFromB(updates ...Update) *Packet {
	return &Packet{Kind: Gossip, From: "b", Address: "127.0.0.2:1", Incarnation: 5, Run: 9, Updates: updates}
}

// Each invalid setting is reported under its key in the operator's file.
func TestSettingsCheckNamesInvalidKey(t *testing.T) {
	for want, change := range map[string]func(*Settings){
		"name: missing":                                  func(s *Settings) { s.Name = "" },
		"name: want no blanks":                           func(s *Settings) { s.Name = "a b" },
		"membership.advertise: want ip:port":             func(s *Settings) { s.Address = "host:80" },
		"membership.bear-pause":                          func(s *Settings) { s.ToleratedPause = -1 },
		"membership.detect-within: want at":              func(s *Settings) { s.DetectionTimeout = s.ToleratedPause + 100 },
		"membership.most-members":                        func(s *Settings) { s.MaxMembers = 1 },
		"membership.seeds[1].name: \"a\" is a duplicate": func(s *Settings) { s.Seeds[1].Name = "a" },
		"membership.seeds[1].address: want":              func(s *Settings) { s.Seeds[1].Address = "0.0.0.0:1" },
		"membership.seeds[1].address: \"127.0.0":         func(s *Settings) { s.Seeds[1].Address = s.Seeds[0].Address },
	} {
		s := settings("a")
		change(&s)
		if err := s.Check(); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("Check of invalid settings: got %v, want an error that begins with %q", err, want)
		}
	}
	valid := settings("a")
	if err := valid.Check(); err != nil {
		t.Errorf("Check of valid settings: got %v, want no error", err)
	}
}

// A packet survives encoding and decoding and is no longer than its estimated size. A packet with a wrong signature, of
// another cluster, truncated or with an invalid field is rejected.
func TestCodecRoundTripAndRejections(t *testing.T) {
	long := Name(strings.Repeat("n", maxNameBytes))
	full := &Packet{
		Kind: PingReq, From: long, Address: "127.255.255.255:65535", Incarnation: maxIncarnation - 1, Run: 1<<64 - 1,
		Seq: 1<<64 - 1, Target: long, TargetAddress: "127.255.255.255:65535",
	}
	for full.size() < maxPacketBytes-200 {
		full.Updates = append(full.Updates, Update{
			Name: long, Address: "127.255.255.255:65535", State: Dead,
			Incarnation: maxIncarnation - 1, Run: 1<<64 - 1, Accuser: long,
		})
	}
	signed := Codec{Cluster: strings.Repeat("c", maxClusterBytes), Key: []byte("sixteen bytes or more")}
	raw, err := signed.Encode(full)
	if err != nil || len(raw) > full.size() {
		t.Fatalf("encoded packet: got %d bytes, %v, want %d at most", len(raw), err, full.size())
	}
	if back, err := signed.Decode(raw); err != nil || len(back.Updates) != len(full.Updates) ||
		back.Updates[0] != full.Updates[0] || back.Seq != full.Seq || back.From != full.From ||
		back.TargetAddress != full.TargetAddress {
		t.Errorf("decoded packet: got %+v, %v, want %+v", back, err, full)
	}
	checkSignature(t, signed, raw)
	if raw, err = (Codec{Cluster: "other"}).Encode(full); err != nil {
		t.Fatalf("encode packet of cluster \"other\": %v", err)
	}
	unsigned := Codec{Cluster: "c"}
	if _, err := unsigned.Decode(raw); !errors.Is(err, ErrCluster) {
		t.Errorf("packet of another cluster: got error %v, want %v", err, ErrCluster)
	}
	checkMalformed(t, unsigned)
	for i := range raw {
		if _, err := unsigned.Decode(raw[:i]); err == nil {
			t.Errorf("packet truncated to %d bytes: got no error", i)
		}
	}
}

// checkSignature changes each byte of a signed packet in turn, and expects ErrSignature.
func checkSignature(t *testing.T, signed Codec, raw []byte) {
	t.Helper()
	for i := range raw {
		changed := append([]byte(nil), raw...)
		changed[i]++
		if _, err := signed.Decode(changed); !errors.Is(err, ErrSignature) {
			t.Fatalf("decode with byte %d changed: got error %v, want %v", i, err, ErrSignature)
		}
	}
}

// checkMalformed decodes packets with one invalid field each, and expects ErrMalformed.
func checkMalformed(t *testing.T, unsigned Codec) {
	t.Helper()
	valid := Update{Name: "x", Address: "127.0.0.1:1", Incarnation: 1}
	for name, change := range map[string]func(*Packet){
		"unknown kind":               func(p *Packet) { p.Kind = kindCount },
		"no sender":                  func(p *Packet) { p.From = "" },
		"no address":                 func(p *Packet) { p.Address = "" },
		"host name as address":       func(p *Packet) { p.Address = "example.org:80" },
		"too few checksums":          func(p *Packet) { p.Checksums = make([]uint64, 3) },
		"ping without target":        func(p *Packet) { p.Kind = Ping },
		"ping-req without address":   func(p *Packet) { p.Kind, p.Target = PingReq, "x" },
		"unknown state":              func(p *Packet) { p.Updates[0].State = 9 },
		"incarnation 0":              func(p *Packet) { p.Updates[0].Incarnation = 0 },
		"incarnation above the max.": func(p *Packet) { p.Updates[0].Incarnation = maxIncarnation },
		"suspect without accuser":    func(p *Packet) { p.Updates[0].State = Suspect },
	} {
		p := packetFromB(valid)
		change(p)
		raw, err := unsigned.Encode(p)
		if err != nil {
			t.Fatalf("%s: encode packet: %v", name, err)
		}
		if _, err := unsigned.Decode(raw); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: got error %v, want %v", name, err, ErrMalformed)
		}
	}
}

// An update about this member from a newer process at another address supersedes it, and one from an older process
// changes nothing. An update from an earlier run at the same address is refuted by a higher incarnation, as is Dead at
// the current incarnation.
func TestSelfUpdateSupersedesOrIsRefuted(t *testing.T) {
	for name, test := range map[string]struct {
		update         Update
		wantSuperseded bool
		wantRefuted    bool // the detector raises its incarnation above that of the update
	}{
		"newer, at another address":   {Update{Address: "127.0.0.9:1", Incarnation: 2000, Run: 8}, true, false},
		"older, at another address":   {Update{Address: "127.0.0.9:1", Incarnation: 900, Run: 8}, false, false},
		"earlier run, clock set back": {Update{Address: "127.0.0.1:1", Incarnation: 2000, Run: 8}, false, true},
		"dead at this incarnation": {
			Update{Address: "127.0.0.1:1", Incarnation: 1000, Run: 7, State: Dead, Accuser: "b"}, false, true,
		},
		"dead at an earlier incarnation": {
			Update{Address: "127.0.0.1:1", Incarnation: 900, Run: 6, State: Dead, Accuser: "b"}, false, false,
		},
		"its own update": {Update{Address: "127.0.0.1:1", Incarnation: 1000, Run: 7}, false, false},
	} {
		d := New(settings("a"))
		test.update.Name = "a"
		d.Tick(1000)
		d.Receive(1001, packetFromB(test.update))
		if got := d.View().SupersededBy != ""; got != test.wantSuperseded {
			t.Errorf("%s: got superseded %v, want %v", name, got, test.wantSuperseded)
		}
		refuted := d.self.Incarnation > 1000
		if refuted != test.wantRefuted || test.wantRefuted && d.self.Incarnation <= test.update.Incarnation {
			t.Errorf("%s: got incarnation %d, want refuted %v", name, d.self.Incarnation, test.wantRefuted)
		}
		if out := d.Tick(100000); test.wantSuperseded && len(out.Sends) > 0 {
			t.Errorf("%s: got %d packets after it was superseded, want none", name, len(out.Sends))
		}
	}
}

// Another member's Dead makes a member suspect that is alive in this view, and dead if it is suspect already. An update
// at the same incarnation does not revive it, a higher incarnation does.
func TestDeadUpdateIsAccusationThenDeath(t *testing.T) {
	detector := New(settings("a"))
	detector.Tick(1000)
	member := Update{Name: "c", Address: "127.0.0.3:1", Incarnation: 5, Run: 3}
	detector.Receive(1001, packetFromB(member))
	dead := member
	dead.State, dead.Accuser = Dead, "b"
	detector.Receive(1002, packetFromB(dead))
	if s, _, _ := detector.StateOf("c"); s != Suspect {
		t.Errorf("state of c after the first Dead: got %v, want %v", s, Suspect)
	}
	detector.Receive(1003, packetFromB(dead))
	if s, _, _ := detector.StateOf("c"); s != Dead {
		t.Errorf("state of c after the second Dead: got %v, want %v", s, Dead)
	}
	detector.Receive(1004, packetFromB(member))
	if s, _, _ := detector.StateOf("c"); s != Dead {
		t.Errorf("state of c after a late Alive: got %v, want %v", s, Dead)
	}
	member.Incarnation++
	detector.Receive(1005, packetFromB(member))
	if s, incarnation, _ := detector.StateOf("c"); s != Alive || incarnation != 6 {
		t.Errorf("state of c after its refutation: got %v at incarnation %d, want %v at 6", s, incarnation, Alive)
	}
}

// The table rejects members beyond its capacity, and removes members that died or left long ago.
func TestTableIsBounded(t *testing.T) {
	detector := New(settings("a"))
	detector.Tick(1000)
	names := []Name{"c", "d", "e", "f"}
	for _, n := range names {
		detector.Receive(1001, packetFromB(Update{Name: n, Address: "127.0.0.3:1", Incarnation: 5}))
	}
	if v := detector.View(); len(v.Members) != 4 || v.Rejected != 2 {
		t.Errorf("full table: got %d members and %d rejected updates, want 4 and 2", len(v.Members), v.Rejected)
	}
	detector.Receive(1002, packetFromB(Update{Name: "c", Address: "127.0.0.3:1", Incarnation: 5, State: Left}))
	for now := 1002.0; now < 200000; now = max(now+1, detector.Next()) {
		detector.Tick(now)
	}
	if _, _, known := detector.StateOf("c"); known {
		t.Error("a member that left was not removed from the table")
	}
	if detector.table.size() != 1 || len(detector.broadcasts.levels) > 20 || detector.broadcasts.size > 1 {
		t.Errorf("after the retention: got %d members and %d queued updates in %d levels, want 1, at most 1 and at most 20",
			detector.table.size(), detector.broadcasts.size, len(detector.broadcasts.levels))
	}
}

// After a pause of its own process, a detector does not declare a suspect dead, and its awareness grows.
func TestOwnPauseDeclaresNobodyDead(t *testing.T) {
	d := New(settings("a"))
	d.Tick(1000)
	d.Receive(1001, packetFromB())
	now := 1001.0
	for s := Alive; s != Suspect; s, _, _ = d.StateOf("b") {
		now = d.Next()
		d.Tick(now)
	}
	d.Tick(now + 60000)
	if s, _, _ := d.StateOf("b"); s != Suspect {
		t.Errorf("state of b after the detector's own pause: got %v, want %v", s, Suspect)
	}
	if d.awareness == 0 {
		t.Error("awareness after the detector's own pause: got 0, want more")
	}
}

// BenchmarkDetector measures how long one detector in a cluster takes to decode a ping and to encode the response, with
// its share of periodic work.
func BenchmarkDetector(b *testing.B) {
	for _, members := range []int{5, 50, 1000} {
		b.Run(strconv.Itoa(members), func(b *testing.B) {
			var all []Update
			for i := range members {
				all = append(all, Update{
					Name: Name("n" + strconv.Itoa(i)), Address: "127.0.0.1:" + strconv.Itoa(i+1), Incarnation: 1,
				})
			}
			s := settings("n0")
			s.Address, s.Initial, s.MaxMembers = "127.0.0.1:1", NewRoster(all), 2*members
			d, codec, now := New(s), Codec{Cluster: "bench", Key: []byte("sixteen bytes or more")}, 1000.0
			d.Tick(now)
			raw, err := codec.Encode(&Packet{Kind: Ping, From: "n1", Address: "127.0.0.1:2", Incarnation: 1, Target: "n0"})
			if err != nil {
				b.Fatalf("encode ping: %v", err)
			}
			b.ReportAllocs()
			for b.Loop() {
				now += 0.01
				p, err := codec.Decode(raw)
				if err != nil {
					b.Fatalf("decode ping: %v", err)
				}
				out := d.Receive(now, p)
				for i := range out.Sends {
					if _, err := codec.Encode(&out.Sends[i].Packet); err != nil {
						b.Fatalf("encode response: %v", err)
					}
				}
			}
		})
	}
}
