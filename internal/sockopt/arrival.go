package sockopt

import (
	"time"

	"golang.org/x/sys/unix"
)

// arrivalTime returns when the newest data of a socket arrived, by the kernel's record, so that the time counts which it has lain
// in the socket or, on a new connection, in the accept queue. It returns now if the kernel does not tell.
func arrivalTime(fd int, now time.Time) time.Time {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil || info.State == 0 { // a state of 0 means that the system has not filled in the record
		return now
	}
	return now.Add(-time.Duration(info.Last_data_recv) * time.Millisecond)
}

// later returns the later one of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
