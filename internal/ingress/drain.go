package ingress

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// state is how far the graceful shutdown of a server has come. The transitions:
//
//	serving  -> draining  Drain is called
//	draining -> closing   the grace period is over (connLimiter.shutdown)
//	closing  -> closed    Drain has ended the connections
//
// No state is entered again that was left, and none is left in any other way.
type state int32

const (
	// serving: connections are accepted and requests handed to the engine.
	serving state = iota
	// draining: as serving, but /up responds 503 and each response closes its connection.
	draining
	// closing: the connections that wait in the system's queue are accepted, no others; new requests are rejected, those
	// that are open get their responses, and connections without a request are closed.
	closing
	// closed: no connection is left.
	closed
)

// lifecycle is the present state of a server.
type lifecycle struct{ current atomic.Int32 }

// reached tells whether a state or a later one has been entered.
func (l *lifecycle) reached(s state) bool { return state(l.current.Load()) >= s }

// advance enters a state, unless that or a later one has been entered before.
func (l *lifecycle) advance(to state) {
	for {
		from := l.current.Load()
		if state(from) >= to || l.current.CompareAndSwap(from, int32(to)) {
			return
		}
	}
}

const (
	// newConnectionGrace is how long a new connection may carry nothing while others want its place, or while the server
	// closes. A client sends a request again only if its connection had carried one before, so a new one has a moment.
	newConnectionGrace = readTimeout / 10
	// drainAcceptWait is how long a closing server looks for connections that came before; the system has them ready.
	drainAcceptWait = 5 * time.Millisecond
	// drainPollInterval is how often a closing server looks for connections without a request.
	drainPollInterval = newConnectionGrace / 10
)

// Drain ends the server gracefully: /up responds 503 from now on; requests are served for the grace period, for the
// layer in front learns of it late; then nothing new is accepted. It returns once everything that was accepted has its
// response, or the longest time of a request is over.
//
// http.Server.Shutdown is not used: it may close a connection as idle whose request it has just read.
func (s *Server) Drain(grace time.Duration) error {
	s.state.advance(draining)
	time.Sleep(grace)
	if err := s.limiter.shutdown(); err != nil {
		return err
	}
	end := time.Now().Add(s.drainTimeout)
	for s.limiter.closeQuiet() > 0 && time.Now().Before(end) {
		time.Sleep(drainPollInterval)
	}
	err := s.httpServer.Close()
	s.state.advance(closed)
	return err
}

// listen has the limiter accept from a listener; false once the server is closing.
func (l *connLimiter) listen(listener net.Listener) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listener = listener
	return !l.state.reached(closing)
}

// Addr is that of the listener.
func (l *connLimiter) Addr() net.Addr { return l.listener.Addr() }

// Close closes the listener; http.Server does so at its end. With nothing left to respond to, it may end before it has
// seen that the listener is closed, and closes it again, which is not a fault.
func (l *connLimiter) Close() error { return l.closeListener() }

// acceptingEnded tells whether the server is closing. It takes the lock: who sees it sets the listener's deadline anew,
// which must follow the one that shutdown sets.
func (l *connLimiter) acceptingEnded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.reached(closing)
}

// setAcceptDeadline ends waiting for a connection at a time, and tells whether the listener can do so.
func (l *connLimiter) setAcceptDeadline(at time.Time) bool {
	listener, ok := l.listener.(interface{ SetDeadline(time.Time) error })
	return ok && listener.SetDeadline(at) == nil
}

// acceptNext accepts a connection. While the server is closing it accepts those that have come before, then it closes
// the listener and returns net.ErrClosed: a request on a connection that waits in the system's queue is lost if the
// listener closes first.
func (l *connLimiter) acceptNext() (net.Conn, error) {
	for {
		ended := l.acceptingEnded()
		if ended && !l.setAcceptDeadline(time.Now().Add(drainAcceptWait)) {
			return nil, l.endAccepting()
		}
		conn, err := l.listener.Accept()
		late := errors.Is(err, os.ErrDeadlineExceeded)
		if late && !ended {
			continue // woken by shutdown
		}
		if late || errors.Is(err, net.ErrClosed) {
			return nil, l.endAccepting()
		}
		return conn, err
	}
}

// endAccepting closes the listener and returns the error with which Accept says so.
func (l *connLimiter) endAccepting() error {
	_ = l.closeListener() // shutdown and Close return it
	return net.ErrClosed
}

// shutdown ends accepting, and returns once all connections that had come are accepted. Short of descriptors
// http.Server accepts only now and then, so the wait has an end.
func (l *connLimiter) shutdown() error {
	l.mu.Lock()
	l.state.advance(closing)
	listening := l.listener != nil
	woken := l.setAcceptDeadline(time.Now()) // under the lock, see acceptingEnded
	l.mu.Unlock()
	l.slotFreed.Broadcast()
	if !listening {
		return nil // Serve comes too late and accepts nothing
	}
	if woken {
		select {
		case <-l.listenerClosed:
		case <-time.After(responseDue):
		}
	}
	return l.closeListener()
}
