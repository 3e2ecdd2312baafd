package simwire

// One decoder for each kind of line.

import (
	"encoding/hex"
	"fmt"

	"ottershed/decision"
	"ottershed/internal/settings"
)

// lineKind tells how a kind of line is decoded.
type lineKind struct {
	count      int  // of its fields, with its name
	openEnded  bool // the last field may be missing or repeated
	isEntry    bool // an entry of an endpoint list
	decodeList func(*Decoder, *fields)
	decode     func(*Decoder, *fields, *Incoming) // unless decodeList is set
}

// lineKinds are the kinds of lines by their names.
var lineKinds = map[string]lineKind{
	"sheet":            {count: 3, decodeList: (*Decoder).startList},
	"node":             {count: 9, decodeList: (*Decoder).addEntry, isEntry: true},
	"born":             {count: 4, openEnded: true, decode: decodeStart},
	"down":             {count: 2, decode: decodeStop},
	"backends_changed": {count: 5, decode: decodeEndpointsChanged},
	"req":              {count: 9, decode: event(decodeRequest)},
	"flowing":          {count: 6, decode: event(decodeResponseStarted)},
	"verdict":          {count: 9, decode: event(decodeAttemptEnded)},
	"aborted":          {count: 3, decode: event(decodeClientDisconnected)},
	"tick_due":         {count: 3, decode: event(decodeTimer)},
	"ping_result":      {count: 6, decode: event(decodeHealthCheckEnded)},
	"message":          {count: 4, decode: event(decodePeerMessage)},
	"stage":            {count: 9, decode: event(decodeStageUpdate)},
	"metrics":          {count: 8, decode: event(decodeControllerCounts)},
	"reported_wrong":   {count: 5, decode: event(decodeResponseFlagged)},
}

// checkCount checks the number of fields. A last field that may be missing is added.
func (k lineKind) checkCount(f *fields) error {
	if k.openEnded && len(f.parts) == k.count-1 {
		f.parts = append(f.parts, "")
	}
	if len(f.parts) == k.count || k.openEnded && len(f.parts) > k.count {
		return nil
	}
	return fmt.Errorf("%s: %d fields, want %d", f.name(), len(f.parts)-1, k.count-1)
}

// event makes a line's decoder of one that needs the line's fields alone.
func event(decode func(*fields) decision.Event) func(*Decoder, *fields, *Incoming) {
	return func(_ *Decoder, f *fields, incoming *Incoming) { incoming.Event = decode(f) }
}

func decodeStart(_ *Decoder, f *fields, incoming *Incoming) {
	start := &Start{Seed: f.token(2)}
	start.Settings, start.Err = settings.ForModule(settings.Pairs(f.parts[3:]))
	incoming.Start = start
}

func decodeStop(_ *Decoder, _ *fields, incoming *Incoming) { incoming.Stop = true }

func decodeEndpointsChanged(d *Decoder, f *fields, incoming *Incoming) {
	changed := decision.EndpointsChanged{Kind: word(f, 2, snapshotKinds)}
	number := f.integer(4)
	changed.Version = f.integer(3)
	switch {
	case changed.Kind == decision.PollRejected:
	case isListNumber(number):
		changed.Endpoints = d.lists[number]
	default:
		f.fail(4, "a list number")
	}
	incoming.Event = changed
}

// Bits of the last field of a request.
const (
	hasHintBit = 1 << 0
	retriedBit = 1 << 1
)

func decodeRequest(f *fields) decision.Event {
	request := decision.RequestReceived{
		Request: f.request(),
		Class:   f.class(3),
		Tenant:  decision.TenantID(f.text(4)),
		Key:     decision.Key(f.text(5)),
		TTL:     f.number(6),
	}
	bits := f.integer(8)
	if hint := f.number(7); bits&hasHintBit != 0 {
		request.Hint = hint
	}
	request.Retried = bits&retriedBit != 0
	return request
}

func decodeResponseStarted(f *fields) decision.Event {
	return decision.ResponseStarted{
		Request:  f.request(),
		Attempt:  int(f.integer(3)),
		Endpoint: f.endpoint(4),
		After:    f.number(5),
	}
}

func decodeAttemptEnded(f *fields) decision.Event {
	return decision.AttemptEnded{
		Request:      f.request(),
		Outcome:      word(f, 3, outcomes),
		Endpoint:     f.endpoint(4),
		Attempt:      int(f.integer(5)),
		After:        f.number(6),
		RequestEnded: f.flag(7),
		Load:         f.load(8),
	}
}

func decodeClientDisconnected(f *fields) decision.Event {
	return decision.ClientDisconnected{Request: f.request()}
}

func decodeTimer(f *fields) decision.Event {
	return decision.TimerFired{Token: decision.Token(f.token(2))}
}

func decodeHealthCheckEnded(f *fields) decision.Event {
	return decision.HealthCheckEnded{
		Endpoint: f.endpoint(2),
		Outcome:  word(f, 3, outcomes),
		After:    f.number(4),
		Load:     f.load(5),
	}
}

func decodePeerMessage(f *fields) decision.Event {
	data, err := hex.DecodeString(f.text(3))
	if err != nil {
		f.fail(3, "hex")
	}
	return decision.PeerMessage{From: decision.InstanceID(f.integer(2)), Data: data}
}

func decodeStageUpdate(f *fields) decision.Event {
	return decision.StageUpdate{
		Age:          f.number(2),
		Build:        decision.Build(f.integer(3)),
		Phase:        word(f, 4, phases),
		IsVoteResult: f.integer(5) == 1,
		ExposureCap:  f.number(6),
		Stage:        int(f.integer(7)),
		VoteResult:   word(f, 8, voteResults),
	}
}

func decodeControllerCounts(f *fields) decision.Event {
	return decision.ControllerCounts{
		Build:  decision.Build(f.integer(2)),
		Class:  f.class(3),
		Count:  int(f.integer(4)),
		Failed: int(f.integer(5)),
		Mean:   f.number(6),
		Age:    f.number(7),
	}
}

func decodeResponseFlagged(f *fields) decision.Event {
	return decision.ResponseFlagged{Endpoint: f.endpoint(2), Class: f.class(3), Age: f.number(4)}
}
