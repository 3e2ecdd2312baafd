package policy

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
)

// Version numbers policies. The first is 1; 0 means none.
type Version uint64

// The msgpack and json tags below name the parts in what is stored and sent. They stay whatever the fields are called.

// Proposal is a policy on its way through the log.
type Proposal struct {
	ID    string  `msgpack:"ID"`    // chosen by the proposer, 1 to 64 bytes; a second proposal with it is a duplicate
	By    string  `msgpack:"By"`    // the process that was asked to propose it
	At    float64 `msgpack:"At"`    // Unix time in milliseconds at that process
	Based bool    `msgpack:"Based"` // reject it unless Base is the latest version when it is applied
	Base  Version `msgpack:"Base"`
	Body  []byte  `msgpack:"Body"` // the policy's form for the log, see Parse
}

// Record is a committed version.
type Record struct {
	Version Version `msgpack:"Version"`
	ID      string  `msgpack:"ID"`
	By      string  `msgpack:"By"`
	At      float64 `msgpack:"At"`
	Body    []byte  `msgpack:"Body"`
	// Sum is a checksum over this record and the Sum of the version before. Equal sums mean equal histories.
	Sum uint64 `msgpack:"Sum"`
}

// Outcome is the result of a proposal.
type Outcome struct {
	Version   Version `json:"Version"` // the version that the proposal became; 0 where it was rejected
	Duplicate bool    `json:"Again"`   // an earlier proposal with the same ID had become Version
	Rejection string  `json:"Refused"` // why there is no version; empty where there is one
}

// ErrChain is a sequence of records in which one does not follow from the one before.
var ErrBrokenChain = errors.New("policy: versions do not follow one from another")

// ErrCorruptRecord is a stored record whose checksum or encoding is wrong.
var ErrCorruptRecord = errors.New("policy: the stored record of the applied version is corrupt")

// sumAfter is the record's checksum where the version before has the checksum previous.
func (r *Record) chainedSum(previous uint64) uint64 {
	var header [16]byte
	binary.BigEndian.PutUint64(header[:8], previous)
	binary.BigEndian.PutUint64(header[8:], uint64(r.Version))
	digest := xxhash.New()
	for _, part := range [][]byte{header[:], []byte(r.ID), {0}, r.Body} {
		_, _ = digest.Write(part) // a Digest's Write never fails
	}
	return digest.Sum64()
}

// follows tells whether the record is the version right after previous.
func (r *Record) follows(previous *Record) bool {
	return r.Version == previous.Version+1 && r.Sum == r.chainedSum(previous.Sum)
}

func brokenChainError(r, previous *Record) error {
	return fmt.Errorf("%w: %d behind %d", ErrBrokenChain, r.Version, previous.Version)
}

// checkChain returns an error unless each record follows from the one before.
func checkChain(records []Record) error {
	for i := 1; i < len(records); i++ {
		if !records[i].follows(&records[i-1]) {
			return brokenChainError(&records[i], &records[i-1])
		}
	}
	return nil
}

const storedSumBytes = 8 // bytes of the checksum at the end of a stored record

// EncodeRecord returns the stored form of a record: msgpack, then its xxhash as 8 bytes, big-endian.
func EncodeRecord(r *Record) ([]byte, error) {
	raw, err := msgpack.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("policy: %w", err)
	}
	return binary.BigEndian.AppendUint64(raw, xxhash.Sum64(raw)), nil
}

// DecodeRecord reads what EncodeRecord wrote. An error is an [ErrCorruptRecord].
func DecodeRecord(raw []byte) (*Record, error) {
	size := len(raw) - storedSumBytes
	if size < 0 || xxhash.Sum64(raw[:size]) != binary.BigEndian.Uint64(raw[size:]) {
		return nil, ErrCorruptRecord
	}
	r := &Record{}
	if err := msgpack.Unmarshal(raw[:size], r); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrCorruptRecord, err)
	}
	return r, nil
}
