package policy

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// Version is the number of a policy version. The first is 1; 0 means none.
type Version uint64

// The msgpack and json tags below are part of the stored format and of the protocol between processes. They don't
// change when a field is renamed.

// Proposal is a policy that is proposed to the log as the next version.
type Proposal struct {
	ID          string  `msgpack:"ID"`    // chosen by the proposer, 1 to 64 bytes; a repeated ID marks a duplicate
	Proposer    string  `msgpack:"By"`    // the process that proposes the policy
	ProposedAt  float64 `msgpack:"At"`    // Unix time in milliseconds by the proposer's clock
	RequireBase bool    `msgpack:"Based"` // reject the proposal unless the base is still the latest version
	BaseVersion Version `msgpack:"Base"`  // the base, if RequireBase is set
	Body        []byte  `msgpack:"Body"`  // the policy's encoding for the log, see Parse
}

// Record is a committed version. The fields that it shares with Proposal have the proposal's values.
type Record struct {
	Version    Version `msgpack:"Version"`
	ID         string  `msgpack:"ID"`
	Proposer   string  `msgpack:"By"`
	ProposedAt float64 `msgpack:"At"`
	Body       []byte  `msgpack:"Body"`
	// Checksum covers this record and the checksum of the previous version. Equal checksums mean equal histories.
	Checksum uint64 `msgpack:"Sum"`
}

// Outcome is the result of a proposal.
type Outcome struct {
	Version   Version `json:"Version"` // the version that the proposal became; 0 if it was rejected
	Duplicate bool    `json:"Again"`   // whether an earlier proposal with the same ID had become Version
	Rejection string  `json:"Refused"` // why the proposal was rejected; empty if it became a version
}

// ErrBrokenChain reports a sequence of records in which a version or checksum does not follow from the previous record.
var ErrBrokenChain = errors.New("policy: version chain is broken")

// ErrCorruptRecord reports a stored record whose checksum or encoding is wrong.
var ErrCorruptRecord = errors.New("policy: the stored record of the applied version is corrupt")

// chainedChecksum returns the record's checksum, given the checksum of the previous version.
func (r *Record) chainedChecksum(previous uint64) uint64 {
	var header [16]byte
	binary.BigEndian.PutUint64(header[:8], previous)
	binary.BigEndian.PutUint64(header[8:], uint64(r.Version))
	digest := xxhash.New()
	for _, field := range [][]byte{header[:], []byte(r.ID), {0}, r.Body} {
		_, _ = digest.Write(field) // a Digest's Write never fails
	}
	return digest.Sum64()
}

// follows reports whether the record is the version immediately after previous.
func (r *Record) follows(previous *Record) bool {
	return r.Version == previous.Version+1 && r.Checksum == r.chainedChecksum(previous.Checksum)
}

func brokenChainError(r, previous *Record) error {
	return fmt.Errorf("%w: version %d does not follow from version %d", ErrBrokenChain, r.Version, previous.Version)
}

// checkChain returns an [ErrBrokenChain] unless each record follows from the previous one.
func checkChain(records []Record) error {
	for i := 1; i < len(records); i++ {
		if !records[i].follows(&records[i-1]) {
			return brokenChainError(&records[i], &records[i-1])
		}
	}
	return nil
}

const storedChecksumBytes = 8 // length of the checksum at the end of a stored record

// EncodeRecord returns the stored form of a record: its msgpack encoding, followed by the xxhash of that encoding as 8
// big-endian bytes.
func EncodeRecord(r *Record) ([]byte, error) {
	raw, err := msgpack.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode policy record: %w", err)
	}
	return binary.BigEndian.AppendUint64(raw, xxhash.Sum64(raw)), nil
}

// DecodeRecord decodes the stored form of a record. An error wraps [ErrCorruptRecord].
func DecodeRecord(raw []byte) (*Record, error) {
	size := len(raw) - storedChecksumBytes
	if size < 0 || xxhash.Sum64(raw[:size]) != binary.BigEndian.Uint64(raw[size:]) {
		return nil, ErrCorruptRecord
	}
	r := &Record{}
	if err := msgpack.Unmarshal(raw[:size], r); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorruptRecord, err)
	}
	return r, nil
}
