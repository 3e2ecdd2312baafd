package policy

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Limits on the records that are kept for the history command and for processes that fall behind. The latest record is
// always kept.
const (
	maxRecords     = 256
	maxRecordBytes = 1 << 20 // total length of the bodies of the kept records
)

// State holds the sequence of versions; the oldest are dropped beyond the limits. The zero State has no version. A
// State is not safe for concurrent use.
type State struct {
	records []Record // in order of version, without a gap
	bytes   int      // total length of the records' bodies
}

// Latest returns the newest record, or false if there is none yet.
func (s *State) Latest() (Record, bool) {
	if len(s.records) == 0 {
		return Record{}, false
	}
	return s.records[len(s.records)-1], true
}

// Version returns the version of the newest record, or 0 if there is none.
func (s *State) Version() Version {
	r, _ := s.Latest()
	return r.Version
}

// Since returns the kept records that are newer than v, oldest first.
func (s *State) Since(v Version) []Record {
	for i, r := range s.records {
		if r.Version > v {
			return append([]Record(nil), s.records[i:]...)
		}
	}
	return nil
}

// Apply adds the next proposal of the log as a version, unless it is a duplicate or rejected.
func (s *State) Apply(proposal *Proposal) Outcome {
	// If the leader fails before it responds, the proposer proposes again with the same ID, although the first proposal
	// may have been committed. The second proposal must not become another version.
	if r := s.findByID(proposal.ID); r != nil {
		return Outcome{Version: r.Version, Duplicate: true}
	}
	latest, _ := s.Latest()
	if reason := rejection(proposal, latest.Version); reason != "" {
		return Outcome{Rejection: reason}
	}
	r := Record{
		Version: latest.Version + 1, ID: proposal.ID, Proposer: proposal.Proposer, ProposedAt: proposal.ProposedAt,
		Body: proposal.Body,
	}
	r.Checksum = r.chainedChecksum(latest.Checksum)
	s.appendRecord(r)
	return Outcome{Version: r.Version}
}

// findByID returns the kept record with an ID, or nil if there is none.
func (s *State) findByID(id string) *Record {
	for i := range s.records {
		if s.records[i].ID == id {
			return &s.records[i]
		}
	}
	return nil
}

// rejection returns why a proposal can't follow the latest version, or "" if it can.
func rejection(proposal *Proposal, latest Version) string {
	if proposal.ID == "" || len(proposal.ID) > maxIDBytes {
		return "no id, or one that is too long"
	}
	if proposal.RequireBase && proposal.BaseVersion != latest {
		return fmt.Sprintf("version %d holds, and it was made from %d", latest, proposal.BaseVersion)
	}
	if _, _, err := Parse(proposal.Body); err != nil {
		return err.Error()
	}
	return ""
}

// appendRecord appends a record and drops the oldest records beyond the limits.
func (s *State) appendRecord(r Record) {
	s.records = append(s.records, r)
	s.bytes += len(r.Body)
	for len(s.records) > 1 && (len(s.records) > maxRecords || s.bytes > maxRecordBytes) {
		s.bytes -= len(s.records[0].Body)
		s.records[0] = Record{} // releases the body, which the backing array would keep
		s.records = s.records[1:]
	}
}

// Append adds records that a server has sent, and reports whether any was new. It skips records that are already known.
// If there is a gap before the records, the server no longer keeps the versions in the gap, and Append drops the
// records kept here. An error wraps [ErrBrokenChain]; records before the invalid one may have been added.
func (s *State) Append(records []Record) (bool, error) {
	if err := checkChain(records); err != nil {
		return false, err
	}
	changed := false
	for i := range records {
		r := &records[i]
		latest, exists := s.Latest()
		if exists && r.Version <= latest.Version {
			continue
		}
		if exists && r.Version > latest.Version+1 {
			*s = State{}
		} else if exists && !r.follows(&latest) {
			return changed, brokenChainError(r, &latest)
		}
		s.appendRecord(*r)
		changed = true
	}
	return changed, nil
}

// Encode returns the kept records as stored in snapshots of the log.
func (s *State) Encode() ([]byte, error) {
	raw, err := msgpack.Marshal(s.records)
	if err != nil {
		return nil, fmt.Errorf("encode policy records: %w", err)
	}
	return raw, nil
}

// Restore replaces the kept records with those encoded by Encode. After an error, which may wrap [ErrBrokenChain], the
// state is unchanged.
func (s *State) Restore(raw []byte) error {
	var records []Record
	if err := msgpack.Unmarshal(raw, &records); err != nil {
		return fmt.Errorf("decode policy records: %w", err)
	}
	if err := checkChain(records); err != nil {
		return err
	}
	*s = State{}
	for _, r := range records {
		s.appendRecord(r)
	}
	return nil
}
