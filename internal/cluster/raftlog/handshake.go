package raftlog

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"time"
)

// Kinds of connections. The dialing side sends the kind as its first byte.
const (
	raftKind = 'r'
	httpKind = 'h'
)

const (
	nonceBytes       = 16
	handshakeTimeout = 5 * time.Second
)

// Roles in a proof. Without them, a client could send a server's proof back as its own.
const (
	clientRole = 'c'
	serverRole = 's'
)

var errKeyMismatch = errors.New("the other side has another key")

// proof returns an HMAC of the role and the nonces of both sides, the client's nonce first. It proves the possession of
// the key.
func proof(key []byte, role byte, nonces []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte{role})
	mac.Write(nonces)
	return mac.Sum(nil)
}

// setHandshakeDeadline sets the deadline of a handshake and returns a function that removes the deadline.
func setHandshakeDeadline(conn net.Conn, until time.Time) func() {
	_ = conn.SetDeadline(until) // fails only on a closed connection, on which the next read fails, too
	return func() {
		_ = conn.SetDeadline(time.Time{}) // fails only on a closed connection
	}
}

// acceptHandshake performs the handshake on the accepting side, the server, and returns the kind of the connection. The
// sides send:
//
//	client  kind, nonce
//	server  nonce, proof    only with a key
//	client  proof           only with a key
func acceptHandshake(conn net.Conn, key []byte) (byte, error) {
	defer setHandshakeDeadline(conn, time.Now().Add(handshakeTimeout))()
	hello := make([]byte, 1+nonceBytes)
	if _, err := io.ReadFull(conn, hello); err != nil {
		return 0, err
	}
	kind := hello[0]
	if kind != raftKind && kind != httpKind {
		return 0, fmt.Errorf("no such kind of connection: %q", kind)
	}
	if len(key) == 0 {
		return kind, nil
	}
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return 0, err
	}
	nonces := slices.Concat(hello[1:], nonce)
	if _, err := conn.Write(slices.Concat(nonce, proof(key, serverRole, nonces))); err != nil {
		return 0, err
	}
	clientProof := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, clientProof); err != nil {
		return 0, err
	}
	if !hmac.Equal(clientProof, proof(key, clientRole, nonces)) {
		return 0, errKeyMismatch
	}
	return kind, nil
}

// dial opens a connection of a kind to a server and performs the handshake.
func dial(ctx context.Context, address string, kind byte, key []byte) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := dialHandshake(ctx, conn, kind, key); err != nil {
		_ = conn.Close() // the error of the handshake is returned
		return nil, fmt.Errorf("%s: %w", address, err)
	}
	return conn, nil
}

// dialHandshake performs the handshake on the dialing side, see acceptHandshake.
func dialHandshake(ctx context.Context, conn net.Conn, kind byte, key []byte) error {
	until := time.Now().Add(handshakeTimeout)
	if end, ok := ctx.Deadline(); ok && end.Before(until) {
		until = end
	}
	defer setHandshakeDeadline(conn, until)()
	hello := make([]byte, 1+nonceBytes)
	if _, err := rand.Read(hello); err != nil {
		return err
	}
	hello[0] = kind
	if _, err := conn.Write(hello); err != nil || len(key) == 0 {
		return err
	}
	response := make([]byte, nonceBytes+sha256.Size)
	if _, err := io.ReadFull(conn, response); err != nil {
		return err
	}
	nonces := slices.Concat(hello[1:], response[:nonceBytes])
	if !hmac.Equal(response[nonceBytes:], proof(key, serverRole, nonces)) {
		return errKeyMismatch
	}
	_, err := conn.Write(proof(key, clientRole, nonces))
	return err
}
