package policy

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

func body(t *testing.T, note string) []byte {
	t.Helper()
	_, b, err := Parse([]byte(fmt.Sprintf(`{ "note": %q, "trial-share": 0.5 }`, note)))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestParse(t *testing.T) {
	for text, want := range map[string]string{
		`{"note":"x"}`:                         "",
		`{"note":"x","halt":true}`:             "",
		`{"note":"x","settings":{"rules":{}}}`: "",
		`{}`:                                   "note: want 1 to",
		`{"note":"` + strings.Repeat("n", 401) + `"}`: "note: want 1 to",
		`{"note":"x","trial-share":1.5}`:              "trial-share: want 0 to 1, got 1.5",
		`{"note":"x","trial-share":"half"}`:           "trial-share: got string",
		`{"note":"x","halt":1}`:                       "halt: got number",
		`{"note":"x","stop":true}`:                    "stop: not a key that is known",
		"{\"note\":\"x\",\n\"halt\" true}":            "policy: line 2:",
		`{"note":"x"} {}`:                             "more follows",
		`{"note":"x","settings":[1]}`:                 "settings: want an object",
		strings.Repeat(" ", maxPolicyBytes+1):         "want 65536 bytes",
	} {
		if _, _, err := Parse([]byte(text)); want == "" && err != nil || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
			t.Errorf("%.60s: want %q, got %v", text, want, err)
		}
	}
	if _, a, _ := Parse([]byte(`{"note":"x","halt":true}`)); string(a) != `{"note":"x","halt":true}` {
		t.Errorf("%s", a)
	}
}

// The same proposals in the same order give the same versions and sums; one that comes twice counts once; one that was
// made from another version is refused.
func TestApply(t *testing.T) {
	var a, b State
	for i, tc := range []struct {
		p    Proposal
		want Outcome
	}{
		{Proposal{ID: "1", Body: body(t, "one")}, Outcome{Version: 1}},
		{Proposal{ID: "2", Body: body(t, "two"), Based: true, Base: 1}, Outcome{Version: 2}},
		{Proposal{ID: "1", Body: body(t, "one")}, Outcome{Version: 1, Duplicate: true}},
		{Proposal{ID: "3", Body: body(t, "three"), Based: true, Base: 1}, Outcome{Rejection: "version 2 holds, and it was made from 1"}},
		{Proposal{ID: "4", Body: []byte("{}")}, Outcome{Rejection: "note: want 1 to 400 bytes that say what the change is for, got 0"}},
		{Proposal{Body: body(t, "x")}, Outcome{Rejection: "no id, or one that is too long"}},
		{Proposal{ID: "5", Body: body(t, "two")}, Outcome{Version: 3}},
	} {
		if got := a.Apply(&tc.p); got != tc.want {
			t.Errorf("%d: %+v, want %+v", i, got, tc.want)
		}
		b.Apply(&tc.p)
	}
	x, _ := a.Latest()
	if y, _ := b.Latest(); x.Sum != y.Sum || x.Version != 3 {
		t.Errorf("%+v and %+v", x, y)
	}
}

// What is kept is bounded, comes back from a snapshot as it was, and nothing that does not follow is taken.
func TestKept(t *testing.T) {
	var s State
	for i := range 3 * maxRecords {
		s.Apply(&Proposal{ID: fmt.Sprint(i), Body: body(t, fmt.Sprint("version ", i))})
	}
	if len(s.records) != maxRecords || s.Version() != 3*maxRecords {
		t.Errorf("%d records, version %d", len(s.records), s.Version())
	}
	raw, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	var back State
	if err := back.Restore(raw); err != nil || back.Version() != s.Version() || back.bytes != s.bytes {
		t.Errorf("%v, version %d", err, back.Version())
	}
	broken := s.Since(3*maxRecords - 3)
	broken[1].Body = body(t, "another")
	if _, err := back.Append(broken); !errors.Is(err, ErrChain) {
		t.Error(err)
	}
	back.records[3].Version++
	if raw, err = back.Encode(); err != nil || !errors.Is((&State{}).Restore(raw), ErrChain) {
		t.Error("versions that do not follow are restored")
	}
	var late State
	if news, err := late.Append(s.Since(0)); !news || err != nil || late.Version() != s.Version() {
		t.Errorf("%v, %v, version %d", news, err, late.Version())
	}
	if news, err := late.Append(s.Since(700)); news || err != nil {
		t.Errorf("the same again: %v, %v", news, err)
	}
	for _, big := range []int{100, 200} {
		text := strings.Repeat(" ", 0) + fmt.Sprintf(`{"note":"x","settings":{"a":%q}}`, strings.Repeat("a", 60000))
		for i := range 30 {
			s.Apply(&Proposal{ID: fmt.Sprint("big", big, i), Body: []byte(text)})
		}
	}
	if s.bytes > maxRecordBytes {
		t.Errorf("%d bytes kept", s.bytes)
	}
}

// A marshal runs nothing older than it ran, and nothing new and no trial before it is known how far the fleet has come.
func TestTrialAdmission(t *testing.T) {
	var s State
	var records []Record
	for i := range 4 {
		s.Apply(&Proposal{ID: fmt.Sprint(i), Body: body(t, fmt.Sprint(i))})
		r, _ := s.Latest()
		records = append(records, r)
	}
	var g TrialAdmission
	raw, err := EncodeRecord(&records[1])
	if err != nil {
		t.Fatal(err)
	}
	kept, err := DecodeRecord(raw)
	if err != nil {
		t.Fatal(err)
	}
	for i := range raw {
		torn := append([]byte(nil), raw...)
		torn[i] ^= 1
		if _, err := DecodeRecord(torn); err == nil {
			t.Fatalf("byte %d torn and not found", i)
		}
		if _, err := DecodeRecord(raw[:i]); err == nil {
			t.Fatalf("cut after %d and not found", i)
		}
	}
	g.Restore(kept)
	if r := g.Current(); r.Record.Version != 2 || r.TrialsAdmitted {
		t.Errorf("%+v", r)
	}
	for _, r := range records {
		if g.ShouldApply(r) {
			t.Errorf("runs version %d before it has caught up", r.Version)
		}
	}
	if !g.MarkCaughtUp() || g.MarkCaughtUp() {
		t.Error("caught up is told once")
	}
	if g.ShouldApply(records[0]) || g.ShouldApply(records[1]) || !g.ShouldApply(records[3]) {
		t.Error("the wrong versions would be run")
	}
	g.Applied(records[3])
	g.Applied(records[2])
	if r := g.Current(); r.Record.Version != 4 || !r.TrialsAdmitted {
		t.Errorf("%+v", r)
	}
	g.Fail(errors.New("no"))
	if r := g.Current(); r.TrialsAdmitted || g.Failure() != "no" {
		t.Errorf("%+v", r)
	}
	s.Apply(&Proposal{ID: "5", Body: body(t, "5")})
	r, _ := s.Latest()
	if g.Applied(r); !g.Current().TrialsAdmitted || g.Failure() != "" {
		t.Error("a later version does not open the gate again")
	}
}
