package faultinject

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// The same seed gives each packet of a link the same fate, whatever passes on others and whatever held before.
func TestRules(t *testing.T) {
	fates := func(seed uint64, other bool) (out []Fate) {
		r := NewRules(seed)
		ab := Link{"a", "b"}
		for i := range 400 {
			if other {
				r.Next(Link{"b", "a"})
			}
			if i == 200 {
				r.SetDefault(Rule{Drop: 0.2, Duplicate: 0.1, Delay: time.Millisecond, Jitter: time.Millisecond})
			}
			out = append(out, r.Next(ab))
		}
		return out
	}
	one, two, three := fates(1, false), fates(1, true), fates(2, false)
	if fmt.Sprint(one) != fmt.Sprint(two) || fmt.Sprint(one) == fmt.Sprint(three) {
		t.Error("fates do not follow from the seed alone")
	}
	lost, twice := 0, 0
	for _, f := range one[200:] {
		if f.Copies == 0 {
			lost++
		} else if f.Copies == 2 {
			twice++
		}
		if f.Copies > 0 && (f.Delay < time.Millisecond || f.Delay > 2*time.Millisecond) {
			t.Errorf("%+v", f)
		}
	}
	if lost < 20 || lost > 60 || twice < 5 || twice > 40 {
		t.Errorf("%d of 200 lost, %d twice", lost, twice)
	}
	r := NewRules(1)
	r.Cut(Link{"a", "b"}, true)
	r.Set(Link{"b", "a"}, Rule{Delay: time.Second})
	if r.Next(Link{"a", "b"}).Copies != 0 || r.Next(Link{"b", "a"}).Delay != time.Second || r.Next(Link{"a", "c"}).Copies != 1 {
		t.Error("a rule is not that of its link")
	}
	if r.Heal(); r.Next(Link{"a", "b"}).Copies != 1 || r.Next(Link{"b", "a"}).Delay != 0 {
		t.Error("not healed")
	}
}

func TestScript(t *testing.T) {
	const text = `1s stall n1   # a remark
500ms cut n0 > n1

2s cut n0 - n2
3s loss 20%
4s delay 10ms 5ms
5s heal n0 > n1
6s resume n1
7s kill n2
8s start n2
9s restart n0
10s heal all`
	s, err := ParseScript(text)
	if err != nil || len(s) != 11 || s[0].Verb != Cut || !s[2].Both || s[3].Share != 0.2 {
		t.Fatalf("%v, %v", s, err)
	}
	if again, err := ParseScript(s.String()); err != nil || again.String() != s.String() {
		t.Errorf("%v\n%v", again, err)
	}
	for _, odd := range []string{
		"soon stall n1", "1s", "1s stall", "1s wreck n1", "1s cut n0 n1", "1s cut n0 = n1", "1s loss much",
		"1s loss 120%", "1s delay 10ms", "1s delay a b", "-1s stall n1", "1s stall n1 n2",
	} {
		if _, err := ParseScript("# first\n" + odd); err == nil || !strings.Contains(err.Error(), "line 2") {
			t.Errorf("%q: %v", odd, err)
		}
	}
}

// A drawn script ends healed, with all processes running, and is drawn alike from the same seed.
func TestRandom(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	for seed := range uint64(50) {
		s := Random(seed, names, time.Minute, 40, 2)
		if s.String() != Random(seed, names, time.Minute, 40, 2).String() {
			t.Fatal("not drawn alike")
		}
		if again, err := ParseScript(s.String()); err != nil || again.String() != s.String() {
			t.Fatalf("seed %d: %v\n%v", seed, err, s)
		}
		down := map[string]Verb{}
		for _, step := range s {
			switch back, isDown := down[step.Target]; step.Verb {
			case Stall, Kill:
				if down[step.Target] = step.Verb; isDown || len(down) > 2 {
					t.Errorf("seed %d: %v while down: %v", seed, step, down)
				}
			case Resume, Start:
				if !isDown || (back == Stall) != (step.Verb == Resume) {
					t.Errorf("seed %d: %v after %q", seed, step, back)
				}
				delete(down, step.Target)
			}
		}
		if len(down) > 0 || s[len(s)-1-countDown(s)].Verb != Heal {
			t.Errorf("seed %d: left %v", seed, down)
		}
	}
}

func countDown(s Script) (n int) {
	for i := len(s) - 1; s[i].Verb != Heal; i-- {
		n++
	}
	return n
}

