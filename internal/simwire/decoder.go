// Package simwire is the codec of the simulator's protocol. It decodes lines into events of the decision module and
// encodes the module's actions as lines. The names that the protocol uses occur only in this package.
//
// Pass the lines of a batch to a [Decoder] in order, and encode actions with [AppendAction].
//
//	file        contents
//	decoder.go  decoder of lines, with the endpoint lists that later lines refer to
//	events.go   one decoder for each kind of line
//	fields.go   decoding of single fields
//	enums.go    enumerated values and their names in the protocol
//	actions.go  encoding of actions as lines
package simwire

import (
	"fmt"
	"strings"

	"ottershed/decision"
)

// maxLists is the number of endpoint lists that a Decoder holds; lists are numbered from 0.
const maxLists = 16

// Input is one input to an instance: its start, its stop or an event.
type Input struct {
	Instance int
	Start    *Start         // nil unless the instance starts
	Stop     bool           // the instance stops
	Event    decision.Event // nil for a start or stop
}

// Start holds the seed and the settings of an instance that starts. Err is set if a setting is missing or out of range.
type Start struct {
	Seed     uint64
	Settings decision.Settings
	Err      error
}

// Decoder decodes lines. It holds the numbered endpoint lists that later lines refer to. The zero value is ready to
// use.
type Decoder struct {
	lists            [maxLists][]decision.Endpoint
	currentList      int // number of the list that is being read
	remainingEntries int // entries of currentList that have not been read
}

// Pending returns whether the current list has entries that have not been read.
func (d *Decoder) Pending() bool { return d.remainingEntries > 0 }

// DecodeLine decodes one line of a batch. It returns nil for a line that belongs to an endpoint list. The error of a
// malformed line names the line's kind, the field and what was expected.
func (d *Decoder) DecodeLine(line string) (*Input, error) {
	parsed := &fields{parts: strings.Split(line, "\t")}
	kind, known := lineKinds[parsed.name()]
	if !known {
		return nil, fmt.Errorf("unknown message %q", parsed.name())
	}
	if err := kind.checkCount(parsed); err != nil {
		return nil, err
	}
	if kind.isEntry != d.Pending() {
		return nil, fmt.Errorf("%s: the list has %d nodes to come", parsed.name(), d.remainingEntries)
	}
	if kind.decodeList != nil {
		kind.decodeList(d, parsed)
		return nil, parsed.err
	}
	input := &Input{Instance: int(parsed.integer(1))}
	kind.decode(d, parsed, input)
	return input, parsed.err
}

// decodeListHeader decodes the header of an endpoint list: its number and the number of entries that follow.
func (d *Decoder) decodeListHeader(f *fields) {
	listNumber, entries := f.integer(1), f.integer(2)
	if f.err == nil && (!validListNumber(listNumber) || entries < 0) {
		f.fail(1, "a list number with its size")
	}
	if f.err == nil {
		d.currentList = int(listNumber)
		d.remainingEntries = int(entries)
		d.lists[listNumber] = nil
	}
}

// decodeListEntry decodes an entry and appends it to the current endpoint list.
func (d *Decoder) decodeListEntry(f *fields) {
	d.remainingEntries--
	d.lists[d.currentList] = append(d.lists[d.currentList], decision.Endpoint{
		Cell:        decision.Cell(f.integer(1)),
		StartedAt:   f.number(2),
		Zone:        decision.Zone(f.text(3)),
		Build:       decision.Build(f.number(4)),
		MachineType: decision.MachineType(f.text(5)),
		State:       enumValue(f, 6, endpointStates),
		Capacity:    f.number(7),
		ID:          decision.EndpointID(f.text(8)),
	})
}

func validListNumber(number int64) bool { return number >= 0 && number < maxLists }
