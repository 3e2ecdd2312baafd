package policy

import (
	"errors"
	"testing"
)

// Guards against a stored record that is applied although a byte has changed or the end is missing.
func TestDecodeRecordRejectsCorruption(t *testing.T) {
	stored := committedRecords(t, 2)[1]
	raw, err := EncodeRecord(&stored)
	if err != nil {
		t.Fatalf("encode the record of version 2: %v", err)
	}
	decoded, err := DecodeRecord(raw)
	if err != nil {
		t.Fatalf("decode the record of version 2: %v", err)
	}
	if decoded.Version != 2 || decoded.Checksum != stored.Checksum {
		t.Errorf("got decoded record %+v, want %+v", decoded, stored)
	}
	for i := range raw {
		corrupt := append([]byte(nil), raw...)
		corrupt[i] ^= 1
		if _, err := DecodeRecord(corrupt); !errors.Is(err, ErrCorruptRecord) {
			t.Fatalf("byte %d changed: got decoding error %v, want ErrCorruptRecord", i, err)
		}
		if _, err := DecodeRecord(raw[:i]); !errors.Is(err, ErrCorruptRecord) {
			t.Fatalf("truncated after %d bytes: got decoding error %v, want ErrCorruptRecord", i, err)
		}
	}
}
