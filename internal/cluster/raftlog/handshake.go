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

// Kinds of connections between servers: the first byte that the dialing side sends.
const (
	raftKind = 'r'
	httpKind = 'h'
)

const (
	nonceBytes       = 16
	handshakeTimeout = 5 * time.Second
)

// Roles in a proof, so that one side's proof is of no use to the other.
const (
	clientRole = 'c'
	serverRole = 's'
)

var errKey = errors.New("the other side has another key")

// proof shows the possession of the key for the nonces of both sides, the client's first.
func proof(key []byte, role byte, nonces []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte{role})
	mac.Write(nonces)
	return mac.Sum(nil)
}

// limitHandshake bounds the time of a handshake and returns a function that lifts the bound.
func limitHandshake(conn net.Conn, until time.Time) func() {
	_ = conn.SetDeadline(until) // fails on a closed connection only, as the next read does
	return func() {
		_ = conn.SetDeadline(time.Time{}) // likewise
	}
}

// acceptHandshake is the accepting side's part: it returns the kind of the connection.
//
//	client  kind, nonce
//	server  nonce, proof    only with a key
//	client  proof           only with a key
func acceptHandshake(conn net.Conn, key []byte) (byte, error) {
	defer limitHandshake(conn, time.Now().Add(handshakeTimeout))()
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
	theirs := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, theirs); err != nil {
		return 0, err
	}
	if !hmac.Equal(theirs, proof(key, clientRole, nonces)) {
		return 0, errKey
	}
	return kind, nil
}

// dial opens a connection of a kind.
func dial(ctx context.Context, address string, kind byte, key []byte) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := handshake(ctx, conn, kind, key); err != nil {
		_ = conn.Close() // the error of the handshake is the cause
		return nil, fmt.Errorf("%s: %w", address, err)
	}
	return conn, nil
}

// handshake is the dialing side's part, see acceptHandshake.
func handshake(ctx context.Context, conn net.Conn, kind byte, key []byte) error {
	until := time.Now().Add(handshakeTimeout)
	if end, ok := ctx.Deadline(); ok && end.Before(until) {
		until = end
	}
	defer limitHandshake(conn, until)()
	hello := make([]byte, 1+nonceBytes)
	if _, err := rand.Read(hello); err != nil {
		return err
	}
	hello[0] = kind
	if _, err := conn.Write(hello); err != nil || len(key) == 0 {
		return err
	}
	back := make([]byte, nonceBytes+sha256.Size)
	if _, err := io.ReadFull(conn, back); err != nil {
		return err
	}
	nonces := slices.Concat(hello[1:], back[:nonceBytes])
	if !hmac.Equal(back[nonceBytes:], proof(key, serverRole, nonces)) {
		return errKey
	}
	_, err := conn.Write(proof(key, clientRole, nonces))
	return err
}
