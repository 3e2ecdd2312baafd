package raftlog

import (
	"encoding/binary"
	"math"

	"ottershed/internal/cluster/logclock"
)

// CommandKind is the first byte of a command. It identifies the state machine that applies the command.
type CommandKind = byte

// stampedEntry is the first byte of an entry that has its leader's stamp in front of the command. Entries of releases
// before stamps begin with the command's kind.
const stampedEntry CommandKind = 't'

const stampBytes = 16 // process and uptime, eight bytes each, big-endian

// prependStamp returns an entry that consists of a stamp and a command.
func prependStamp(s logclock.Stamp, command []byte) []byte {
	entry := make([]byte, 0, 1+stampBytes+len(command))
	entry = append(entry, stampedEntry)
	entry = binary.BigEndian.AppendUint64(entry, s.Process)
	entry = binary.BigEndian.AppendUint64(entry, math.Float64bits(s.Uptime))
	return append(entry, command...)
}

// cutStamp splits an entry into its stamp and its command. It returns false if the entry has no valid stamp.
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