// Packets pass a relay by the rule of their sender's link, and only that.
func TestPackets(t *testing.T) {
	rules := NewRules(1)
	relay := NewPackets(rules)
	defer relay.Close()
	hears := func() *net.UDPConn {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	a, b, c := hears(), hears(), hears()
	relayAddress, err := relay.AddRelay("a", a.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	for name, conn := range map[string]*net.UDPConn{"b": b, "c": c} {
		if _, err := relay.AddRelay(name, conn.LocalAddr().String()); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := relay.AddRelay("x", "192.0.2.1:1"); err == nil {
		t.Error("a front for what is not on loopback")
	}
	to, err := net.ResolveUDPAddr("udp", relayAddress)
	if err != nil {
		t.Fatal(err)
	}
	got := func() string {
		a.SetReadDeadline(time.Now().Add(5 * time.Second))
		raw := make([]byte, 100)
		n, _, err := a.ReadFromUDP(raw)
		if err != nil {
			t.Fatal(err)
		}
		return string(raw[:n])
	}
	rules.Cut(Link{"b", "a"}, true)
	rules.Set(Link{"c", "a"}, Rule{Delay: 20 * time.Millisecond, Duplicate: 1})
	began := time.Now()
	b.WriteToUDP([]byte("from b"), to)
	c.WriteToUDP([]byte("from c"), to)
	if one, two := got(), got(); one != "from c" || two != "from c" || time.Since(began) < 20*time.Millisecond {
		t.Errorf("%q, %q after %v", one, two, time.Since(began))
	}
	rules.Heal()
	if b.WriteToUDP([]byte("healed"), to); got() != "healed" {
		t.Error("not healed")
	}
}

// A process is started, stalled, killed and started again; what is asked at the wrong time is an error.
func TestProcess(t *testing.T) {
	p := &Process{
		Name: "p", Path: "/bin/sh", Args: []string{"-c", `trap 'echo left; exit 0' TERM; echo run; while :; do sleep 0.01; done`},
		Log: filepath.Join(t.TempDir(), "log"),
	}
	if p.Stall() == nil || p.Kill() == nil {
		t.Error("done to one that does not run")
	}
	scene := &Environment{Rules: NewRules(1), Processes: map[string]*Process{"p": p}}
	script, err := ParseScript("0s start p\n20ms stall p\n30ms restart p\n40ms cut p > q\n50ms loss 10%")
	if err != nil {
		t.Fatal(err)
	}
	if err := scene.Play(t.Context(), script); err != nil {
		t.Fatal(err)
	}
	if p.Start() == nil || p.Runs() != 2 || p.PID() == 0 || !scene.Rules.RuleFor(Link{"p", "q"}).Cut || scene.Rules.RuleFor(Link{"p", "q"}).Drop != 0.1 {
		t.Errorf("%d runs, %+v", p.Runs(), scene.Rules.RuleFor(Link{"p", "q"}))
	}
	for end := time.Now().Add(5 * time.Second); strings.Count(p.Output(), "run") < 2 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := p.Terminate(ctx); err != nil || p.Running() || !strings.HasSuffix(p.Output(), "left\n") {
		t.Errorf("%v, %q", err, p.Output())
	}
	if err := scene.Play(ctx, Script{{Verb: Kill, Target: "nobody"}}); err == nil {
		t.Error("a process that is not there")
	}
	if p.Path = filepath.Join(t.TempDir(), "none"); p.Start() == nil {
		t.Error("a program that is not there")
	}
	if _, err := os.Stat(p.Log); err != nil {
		t.Error(err)
	}
}

// Connections pass a relay; a cut in one direction holds what comes until it is healed and leaves the other as it is; a process
// that is gone resets its connections.
func TestStreams(t *testing.T) {
	rules := NewRules(1)
	relay := NewStreams(rules)
	defer relay.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	relayAddress, err := relay.AddRelay("a", "b", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := relay.AddRelay("a", "b", "192.0.2.1:1"); err == nil {
		t.Error("a front for what is not on loopback")
	}
	a, err := net.Dial("tcp", relayAddress)
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	b, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	passes := func(from, to net.Conn, text string, within time.Duration) bool {
		from.Write([]byte(text))
		to.SetReadDeadline(time.Now().Add(within))
		raw := make([]byte, 100)
		n, err := to.Read(raw)
		return err == nil && string(raw[:n]) == text
	}
	if !passes(a, b, "there", 5*time.Second) || !passes(b, a, "and back", 5*time.Second) {
		t.Error("nothing passes")
	}
	rules.Cut(Link{"a", "b"}, true)
	if passes(a, b, "held", 50*time.Millisecond) || !passes(b, a, "the other way", 5*time.Second) {
		t.Error("a cut is not that of its direction")
	}
	rules.Heal()
	b.SetReadDeadline(time.Now().Add(5 * time.Second))
	raw := make([]byte, 100)
	if n, err := b.Read(raw); err != nil || string(raw[:n]) != "held" {
		t.Errorf("what was held: %q, %v", raw[:n], err)
	}
	rules.SetDefault(Rule{Drop: 1})
	began := time.Now()
	if !passes(a, b, "late", 5*time.Second) || time.Since(began) < retransmitDelay {
		t.Errorf("what is lost comes again after %v", time.Since(began))
	}
	rules.Heal()
	b.Close()
	a.SetReadDeadline(time.Now().Add(5 * time.Second))
	if _, err := a.Read(make([]byte, 1)); err == nil || os.IsTimeout(err) {
		t.Errorf("the end does not pass: %v", err)
	}
	l.Close()
	if c, err := net.Dial("tcp", relayAddress); err == nil {
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := c.Read(make([]byte, 1)); err == nil || os.IsTimeout(err) {
			t.Errorf("nobody listens, and %v", err)
		}
		c.Close()
	}
}
