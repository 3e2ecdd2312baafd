package membership

import (
	"errors"
	"strconv"
	"strings"
	"testing"
)

func settings(name Name) Settings {
	return Settings{
		Name: name, Address: "127.0.0.1:1", Run: 7, Start: 1000, RandomSeed: 1, ToleratedPause: 4000, DetectionTimeout: 12000,
		MaxMembers: 4, Seeds: []Seed{{"a", "127.0.0.1:1"}, {"b", "127.0.0.2:1"}},
	}
}

// packetFromB is a gossip packet from member b with updates.
func packetFromB(updates ...Update) *Packet {
	return &Packet{Kind: Gossip, From: "b", Address: "127.0.0.2:1", Incarnation: 5, Run: 9, Updates: updates}
}

func TestSettingsChecked(t *testing.T) {
	for want, change := range map[string]func(*Settings){
		"name: missing":                          func(s *Settings) { s.Name = "" },
		"name: want no blanks":                   func(s *Settings) { s.Name = "a b" },
		"membership.advertise: want ip:port":     func(s *Settings) { s.Address = "host:80" },
		"membership.bear-pause":                  func(s *Settings) { s.ToleratedPause = -1 },
		"membership.detect-within: want at":      func(s *Settings) { s.DetectionTimeout = s.ToleratedPause + 100 },
		"membership.most-members":                func(s *Settings) { s.MaxMembers = 1 },
		"membership.seeds[1].name: \"a\" comes":  func(s *Settings) { s.Seeds[1].Name = "a" },
		"membership.seeds[1].address: want":      func(s *Settings) { s.Seeds[1].Address = "0.0.0.0:1" },
		"membership.seeds[1].address: \"127.0.0": func(s *Settings) { s.Seeds[1].Address = s.Seeds[0].Address },
	} {
		s := settings("a")
		change(&s)
		if err := s.Check(); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("want %q, got %v", want, err)
		}
	}
	valid := settings("a")
	if err := valid.Check(); err != nil {
		t.Error(err)
	}
}

// Packets are decoded as they were encoded and fit the size they are reckoned at; signatures, clusters and fields are
// checked.
func TestCodec(t *testing.T) {
	long := Name(strings.Repeat("n", maxNameBytes))
	full := &Packet{
		Kind: PingReq, From: long, Address: "127.255.255.255:65535", Incarnation: maxIncarnation - 1, Run: 1<<64 - 1,
		Seq: 1<<64 - 1, Target: long, TargetAddress: "127.255.255.255:65535",
	}
	for full.size() < maxPacketBytes-200 {
		full.Updates = append(full.Updates, Update{
			Name: long, Address: "127.255.255.255:65535", State: Dead,
			Incarnation: maxIncarnation - 1, Run: 1<<64 - 1, By: long,
		})
	}
	sealed := Codec{Cluster: strings.Repeat("c", maxClusterBytes), Key: []byte("sixteen bytes or more")}
	raw, err := sealed.Encode(full)
	if err != nil || len(raw) > full.size() {
		t.Fatalf("%d bytes, reckoned %d, %v", len(raw), full.size(), err)
	}
	if back, err := sealed.Decode(raw); err != nil || len(back.Updates) != len(full.Updates) ||
		back.Updates[0] != full.Updates[0] || back.Seq != full.Seq || back.From != full.From ||
		back.TargetAddress != full.TargetAddress {
		t.Errorf("%+v, %v", back, err)
	}
	checkSignature(t, sealed, raw)
	if raw, err = (Codec{Cluster: "other"}).Encode(full); err != nil {
		t.Fatal(err)
	}
	open := Codec{Cluster: "c"}
	if _, err := open.Decode(raw); !errors.Is(err, ErrCluster) {
		t.Error(err)
	}
	checkMalformed(t, open)
	for i := range raw {
		if _, err := open.Decode(raw[:i]); err == nil {
			t.Errorf("the first %d bytes pass", i)
		}
	}
}

// checkSignature changes each byte of a signed packet in turn.
func checkSignature(t *testing.T, sealed Codec, raw []byte) {
	t.Helper()
	for i := range raw {
		changed := append([]byte(nil), raw...)
		changed[i]++
		if _, err := sealed.Decode(changed); !errors.Is(err, ErrSignature) {
			t.Fatalf("byte %d changed: %v", i, err)
		}
	}
}

