package policy

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// Proposal is a policy on its way through the log. Here and below, tags name the parts in what is stored and sent: they stay
// whatever the fields are called.
type Proposal struct {
	ID    string  `msgpack:"ID"`    // the proposer's, so that one that comes twice counts once
	By    string  `msgpack:"By"`    // the marshal that was asked
	At    float64 `msgpack:"At"`    // Unix milliseconds there
	Based bool    `msgpack:"Based"` // only if Base is the newest version when it is committed
	Base  Version `msgpack:"Base"`
	Body  []byte  `msgpack:"Body"` // a policy's form for the log, see Parse
}

// Record is a version that holds.
type Record struct {
	Version Version `msgpack:"Version"`
	ID      string  `msgpack:"ID"`
	By      string  `msgpack:"By"`
	At      float64 `msgpack:"At"`
	Body    []byte  `msgpack:"Body"`
	Sum     uint64  `msgpack:"Sum"` // over this record and the sum before: the same at all that went through the same versions
}

// Outcome is what became of a proposal.
type Outcome struct {
	Version   Version `json:"Version"` // that it got, or got before
	Duplicate bool    `json:"Again"`   // it had come before
	Rejection string  `json:"Refused"` // why it got none; empty: it did
}

const (
	maxRecords     = 256     // that are kept for `policy history` and for marshals that come late
	maxRecordBytes = 1 << 20 // of them
)

// State is all versions so far, as far as they are kept: the newest always.
type State struct {
	records []Record
	bytes   int
}

// Newest is the version that holds; false where there is none yet.
func (s *State) Latest() (Record, bool) {
	if len(s.records) == 0 {
		return Record{}, false
	}
	return s.records[len(s.records)-1], true
}

// Version is the newest one's number.
func (s *State) Version() Version {
	r, _ := s.Latest()
	return r.Version
}

// Since are the records after a version that are kept, oldest first; the newest is among them unless it is that version.
func (s *State) Since(v Version) []Record {
	for i, r := range s.records {
		if r.Version > v {
			return append([]Record(nil), s.records[i:]...)
		}
	}
	return nil
}

// Apply takes the next proposal of the log.
func (s *State) Apply(p *Proposal) Outcome {
	// Danger: a proposer that heard nothing, for its leader died, asks again; the first may have been committed.
	for _, r := range s.records {
		if r.ID == p.ID {
			return Outcome{Version: r.Version, Duplicate: true}
		}
	}
	last, _ := s.Latest()
	if p.ID == "" || len(p.ID) > maxIDBytes {
		return Outcome{Rejection: "no id, or one that is too long"}
	}
	if p.Based && p.Base != last.Version {
		return Outcome{Rejection: fmt.Sprintf("version %d holds, and it was made from %d", last.Version, p.Base)}
	}
	if _, _, err := Parse(p.Body); err != nil {
		return Outcome{Rejection: err.Error()}
	}
	r := Record{Version: last.Version + 1, ID: p.ID, By: p.By, At: p.At, Body: p.Body}
	r.Sum = r.sum(last.Sum)
	s.add(r)
	return Outcome{Version: r.Version}
}

func (s *State) add(r Record) {
	s.records = append(s.records, r)
	s.bytes += len(r.Body)
	for len(s.records) > 1 && (len(s.records) > maxRecords || s.bytes > maxRecordBytes) {
		s.bytes -= len(s.records[0].Body)
		s.records[0] = Record{}
		s.records = s.records[1:]
	}
}

func (r *Record) sum(before uint64) uint64 {
	h := xxhash.New()
	var n [16]byte
	binary.BigEndian.PutUint64(n[:8], before)
	binary.BigEndian.PutUint64(n[8:], uint64(r.Version))
	h.Write(n[:])
	h.WriteString(r.ID)
	h.Write([]byte{0})
	h.Write(r.Body)
	return h.Sum64()
}

// ErrChain is a row of records in which one does not follow from the one before.
var ErrChain = errors.New("policy: versions do not follow one from another")

// check tells whether records follow one from another.
func check(records []Record) error {
	for i := 1; i < len(records); i++ {
		if r := records[i]; r.Version != records[i-1].Version+1 || r.Sum != r.sum(records[i-1].Sum) {
			return fmt.Errorf("%w: %d behind %d", ErrChain, r.Version, records[i-1].Version)
		}
	}
	return nil
}

// Encode writes all that is kept.
func (s *State) Encode() ([]byte, error) {
	raw, err := msgpack.Marshal(s.records)
	if err != nil {
		return nil, fmt.Errorf("policy: %w", err)
	}
	return raw, nil
}

// Restore takes the place of all that is kept by what Encode wrote.
func (s *State) Restore(raw []byte) error {
	var records []Record
	if err := msgpack.Unmarshal(raw, &records); err != nil {
		return fmt.Errorf("policy: %w", err)
	}
	if err := check(records); err != nil {
		return err
	}
	*s = State{}
	for _, r := range records {
		s.add(r)
	}
	return nil
}

// Follow takes records that another has sent, which follow on what is kept or take its place where they begin later. It
// tells whether there was anything new. Older ones are passed over.
func (s *State) Append(records []Record) (bool, error) {
	if err := check(records); err != nil {
		return false, err
	}
	changed := false
	for _, r := range records {
		last, any := s.Latest()
		if any && r.Version <= last.Version {
			continue
		}
		if any && r.Version == last.Version+1 && r.Sum != r.sum(last.Sum) {
			return changed, fmt.Errorf("%w: %d behind %d", ErrChain, r.Version, last.Version)
		}
		if any && r.Version > last.Version+1 { // those between are kept nowhere any more
			*s = State{}
		}
		s.add(r)
		changed = true
	}
	return changed, nil
}
