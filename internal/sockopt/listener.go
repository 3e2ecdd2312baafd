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
	err = raw.Control(func(fd uintptr) { queued, pollErr = isReadable(int32(fd)) })
	return queued, errors.Join(err, pollErr)
}

// isReadable calls poll(2) without a wait and repeats it if a signal interrupts it.
func isReadable(fd int32) (bool, error) {
	for {
		polled := []unix.PollFd{{Fd: fd, Events: unix.POLLIN}}
		_, err := unix.Poll(polled, 0)
		if !errors.Is(err, unix.EINTR) {
			return polled[0].Revents&unix.POLLIN != 0, err
		}
	}
}
