// Package benchwire turns the bench's wire text into the events of the decision module and its actions back
// into wire text. It decides nothing; the wire's words are translated here and nowhere else.
package simwire

import (
	"encoding/hex"
	"fmt"
	"math"
	"ottershed/decision"
	"ottershed/internal/settings"
	"strconv"
	"strings"
)

// Incoming is one event for an instance. Born carries the settings of one that starts; Down ends one.
type Incoming struct {
	Instance int
	Start    *Start
	Stop     bool
	Event    decision.Event
}

// Born is the start of an instance. Err names a setting that is missing or absurd.
type Start struct {
	Seed     uint64
	Settings decision.Settings
	Err      error
}

// Decoder keeps the numbered lists that later lines refer to.
type Decoder struct {
	lists     [16][]decision.Endpoint
	current   int // the list being read
	remaining int // its entries still to come
}

// fields reads the parts of one line; the first mistake stays in err.
type fields struct {
	parts []string
	err   error
}

func (f *fields) bad(i int, what string) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: field %d: %q is not %s", f.parts[0], i, f.parts[i], what)
	}
}

func (f *fields) number(i int) float64 {
	if f.parts[i] == "-" {
		return 0
	}
	v, err := strconv.ParseFloat(f.parts[i], 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		f.bad(i, "a number")
		return 0
	}
	return v
}

func (f *fields) integer(i int) int64 {
	if f.parts[i] == "-" {
		return 0
	}
	v, err := strconv.ParseInt(f.parts[i], 10, 64)
	if err != nil {
		f.bad(i, "a whole number")
	}
	return v
}

func (f *fields) id(i int) decision.RequestID {
	v, err := strconv.ParseUint(f.parts[i], 10, 32)
	if err != nil {
		f.bad(i, "a request id")
	}
	return decision.RequestID(v)
}

func (f *fields) token(i int) uint64 {
	v, err := strconv.ParseUint(f.parts[i], 10, 64)
	if err != nil {
		f.bad(i, "a token")
	}
	return v
}

func (f *fields) text(i int) string {
	if f.parts[i] == "-" {
		return ""
	}
	return f.parts[i]
}

func (f *fields) flag(i int) bool {
	if f.parts[i] != "0" && f.parts[i] != "1" && f.parts[i] != "-" {
		f.bad(i, "0 or 1")
	}
	return f.parts[i] == "1"
}

func word[T any](f *fields, i int, words map[string]T) T {
	v, ok := words[f.parts[i]]
	if !ok {
		f.bad(i, "a known word")
	}
	return v
}

