package sockopt

import (
	"errors"
	"fmt"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasQueuedConnection reports whether the accept queue of a listener holds a connection, so that Accept would return one
// at once. It does not wait. The error is one of the system call, or says that the listener is closed.
func HasQueuedConnection(listener syscall.Conn) (bool, error) {
	raw, err := listener.SyscallConn()
	if err != nil {
		return false, fmt.Errorf("descriptor of the listener: %w", err)
	}
	var queued bool
	var pollErr error
	err = raw.Control(func(fd uintptr) { queued, pollErr = pollNow(int(fd), unix.POLLIN) })
	return queued, errors.Join(err, pollErr)
}

// pollNow reports whether poll(2) shows one of the events at once. It repeats the call if a signal interrupts it.
func pollNow(fd int, events int16) (bool, error) {
	for {
		polled := []unix.PollFd{{Fd: int32(fd), Events: events}}
		_, err := unix.Poll(polled, 0)
		if !errors.Is(err, unix.EINTR) {
			return polled[0].Revents&events != 0, err
		}
	}
}
