// Package simwire is the codec of the simulator's wire: it decodes lines into events of the decision module, and
// encodes the module's actions as lines. It decides nothing, and only here are the words of the wire known.
//
// Feed the lines of a batch to a [Decoder], one after another, and encode actions with [Append].
//
//	file        concern
//	decoder.go  lines in; endpoint lists that later lines refer to
//	events.go   one decoder for each kind of line
//	fields.go   the fields of a line
//	words.go    words of the wire and what they stand for
//	actions.go  lines out
package simwire

import (
	"fmt"
	"strings"

	"ottershed/decision"
)

// maxLists is how many endpoint lists a batch may number.
const maxLists = 16

// Incoming is one event for an instance, or its start or stop.
type Incoming struct {
	Instance int
	Start    *Start // nil: it doesn't start here
	Stop     bool
	Event    decision.Event // nil at a start or stop
}

// Start is the start of an instance. Err names a setting that is missing or out of range.
type Start struct {
	Seed     uint64
	Settings decision.Settings
	Err      error
}

// Decoder decodes lines. It keeps the numbered endpoint lists that later lines refer to.
type Decoder struct {
	lists     [maxLists][]decision.Endpoint
	current   int // the list being read
	remaining int // its entries still to come
}

// Pending tells whether entries of a list are still to come.
func (d *Decoder) Pending() bool { return d.remaining > 0 }

// Line decodes one line of a batch. It returns nil for a line that only adds to a list.
func (d *Decoder) Line(line string) (*Incoming, error) {
	parsed := &fields{parts: strings.Split(line, "\t")}
	kind, known := lineKinds[parsed.name()]
	if !known {
		return nil, fmt.Errorf("unknown message %q", parsed.name())
	}
	if err := kind.checkCount(parsed); err != nil {
		return nil, err
	}
	if kind.isEntry != d.Pending() {
		return nil, fmt.Errorf("%s: the list has %d nodes to come", parsed.name(), d.remaining)
	}
	if kind.decodeList != nil {
		kind.decodeList(d, parsed)
		return nil, parsed.err
	}
	incoming := &Incoming{Instance: int(parsed.integer(1))}
	kind.decode(d, parsed, incoming)
	return incoming, parsed.err
}

// startList reads the head of an endpoint list: its number and how many entries follow.
func (d *Decoder) startList(f *fields) {
	number, entries := f.integer(1), f.integer(2)
	if f.err == nil && (!isListNumber(number) || entries < 0) {
		f.fail(1, "a list number with its size")
	}
	if f.err == nil {
		d.current = int(number)
		d.remaining = int(entries)
		d.lists[number] = nil
	}
}

// addEntry reads an entry of the endpoint list that is being read.
func (d *Decoder) addEntry(f *fields) {
	d.remaining--
	d.lists[d.current] = append(d.lists[d.current], decision.Endpoint{
		Cell:        decision.Cell(f.integer(1)),
		Started:     f.number(2),
		Zone:        decision.Zone(f.text(3)),
		Build:       decision.Build(f.number(4)),
		MachineType: decision.MachineType(f.text(5)),
		State:       word(f, 6, endpointStates),
		Capacity:    f.number(7),
		ID:          decision.EndpointID(f.text(8)),
	})
}

func isListNumber(number int64) bool { return number >= 0 && number < maxLists }