func (f *fields) load(i int) *decision.Load {
	if f.parts[i] == "-" {
		return nil
	}
	l := &decision.Load{Util: -1, Queue: -1}
	for _, pair := range strings.Split(f.parts[i], ",") {
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
	outcomes = map[string]decision.Outcome{
		"completed": decision.Succeeded, "errored": decision.EndpointFailed,
		"saturated": decision.EndpointRejected, "overdue": decision.TimedOut, "refused_conn": decision.Unreachable,
		"severed": decision.ConnectionBroken, "recalled": decision.Canceled, "superseded": decision.NotSent,
	}
	voteResults = map[string]decision.VoteResult{
		"completed": decision.VoteAccepted, "errored": decision.VoteFailed,
		"saturated": decision.VoteThrottled, "overdue": decision.VoteTimedOut, "superseded": decision.VoteObsolete,
	}
	states        = map[string]decision.EndpointState{"up": decision.Serving, "draining": decision.Draining, "removed": decision.Removed}
	snapshotKinds = map[string]decision.SnapshotKind{
		"changes": decision.Delta, "all": decision.FullSnapshot,
		"remembered": decision.CachedSnapshot, "refused": decision.PollRejected,
	}
	phases = map[string]decision.Phase{
		"0": decision.InTrial, "-": decision.InTrial, "1": decision.RollingBack,
		"2": decision.Released, "3": decision.RolledBack,
	}
	fieldCounts = map[string]int{
		"born": 4, "down": 2, "sheet": 3, "node": 9, "backends_changed": 5, "req": 9,
		"flowing": 6, "verdict": 9, "aborted": 3, "tick_due": 3, "ping_result": 6, "message": 4, "stage": 9,
		"metrics": 8, "reported_wrong": 5,
	}
)

// Line reads one line of a batch. It returns nil for a line that only adds to a list.
func (d *Decoder) Line(line string) (*Incoming, error) {
	f := &fields{parts: strings.Split(line, "\t")}
	name := f.parts[0]
	want, known := fieldCounts[name]
	if !known {
		return nil, fmt.Errorf("unknown message %q", name)
	}
	if name == "born" && len(f.parts) == 3 {
		f.parts = append(f.parts, "")
	}
	if len(f.parts) != want && !(name == "born" && len(f.parts) > want) {
		return nil, fmt.Errorf("%s: %d fields, want %d", name, len(f.parts)-1, want-1)
	}
	if (name == "node") != (d.remaining > 0) {
		return nil, fmt.Errorf("%s: the list has %d nodes to come", name, d.remaining)
	}
	switch name {
	case "sheet":
		n, entries := f.integer(1), f.integer(2)
		if f.err == nil && (n < 0 || n >= int64(len(d.lists)) || entries < 0) {
			f.bad(1, "a list number with its size")
		}
		if f.err == nil {
			d.current, d.remaining, d.lists[n] = int(n), int(entries), nil
		}
		return nil, f.err
	case "node":
		d.remaining--
		d.lists[d.current] = append(d.lists[d.current], decision.Endpoint{
			Cell: decision.Cell(f.integer(1)), Started: f.number(2),
			Zone: decision.Zone(f.text(3)), Build: decision.Build(f.number(4)), MachineType: decision.MachineType(f.text(5)),
			State: word(f, 6, states), Capacity: f.number(7), ID: decision.EndpointID(f.text(8)),
		})
		return nil, f.err
	}
	in := &Incoming{Instance: int(f.integer(1))}
	switch name {
	case "born":
		in.Start = &Start{Seed: f.token(2)}
		in.Start.Settings, in.Start.Err = settings.ForModule(settings.Pairs(f.parts[3:]))
	case "down":
		in.Stop = true
	case "backends_changed":
		how, n := word(f, 2, snapshotKinds), f.integer(4)
		e := decision.EndpointsChanged{Kind: how, Version: f.integer(3)}
		if how != decision.PollRejected {
			if n < 0 || n >= int64(len(d.lists)) {
				f.bad(4, "a list number")
			} else {
				e.Endpoints = d.lists[n]
			}
		}
		in.Event = e
	case "req":
		e := decision.RequestReceived{
			Request: f.id(2), Class: decision.ClassName(f.text(3)), Tenant: decision.TenantID(f.text(4)),
			Key: decision.Key(f.text(5)), TTL: f.number(6),
		}
		bits := f.integer(8)
		if hint := f.number(7); bits&1 != 0 {
			e.Hint = hint
		}
		e.Retried = bits&2 != 0
		in.Event = e
	case "flowing":
		in.Event = decision.ResponseStarted{
			Request: f.id(2), Attempt: int(f.integer(3)), Endpoint: decision.EndpointID(f.text(4)),
			After: f.number(5),
		}
	case "verdict":
		in.Event = decision.AttemptEnded{
			Request: f.id(2), Outcome: word(f, 3, outcomes), Endpoint: decision.EndpointID(f.text(4)),
			Attempt: int(f.integer(5)), After: f.number(6), RequestEnded: f.flag(7), Load: f.load(8),
		}
	case "aborted":
		in.Event = decision.ClientDisconnected{Request: f.id(2)}
	case "tick_due":
		in.Event = decision.TimerFired{Token: decision.Token(f.token(2))}
	case "ping_result":
		in.Event = decision.HealthCheckEnded{
			Endpoint: decision.EndpointID(f.text(2)), Outcome: word(f, 3, outcomes), After: f.number(4),
			Load: f.load(5),
		}
	case "message":
		raw, err := hex.DecodeString(f.text(3))
		if err != nil {
			f.bad(3, "hex")
		}
		in.Event = decision.PeerMessage{From: decision.InstanceID(f.integer(2)), Data: raw}
	case "stage":
		in.Event = decision.StageUpdate{
			Age: f.number(2), Build: decision.Build(f.integer(3)), Phase: word(f, 4, phases),
			IsVoteResult: f.integer(5) == 1, ExposureCap: f.number(6), Stage: int(f.integer(7)), VoteResult: word(f, 8, voteResults),
		}
	case "metrics":
		in.Event = decision.ControllerCounts{
			Build: decision.Build(f.integer(2)), Class: decision.ClassName(f.text(3)),
			Count: int(f.integer(4)), Failed: int(f.integer(5)), Mean: f.number(6), Age: f.number(7),
		}
	case "reported_wrong":
		in.Event = decision.ResponseFlagged{Endpoint: decision.EndpointID(f.text(2)), Class: decision.ClassName(f.text(3)), Age: f.number(4)}
	}
	return in, f.err
}

// Pending reports whether a list is still being read.
func (d *Decoder) Pending() bool { return d.remaining > 0 }

func formatMillis(v float64) string { return strconv.FormatFloat(v, 'f', 3, 64) }

func orAbsent(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// Append writes one action of instance who as a line.
func Append(b []byte, instance int, a decision.Action) []byte {
	put := func(name string, parts ...any) {
		b = append(b, name...)
		b = append(b, '\t')
		b = strconv.AppendInt(b, int64(instance), 10)
		for _, p := range parts {
			b = append(b, '\t')
			b = fmt.Append(b, p)
		}
		b = append(b, '\n')
	}
	switch a := a.(type) {
	case decision.StartAttempt:
		put("assign", a.Request, a.Endpoint, formatMillis(a.Timeout))
	case decision.Reject:
		put("busy", a.Request, formatMillis(a.RetryAfter))
	case decision.Fail:
		put("respond_error", a.Request)
	case decision.Cancel:
		put("cancel", a.Request, a.Attempt)
	case decision.WakeAt:
		put("wake_me", uint64(a.Token), formatMillis(a.At))
	case decision.StartHealthCheck:
		put("sound_out", a.Endpoint)
	case decision.CloseIdle:
		put("shut_idle", a.Endpoint)
	case decision.SendToPeer:
		to := "*"
		if !a.All {
			to = strconv.Itoa(int(a.To))
		}
		put("say", to, orAbsent(hex.EncodeToString(a.Data)))
	case decision.Log:
		put("remark", oneLine(a.Text))
	case decision.WatchEndpoints:
		on := 0
		if a.On {
			on = 1
		}
		put("observe", on)
	case decision.ResolveEndpoints:
		put("lookup")
	case decision.Vote:
		put("cast_vote", int(a.Build), a.Stage, int(a.Verdict))
	}
	return b
}

// AppendFault writes that the decision code of an instance failed.
func AppendFault(b []byte, instance int, text string) []byte {
	return append(b, fmt.Sprintf("fault\t%d\t%s\n", instance, oneLine(text))...)
}

func oneLine(s string) string { return strings.NewReplacer("\n", " ", "\t", " ", "\r", " ").Replace(s) }
