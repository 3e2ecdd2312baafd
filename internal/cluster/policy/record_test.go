package policy

import (
	"errors"
	"testing"
)

// A stored record is read back as it was; one with a changed byte or a missing end is not read.
func TestDecodeRecordRejectsCorruption(t *testing.T) {
	stored := committedRecords(t, 2)[1]
	raw, err := EncodeRecord(&stored)
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := DecodeRecord(raw)
	if err != nil {
		t.Fatal(err)
	}
	if decoded.Version != 2 || decoded.Sum != stored.Sum {
		t.Errorf("decoded %+v, stored %+v", decoded, stored)
	}
	for i := range raw {
		corrupt := append([]byte(nil), raw...)
		corrupt[i] ^= 1
		if _, err := DecodeRecord(corrupt); !errors.Is(err, ErrCorruptRecord) {
			t.Fatalf("byte %d corrupt: %v", i, err)
		}
		if _, err := DecodeRecord(raw[:i]); !errors.Is(err, ErrCorruptRecord) {
			t.Fatalf("cut after %d bytes: %v", i, err)
		}
	}
}
