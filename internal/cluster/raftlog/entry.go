package raftlog

import (
	"encoding/binary"
	"math"

	"ottershed/internal/cluster/logclock"
)

// Kind is the first byte of a command: it names the state machine that the command belongs to.
type Kind = byte

// stampedEntry is the first byte of an entry that carries its leader's stamp before the command. Entries of releases
// before stamps begin with the command's own kind.
const stampedEntry Kind = 't'

const stampBytes = 16 // process and uptime, eight bytes each, big endian

// prependStamp encodes an entry.
func prependStamp(s logclock.Stamp, command []byte) []byte {
	entry := make([]byte, 0, 1+stampBytes+len(command))
	entry = append(entry, stampedEntry)
	entry = binary.BigEndian.AppendUint64(entry, s.Process)
	entry = binary.BigEndian.AppendUint64(entry, math.Float64bits(s.Uptime))
	return append(entry, command...)
}

// cutStamp decodes an entry; false if it has no valid stamp.
func cutStamp(entry []byte) (logclock.Stamp, []byte, bool) {
	if len(entry) < 2+stampBytes || entry[0] != stampedEntry {
		return logclock.Stamp{}, entry, false
	}
	s := logclock.Stamp{
		Process: binary.BigEndian.Uint64(entry[1:]),
		Uptime:  math.Float64frombits(binary.BigEndian.Uint64(entry[9:])),
	}
	return s, entry[1+stampBytes:], !math.IsNaN(s.Uptime) && !math.IsInf(s.Uptime, 0)
}
