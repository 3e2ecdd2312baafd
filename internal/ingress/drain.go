package ingress

import (
	"cmp"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"ottershed/internal/sockopt"
)

// state is a stage in the lifecycle of a server. These are the only transitions:
//
//	serving  -> draining  Drain is called
//	draining -> closing   the grace period is over (connLimiter.shutdown)
//	closing  -> closed    all connections have ended
//
// A state is never entered again.
type state int32

const (
	// serving: connections are accepted and requests are passed to the engine.
	serving state = iota
	// draining: like serving, but /up responds 503 and each response closes its connection.
	draining
	// closing: only connections that are already in the accept queue of the kernel are accepted. New requests are
	// rejected, open ones get their responses, and connections without a request are closed.
	closing
	// closed: all connections are closed.
	closed
)

// lifecycle holds the current state of a server. It is safe for concurrent use.
type lifecycle struct{ current atomic.Int32 }

// reached reports whether the state or a later one has been entered.
func (l *lifecycle) reached(s state) bool { return state(l.current.Load()) >= s }

// advance enters a state, unless that state or a later one has already been entered.
func (l *lifecycle) advance(to state) {
	for {
		from := l.current.Load()
		if state(from) >= to || l.current.CompareAndSwap(from, int32(to)) {
			return
		}
	}
}

const (
	// newConnectionGrace is the time that a new connection has for the first byte of a request before it may be evicted,
	// or closed by a closing server. Without it the client would lose its first request: clients retry on another
	// connection only if the closed one has carried a request before.
	newConnectionGrace = readTimeout / 10
	// drainPollInterval is the interval at which a closing server closes connections without a request.
	drainPollInterval = newConnectionGrace / 10
)

// Drain shuts the server down gracefully and returns when it is closed. From the call on /up responds 503. Requests are
// still served for the grace period, since the load balancer in front learns of the readiness with a delay. After that
// no connections are accepted, and Drain waits until all open requests have their responses. The error is one of closing
// the listener.
//
// Drain has no time limit of its own: after a hold-up of the process it could expire before a response is written that
// was due earlier. The wait ends because each step of a request has a limit: reading its head and body (readTimeout),
// waiting for its result (RoundTrip), and writing its response (writeTimeout).
//
// Drain does not use http.Server.Shutdown, which may close a connection as idle although a request was just read from
// it.
func (s *Server) Drain(grace time.Duration) error {
	graceEnd := time.Now().Add(grace)
	s.graceEnd.Store(&graceEnd)
	s.state.advance(draining)
	s.sleep(grace)
	listenerErr := s.limiter.shutdown() // open requests get their responses all the same
	connections := s.limiter.closeUnusedAndIdle()
	s.log.WithFields(logrus.Fields{
		"connections": connections, "open": s.ids.count(),
	}).Info("no longer accepting requests")
	for connections > 0 {
		s.sleep(drainPollInterval)
		connections = s.limiter.closeUnusedAndIdle()
	}
	err := s.httpServer.Close()
	s.state.advance(closed)
	return cmp.Or(listenerErr, err)
}

// graceOver reports whether the grace period of a drain is over. The state closing may come later, if Drain is held up.
func (s *Server) graceOver() bool {
	end := s.graceEnd.Load()
	return end != nil && !time.Now().Before(*end)
}

// setListener sets the listener to accept from. It returns false if the server is already closing.
func (l *connLimiter) setListener(listener net.Listener) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listener = listener
	return !l.state.reached(closing)
}

// Addr returns the address of the listener. It must be called after setListener.
func (l *connLimiter) Addr() net.Addr { return l.listener.Addr() }

// Close closes the listener. http.Server calls it from its own Close. If no request is open, it may do so before it has
// noticed that shutdown closed the listener, so a second Close is not an error.
func (l *connLimiter) Close() error { return l.closeListener() }

// isClosing reports whether the server is closing or closed. shutdown enters that state and sets a deadline on the
// listener under the lock. Without the lock here, that deadline could overwrite the later one that acceptNext sets on a
// closing server.
func (l *connLimiter) isClosing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.reached(closing)
}

// setAcceptDeadline sets the time at which Accept of the listener returns with an error. It reports whether the listener
// supports deadlines.
func (l *connLimiter) setAcceptDeadline(deadline time.Time) bool {
	listener, ok := l.listener.(interface{ SetDeadline(time.Time) error })
	return ok && listener.SetDeadline(deadline) == nil
}

// hasQueuedConnection reports whether a connection waits in the accept queue. It returns false if the listener has no
// descriptor to look at.
func (l *connLimiter) hasQueuedConnection() bool {
	listener, ok := l.listener.(syscall.Conn)
	if !ok {
		return false
	}
	queued, err := sockopt.HasQueuedConnection(listener)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		l.log.WithError(err).Warn("accept queue unreadable, closing the listener")
	}
	return queued && err == nil
}

// acceptNext accepts a connection. While the server is closing, it accepts the connections that are left in the accept
// queue, then closes the listener and returns net.ErrClosed. If the listener were closed first, requests on queued
// connections would be lost.
//
// Only a look at the queue shows that it is empty. An expired deadline does not: Accept then fails without a look, also
// if the deadline has expired only because the process was held up.
func (l *connLimiter) acceptNext() (net.Conn, error) {
	for {
		closing := l.isClosing()
		if closing && !l.hasQueuedConnection() {
			return nil, l.stopAccepting()
		}
		if closing {
			l.setAcceptDeadline(time.Now().Add(responseTimeout)) // shutdown has set one that makes Accept fail
		}
		conn, err := l.listener.Accept()
		timedOut := errors.Is(err, os.ErrDeadlineExceeded)
		if timedOut && !closing {
			continue // shutdown has set the deadline to wake this call
		}
		if timedOut || errors.Is(err, net.ErrClosed) {
			return nil, l.stopAccepting()
		}
		return conn, err
	}
}

// stopAccepting closes the listener and returns net.ErrClosed, the result of Accept on a closed listener.
func (l *connLimiter) stopAccepting() error {
	_ = l.closeListener() // shutdown and Close return the error
	return net.ErrClosed
}

// shutdown enters the state closing and returns if Serve was not called yet. Otherwise it waits until the queued
// connections are accepted, and closes the listener. The wait is bounded by responseTimeout, since http.Server accepts
// only at intervals while file descriptors are exhausted.
func (l *connLimiter) shutdown() error {
	l.mu.Lock()
	l.state.advance(closing)
	hasListener := l.listener != nil
	woken := l.setAcceptDeadline(time.Now()) // under the lock, see isClosing
	l.mu.Unlock()
	l.slotFreed.Broadcast()
	if !hasListener {
		return nil // a later Serve accepts nothing
	}
	if woken {
		select {
		case <-l.listenerClosed:
		case <-time.After(responseTimeout):
		}
	}
	return l.closeListener()
}
