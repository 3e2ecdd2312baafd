package simwire

// One decoder for each kind of line.

import (
	"encoding/hex"
	"fmt"

	"ottershed/decision"
	"ottershed/internal/settings"
)

// lineKind describes how a kind of line is decoded.
type lineKind struct {
	fieldCount int  // number of fields, including the name
	openEnded  bool // the last field may be missing or repeated
	isEntry    bool // the line is an entry of an endpoint list, which follows the list's header
	decodeList func(*Decoder, *fields)
	decode     func(*Decoder, *fields, *Input) // nil if decodeList is set
}

// lineKinds maps the names of lines to their kinds.
var lineKinds = map[string]lineKind{
	"sheet":            {fieldCount: 3, decodeList: (*Decoder).decodeListHeader},
	"node":             {fieldCount: 9, decodeList: (*Decoder).decodeListEntry, isEntry: true},
	"born":             {fieldCount: 4, openEnded: true, decode: decodeStart},
	"down":             {fieldCount: 2, decode: decodeStop},
	"backends_changed": {fieldCount: 5, decode: decodeEndpointsChanged},
	"req":              {fieldCount: 9, decode: eventDecoder(decodeRequest)},
	"flowing":          {fieldCount: 6, decode: eventDecoder(decodeResponseStarted)},
	"verdict":          {fieldCount: 9, decode: eventDecoder(decodeAttemptEnded)},
	"aborted":          {fieldCount: 3, decode: eventDecoder(decodeClientDisconnected)},
	"tick_due":         {fieldCount: 3, decode: eventDecoder(decodeTimer)},
	"ping_result":      {fieldCount: 6, decode: eventDecoder(decodeHealthCheckEnded)},
	"message":          {fieldCount: 4, decode: eventDecoder(decodePeerMessage)},
	"stage":            {fieldCount: 9, decode: eventDecoder(decodeStageUpdate)},
	"metrics":          {fieldCount: 8, decode: eventDecoder(decodeControllerCounts)},
	"reported_wrong":   {fieldCount: 5, decode: eventDecoder(decodeResponseFlagged)},
}

// checkCount returns an error if the number of fields is wrong. It appends an empty last field if that may be missing.
func (k lineKind) checkCount(f *fields) error {
	if k.openEnded && len(f.parts) == k.fieldCount-1 {
		f.parts = append(f.parts, "")
	}
	if len(f.parts) == k.fieldCount || k.openEnded && len(f.parts) > k.fieldCount {
		return nil
	}
	return fmt.Errorf("%s: %d fields, want %d", f.name(), len(f.parts)-1, k.fieldCount-1)
}

// eventDecoder adapts a function that decodes an event from the line's fields alone.
func eventDecoder(decode func(*fields) decision.Event) func(*Decoder, *fields, *Input) {
	return func(_ *Decoder, f *fields, input *Input) { input.Event = decode(f) }
}

func decodeStart(_ *Decoder, f *fields, input *Input) {
	start := &Start{Seed: f.token(2)}
	start.Settings, start.Err = settings.ForDecisionModule(settings.ParsePairs(f.parts[3:]))
	input.Start = start
}

func decodeStop(_ *Decoder, _ *fields, input *Input) { input.Stop = true }

func decodeEndpointsChanged(d *Decoder, f *fields, input *Input) {
	changed := decision.EndpointsChanged{Kind: enumValue(f, 2, snapshotKinds)}
	listNumber := f.integer(4)
	changed.Version = f.integer(3)
	switch {
	case changed.Kind == decision.PollRejected:
	case validListNumber(listNumber):
		changed.Endpoints = d.lists[listNumber]
	default:
		f.fail(4, "a list number")
	}
	input.Event = changed
}

// Bits of a request line's last field.
const (
	hasEstimateBit = 1 << 0 // field 7 holds an estimated service time
	retriedBit     = 1 << 1
)

func decodeRequest(f *fields) decision.Event {
	request := decision.RequestReceived{
		Request:   f.request(),
		Class:     f.class(3),
		Tenant:    decision.TenantID(f.text(4)),
		Key:       decision.Key(f.text(5)),
		Remaining: f.number(6),
	}
	bits := f.integer(8)
	if estimate := f.number(7); bits&hasEstimateBit != 0 {
		request.EstimatedServiceTime = estimate
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
		Outcome:      enumValue(f, 3, outcomes),
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
		Outcome:  enumValue(f, 3, outcomes),
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
		Phase:        enumValue(f, 4, phases),
		IsVoteResult: f.integer(5) == 1,
		ExposureCap:  f.number(6),
		Stage:        int(f.integer(7)),
		VoteResult:   enumValue(f, 8, voteResults),
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
