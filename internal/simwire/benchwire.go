// Package benchwire turns the bench's wire text into the events of the decision module and its actions back
// into wire text. It decides nothing; the wire's words are translated here and nowhere else.
package simwire

import (
	"encoding/hex"
	"fmt"
	"math"
	"strconv"
	"strings"

	"ottershed/decision"
	"ottershed/internal/settings"
)

// Incoming is one event for an instance. Born carries the settings of one that starts; Down ends one.
type Incoming struct {
	Who   int
	Born  *Born
	Down  bool
	Event decision.Event
}

// Born is the start of an instance. Err names a setting that is missing or absurd.
type Born struct {
	Seed     uint64
	Settings decision.Settings
	Err      error
}

// Decoder keeps the numbered lists that later lines refer to.
type Decoder struct {
	lists [16][]decision.Node
	fill  int // the list being read
	left  int // its entries still to come
}

// fields reads the parts of one line; the first mistake stays in err.
type fields struct {
	p   []string
	err error
}

func (f *fields) bad(i int, what string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: field %d: %q is not %s", f.p[0], i, f.p[i], what)
	}
}

func (f *fields) num(i int) float64 {
	if f.p[i] == "-" {
		return 0
	}
	v, err := strconv.ParseFloat(f.p[i], 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		f.bad(i, "a number")
		return 0
	}
	return v
}

func (f *fields) whole(i int) int64 {
	if f.p[i] == "-" {
		return 0
	}
	v, err := strconv.ParseInt(f.p[i], 10, 64)
	if err != nil {
		f.bad(i, "a whole number")
	}
	return v
}

func (f *fields) id(i int) decision.HitID {
	v, err := strconv.ParseUint(f.p[i], 10, 32)
	if err != nil {
		f.bad(i, "a request id")
	}
	return decision.HitID(v)
}

func (f *fields) token(i int) uint64 {
	v, err := strconv.ParseUint(f.p[i], 10, 64)
	if err != nil {
		f.bad(i, "a token")
	}
	return v
}

func (f *fields) text(i int) string {
	if f.p[i] == "-" {
		return ""
	}
	return f.p[i]
}

func (f *fields) flag(i int) bool {
	if f.p[i] != "0" && f.p[i] != "1" && f.p[i] != "-" {
		f.bad(i, "0 or 1")
	}
	return f.p[i] == "1"
}

func word[T any](f *fields, i int, words map[string]T) T {
	v, ok := words[f.p[i]]
	if !ok {
		f.bad(i, "a known word")
	}
	return v
}

func (f *fields) load(i int) *decision.Load {
	if f.p[i] == "-" {
		return nil
	}
	l := &decision.Load{Util: -1, Queue: -1}
	for _, pair := range strings.Split(f.p[i], ",") {
		name, val, ok := strings.Cut(pair, ":")
		v, err := strconv.ParseFloat(val, 64)
		if !ok || err != nil {
			f.bad(i, "a load report")
			return nil
		}
		switch name {
		case "cpu":
			l.Util = v
		case "waiting":
			l.Queue = v
		}
	}
	return l
}

var (
	endings = map[string]decision.Ending{"completed": decision.Delivered, "errored": decision.NodeError,
		"saturated": decision.NodeFull, "overdue": decision.TimedOut, "refused_conn": decision.Unreachable,
		"severed": decision.Broken, "recalled": decision.Recalled, "superseded": decision.NeverSent}
	fates = map[string]decision.VoteFate{"completed": decision.VoteOK, "errored": decision.VoteError,
		"saturated": decision.VoteFull, "overdue": decision.VoteTimeout, "superseded": decision.VoteMoot}
	states    = map[string]decision.NodeState{"up": decision.Up, "draining": decision.Draining, "removed": decision.Removed}
	listKinds = map[string]decision.ListKind{"changes": decision.Changes, "all": decision.Whole,
		"remembered": decision.Remembered, "refused": decision.ListRefused}
	phases = map[string]decision.Phase{"0": decision.OnTrial, "-": decision.OnTrial, "1": decision.GoingBack,
		"2": decision.Released, "3": decision.Withdrawn}
	counts = map[string]int{"born": 4, "down": 2, "sheet": 3, "node": 9, "backends_changed": 5, "req": 9,
		"flowing": 6, "verdict": 9, "aborted": 3, "tick_due": 3, "ping_result": 6, "message": 4, "stage": 9,
		"metrics": 8, "reported_wrong": 5}
)