// checkMalformed decodes packets with one invalid field each.
func checkMalformed(t *testing.T, open Codec) {
	t.Helper()
	valid := Update{Name: "x", Address: "127.0.0.1:1", Incarnation: 1}
	for name, change := range map[string]func(*Packet){
		"kind":               func(p *Packet) { p.Kind = kindCount },
		"no sender":          func(p *Packet) { p.From = "" },
		"no address":         func(p *Packet) { p.Address = "" },
		"a name to look up":  func(p *Packet) { p.Address = "example.org:80" },
		"sums":               func(p *Packet) { p.Sums = make([]uint64, 3) },
		"ping to nobody":     func(p *Packet) { p.Kind = Ping },
		"request to nowhere": func(p *Packet) { p.Kind, p.Target = PingReq, "x" },
		"state":              func(p *Packet) { p.Updates[0].State = 9 },
		"incarnation 0":      func(p *Packet) { p.Updates[0].Incarnation = 0 },
		"at the top":         func(p *Packet) { p.Updates[0].Incarnation = maxIncarnation },
		"nobody accuses":     func(p *Packet) { p.Updates[0].State = Suspect },
	} {
		p := packetFromB(valid)
		change(p)
		raw, err := open.Encode(p)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := open.Decode(raw); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// A newer process of the same name elsewhere supersedes a member; updates of an older one change nothing; an update of
// an earlier run at the same address is refuted.
func TestOneName(t *testing.T) {
	for name, test := range map[string]struct {
		u          Update
		superseded bool
		raised     bool
	}{
		"newer, elsewhere":            {Update{Address: "127.0.0.9:1", Incarnation: 2000, Run: 8}, true, false},
		"older, elsewhere":            {Update{Address: "127.0.0.9:1", Incarnation: 900, Run: 8}, false, false},
		"earlier run, clock put back": {Update{Address: "127.0.0.1:1", Incarnation: 2000, Run: 8}, false, true},
		"dead at this incarnation": {
			Update{Address: "127.0.0.1:1", Incarnation: 1000, Run: 7, State: Dead, By: "b"}, false, true,
		},
		"dead long ago": {
			Update{Address: "127.0.0.1:1", Incarnation: 900, Run: 6, State: Dead, By: "b"}, false, false,
		},
		"its own word": {Update{Address: "127.0.0.1:1", Incarnation: 1000, Run: 7}, false, false},
	} {
		d := New(settings("a"))
		test.u.Name = "a"
		d.Tick(1000)
		d.Receive(1001, packetFromB(test.u))
		if got := d.View().Superseded != ""; got != test.superseded {
			t.Errorf("%s: superseded %v", name, got)
		}
		if got := d.self.Incarnation > 1000; got != test.raised || test.raised && d.self.Incarnation <= test.u.Incarnation {
			t.Errorf("%s: incarnation %d", name, d.self.Incarnation)
		}
		if out := d.Tick(100000); test.superseded && len(out.Sends) > 0 {
			t.Errorf("%s: it still sends packets", name)
		}
	}
}

// Another member's Dead counts as an accusation of a member that is alive here, and as a death of one that is
// suspected.
func TestDeathReports(t *testing.T) {
	detector := New(settings("a"))
	detector.Tick(1000)
	member := Update{Name: "c", Address: "127.0.0.3:1", Incarnation: 5, Run: 3}
	detector.Receive(1001, packetFromB(member))
	dead := member
	dead.State, dead.By = Dead, "b"
	detector.Receive(1002, packetFromB(dead))
	if s, _, _ := detector.StateOf("c"); s != Suspect {
		t.Errorf("after the first report %v", s)
	}
	detector.Receive(1003, packetFromB(dead))
	if s, _, _ := detector.StateOf("c"); s != Dead {
		t.Errorf("after the second report %v", s)
	}
	detector.Receive(1004, packetFromB(member))
	if s, _, _ := detector.StateOf("c"); s != Dead {
		t.Errorf("after a late update about its life: %v", s)
	}
	member.Incarnation++
	detector.Receive(1005, packetFromB(member))
	if s, inc, _ := detector.StateOf("c"); s != Alive || inc != 6 {
		t.Errorf("after its refutation: %v %d", s, inc)
	}
}

// The table stays within its bound, and forgets members that died or left long ago.
func TestBounds(t *testing.T) {
	detector := New(settings("a"))
	detector.Tick(1000)
	names := []Name{"c", "d", "e", "f"}
	for _, n := range names {
		detector.Receive(1001, packetFromB(Update{Name: n, Address: "127.0.0.3:1", Incarnation: 5}))
	}
	if v := detector.View(); len(v.Members) != 4 || v.Rejected != 2 {
		t.Errorf("%d members, %d refused", len(v.Members), v.Rejected)
	}
	detector.Receive(1002, packetFromB(Update{Name: "c", Address: "127.0.0.3:1", Incarnation: 5, State: Left}))
	for now := 1002.0; now < 200000; now = max(now+1, detector.Next()) {
		detector.Tick(now)
	}
	if _, _, known := detector.StateOf("c"); known {
		t.Error("one that left is never forgotten")
	}
	if detector.table.size() != 1 || len(detector.broadcasts.levels) > 20 || detector.broadcasts.size > 1 {
		t.Errorf("%d members, queue of %d", detector.table.size(), detector.broadcasts.size)
	}
}

// After a pause of its own process a detector declares nobody dead.
func TestOwnPause(t *testing.T) {
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
		t.Errorf("after its own pause %v", s)
	}
	if d.awareness == 0 {
		t.Error("its awareness has not grown")
	}
}

// BenchmarkDetector measures one detector in a cluster, for a ping that it acknowledges and its share of ticks.
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
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				now += 0.01
				p, err := codec.Decode(raw)
				if err != nil {
					b.Fatal(err)
				}
				out := d.Receive(now, p)
				for i := range out.Sends {
					if _, err := codec.Encode(&out.Sends[i].Packet); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}
