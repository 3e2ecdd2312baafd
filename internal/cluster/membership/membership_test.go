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

// said is a packet from a member, with updates.
func packetFrom(from Name, inc Incarnation, updates ...Update) *Packet {
	return &Packet{Kind: Gossip, From: from, Address: "127.0.0.2:1", Incarnation: inc, Run: 9, Updates: updates}
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
		if change(&s); s.Check() == nil || !strings.HasPrefix(s.Check().Error(), want) {
			t.Errorf("want %q, got %v", want, s.Check())
		}
	}
	if s := settings("a"); s.Check() != nil {
		t.Error(s.Check())
	}
}

// Packets come back as they were, fit their bound, and nothing that is odd passes.
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
	if back, err := sealed.Decode(raw); err != nil || len(back.Updates) != len(full.Updates) || back.Updates[0] != full.Updates[0] ||
		back.Seq != full.Seq || back.From != full.From || back.TargetAddress != full.TargetAddress {
		t.Errorf("%+v, %v", back, err)
	}
	for i := range raw { // no byte can be changed
		odd := append([]byte(nil), raw...)
		odd[i]++
		if _, err := sealed.Decode(odd); !errors.Is(err, ErrSignature) {
			t.Fatalf("byte %d changed: %v", i, err)
		}
	}
	open := Codec{Cluster: "c"}
	if raw, _ = (Codec{Cluster: "other"}).Encode(full); raw != nil {
		if _, err := open.Decode(raw); !errors.Is(err, ErrCluster) {
			t.Error(err)
		}
	}
	ok := Update{Name: "x", Address: "127.0.0.1:1", Incarnation: 1}
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
		p := packetFrom("b", 5, ok)
		change(p)
		raw, err := open.Encode(p)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := open.Decode(raw); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
	for i := range raw {
		if _, err := open.Decode(raw[:i]); err == nil {
			t.Errorf("the first %d bytes pass", i)
		}
	}
}

// A newer process of one's name elsewhere has it from then on; an older one's word changes nothing; a record of an
// earlier run at the same place is denied.
func TestOneName(t *testing.T) {
	for name, tc := range map[string]struct {
		u          Update
		superseded bool
		raised     bool
	}{
		"newer, elsewhere":            {Update{Address: "127.0.0.9:1", Incarnation: 2000, Run: 8}, true, false},
		"older, elsewhere":            {Update{Address: "127.0.0.9:1", Incarnation: 900, Run: 8}, false, false},
		"earlier run, clock put back": {Update{Address: "127.0.0.1:1", Incarnation: 2000, Run: 8}, false, true},
		"dead at this incarnation":    {Update{Address: "127.0.0.1:1", Incarnation: 1000, Run: 7, State: Dead, By: "b"}, false, true},
		"dead long ago":               {Update{Address: "127.0.0.1:1", Incarnation: 900, Run: 6, State: Dead, By: "b"}, false, false},
		"its own word":                {Update{Address: "127.0.0.1:1", Incarnation: 1000, Run: 7}, false, false},
	} {
		d := New(settings("a"))
		tc.u.Name = "a"
		d.Tick(1000)
		d.Receive(1001, packetFrom("b", 5, tc.u))
		if got := d.View().Superseded != ""; got != tc.superseded {
			t.Errorf("%s: superseded %v", name, got)
		}
		if got := d.self.Incarnation > 1000; got != tc.raised || tc.raised && d.self.Incarnation <= tc.u.Incarnation {
			t.Errorf("%s: incarnation %d", name, d.self.Incarnation)
		}
		if out := d.Tick(100000); tc.superseded && len(out.Sends) > 0 {
			t.Errorf("%s: it goes on speaking", name)
		}
	}
}

// Word of a death is an accusation to who had no doubt, and the truth to who had.
func TestDeathReports(t *testing.T) {
	d := New(settings("a"))
	d.Tick(1000)
	c := Update{Name: "c", Address: "127.0.0.3:1", Incarnation: 5, Run: 3}
	d.Receive(1001, packetFrom("b", 5, c))
	dead := c
	dead.State, dead.By = Dead, "b"
	d.Receive(1002, packetFrom("b", 5, dead))
	if s, _, _ := d.StateOf("c"); s != Suspect {
		t.Errorf("at the first word %v", s)
	}
	d.Receive(1003, packetFrom("b", 5, dead))
	if s, _, _ := d.StateOf("c"); s != Dead {
		t.Errorf("at the second word %v", s)
	}
	d.Receive(1004, packetFrom("b", 5, c))
	if s, _, _ := d.StateOf("c"); s != Dead {
		t.Errorf("old word of its life: %v", s)
	}
	c.Incarnation++
	d.Receive(1005, packetFrom("b", 5, c))
	if s, inc, _ := d.StateOf("c"); s != Alive || inc != 6 {
		t.Errorf("its denial: %v %d", s, inc)
	}
}

// The table holds no more than its bound, and forgets those that are long dead.
func TestBounds(t *testing.T) {
	d := New(settings("a"))
	d.Tick(1000)
	names := []Name{"c", "d", "e", "f"}
	for _, n := range names {
		d.Receive(1001, packetFrom("b", 5, Update{Name: n, Address: "127.0.0.3:1", Incarnation: 5}))
	}
	if v := d.View(); len(v.Members) != 4 || v.Rejected != 2 {
		t.Errorf("%d members, %d refused", len(v.Members), v.Rejected)
	}
	d.Receive(1002, packetFrom("b", 5, Update{Name: "c", Address: "127.0.0.3:1", Incarnation: 5, State: Left}))
	for now := 1002.0; now < 200000; now = max(now+1, d.Next()) {
		d.Tick(now)
	}
	if _, _, known := d.StateOf("c"); known {
		t.Error("one that left is never forgotten")
	}
	if d.table.size() != 1 || len(d.broadcasts.levels) > 20 || d.broadcasts.size > 1 {
		t.Errorf("%d members, queue of %d", d.table.size(), d.broadcasts.size)
	}
}

// A detector that stood still takes nothing for dead by that.
func TestOwnPause(t *testing.T) {
	d := New(settings("a"))
	d.Tick(1000)
	d.Receive(1001, packetFrom("b", 5))
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
		t.Error("it has no doubt in itself")
	}
}

// BenchmarkDetector is the work of one detector in a fleet, for a ping that it answers and its share of ticks.
func BenchmarkDetector(b *testing.B) {
	for _, members := range []int{5, 50, 1000} {
		b.Run(strconv.Itoa(members), func(b *testing.B) {
			var all []Update
			for i := range members {
				all = append(all, Update{Name: Name("n" + strconv.Itoa(i)), Address: "127.0.0.1:" + strconv.Itoa(i+1), Incarnation: 1})
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