// Line reads one line of a batch. It returns nil for a line that only adds to a list.
func (d *Decoder) Line(line string) (*Incoming, error) {
	f := &fields{p: strings.Split(line, "\t")}
	name := f.p[0]
	want, known := counts[name]
	if !known {
		return nil, fmt.Errorf("unknown message %q", name)
	}
	if name == "born" && len(f.p) == 3 {
		f.p = append(f.p, "")
	}
	if len(f.p) != want && !(name == "born" && len(f.p) > want) {
		return nil, fmt.Errorf("%s: %d fields, want %d", name, len(f.p)-1, want-1)
	}
	if (name == "node") != (d.left > 0) {
		return nil, fmt.Errorf("%s: the list has %d nodes to come", name, d.left)
	}
	switch name {
	case "sheet":
		n, left := f.whole(1), f.whole(2)
		if f.err == nil && (n < 0 || n >= int64(len(d.lists)) || left < 0) {
			f.bad(1, "a list number with its size")
		}
		if f.err == nil {
			d.fill, d.left, d.lists[n] = int(n), int(left), nil
		}
		return nil, f.err
	case "node":
		d.left--
		d.lists[d.fill] = append(d.lists[d.fill], decision.Node{Cell: decision.Cell(f.whole(1)), Started: f.num(2),
			Zone: decision.Zone(f.text(3)), Build: decision.Build(f.num(4)), Kind: decision.Kind(f.text(5)),
			State: word(f, 6, states), Units: f.num(7), ID: decision.NodeID(f.text(8))})
		return nil, f.err
	}
	in := &Incoming{Who: int(f.whole(1))}
	switch name {
	case "born":
		in.Born = &Born{Seed: f.token(2)}
		in.Born.Settings, in.Born.Err = settings.ForModule(settings.Pairs(f.p[3:]))
	case "down":
		in.Down = true
	case "backends_changed":
		how, n := word(f, 2, listKinds), f.whole(4)
		e := decision.NodesChanged{How: how, Stamp: f.whole(3)}
		if how != decision.ListRefused {
			if n < 0 || n >= int64(len(d.lists)) {
				f.bad(4, "a list number")
			} else {
				e.Nodes = d.lists[n]
			}
		}
		in.Event = e
	case "req":
		e := decision.HitTaken{Hit: f.id(2), Group: decision.GroupName(f.text(3)), Tenant: decision.TenantID(f.text(4)),
			Key: decision.Key(f.text(5)), TTL: f.num(6)}
		bits := f.whole(8)
		if hint := f.num(7); bits&1 != 0 {
			e.Hint = hint
		}
		e.Retried = bits&2 != 0
		in.Event = e
	case "flowing":
		in.Event = decision.AnswerStarted{Hit: f.id(2), Forward: int(f.whole(3)), Node: decision.NodeID(f.text(4)),
			After: f.num(5)}
	case "verdict":
		in.Event = decision.ForwardEnded{Hit: f.id(2), Ending: word(f, 3, endings), Node: decision.NodeID(f.text(4)),
			Forward: int(f.whole(5)), After: f.num(6), HitEnded: f.flag(7), Load: f.load(8)}
	case "aborted":
		in.Event = decision.HitGone{Hit: f.id(2)}
	case "tick_due":
		in.Event = decision.TimerDue{Token: decision.Token(f.token(2))}
	case "ping_result":
		in.Event = decision.ProbeEnded{Node: decision.NodeID(f.text(2)), Ending: word(f, 3, endings), After: f.num(4),
			Load: f.load(5)}
	case "message":
		raw, err := hex.DecodeString(f.text(3))
		if err != nil {
			f.bad(3, "hex")
		}
		in.Event = decision.PeerSaid{From: decision.MarshalNo(f.whole(2)), Data: raw}
	case "stage":
		in.Event = decision.StageNews{Age: f.num(2), Build: decision.Build(f.whole(3)), Phase: word(f, 4, phases),
			ToVote: f.whole(5) == 1, Cap: f.num(6), Stage: int(f.whole(7)), VoteFate: word(f, 8, fates)}
	case "metrics":
		in.Event = decision.Tally{Build: decision.Build(f.whole(2)), Group: decision.GroupName(f.text(3)),
			Count: int(f.whole(4)), Failed: int(f.whole(5)), Mean: f.num(6), Age: f.num(7)}
	case "reported_wrong":
		in.Event = decision.Flagged{Node: decision.NodeID(f.text(2)), Group: decision.GroupName(f.text(3)), Age: f.num(4)}
	}
	return in, f.err
}

// Pending reports whether a list is still being read.
func (d *Decoder) Pending() bool { return d.left > 0 }

func ms(v float64) string { return strconv.FormatFloat(v, 'f', 3, 64) }

func orAbsent(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// Append writes one action of instance who as a line.
func Append(b []byte, who int, a decision.Action) []byte {
	put := func(name string, parts ...any) {
		b = append(b, name...)
		b = append(b, '\t')
		b = strconv.AppendInt(b, int64(who), 10)
		for _, p := range parts {
			b = append(b, '\t')
			b = fmt.Append(b, p)
		}
		b = append(b, '\n')
	}
	switch a := a.(type) {
	case decision.Forward:
		put("assign", a.Hit, a.Node, ms(a.Timeout))
	case decision.Bounce:
		put("busy", a.Hit, ms(a.ComeBack))
	case decision.Fail:
		put("respond_error", a.Hit)
	case decision.Cancel:
		put("cancel", a.Hit, a.Forward)
	case decision.WakeAt:
		put("wake_me", uint64(a.Token), ms(a.At))
	case decision.Probe:
		put("sound_out", a.Node)
	case decision.CloseIdle:
		put("shut_idle", a.Node)
	case decision.Tell:
		to := "*"
		if !a.All {
			to = strconv.Itoa(int(a.To))
		}
		put("say", to, orAbsent(hex.EncodeToString(a.Data)))
	case decision.Log:
		put("remark", oneLine(a.Text))
	case decision.Watch:
		on := 0
		if a.On {
			on = 1
		}
		put("observe", on)
	case decision.Lookup:
		put("lookup")
	case decision.Vote:
		put("cast_vote", int(a.Build), a.Stage, int(a.Verdict))
	}
	return b
}

// AppendFault writes that the decision code of an instance failed.
func AppendFault(b []byte, who int, text string) []byte {
	return append(b, fmt.Sprintf("fault\t%d\t%s\n", who, oneLine(text))...)
}

func oneLine(s string) string { return strings.NewReplacer("\n", " ", "\t", " ", "\r", " ").Replace(s) }
