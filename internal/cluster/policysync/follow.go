package policysync

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"ottershed/internal/cluster/policy"
	"ottershed/internal/cluster/raftlog"
)

const (
	longPoll = 10 * time.Second // time after which a server responds to a poll without a newer version

	pollRetryDivisor = 4 // the pause after a failed poll is the election timeout divided by pollRetryDivisor
)

// The tags of the messages below, and of the types that they contain, are part of the protocol between processes of
// different releases. They don't change when a field is renamed.

// sinceRequest is a watcher's poll.
type sinceRequest struct {
	Self    MemberStatus   `msgpack:"Self"`    // the watcher's own status
	Version policy.Version `msgpack:"Version"` // the latest version that the watcher knows
	Confirm bool           `msgpack:"Confirm"` // the response must include everything that is committed now
}

// sinceResponse is a server's response to a poll.
type sinceResponse struct {
	Records   []policy.Record `msgpack:"Records"`   // newer than the watcher's version, oldest first
	Newest    policy.Version  `msgpack:"Newest"`    // the latest version that the server knows
	Confirmed bool            `msgpack:"Confirmed"` // all that was committed when the poll arrived is applied
}

// errNotConfirmed reports that the polled server could not reach a leader in time.
var errNotConfirmed = errors.New("the server could not confirm that its log is up to date")

// follow polls one server for new versions until ctx ends. After each failure it changes to the next server.
func (n *Node) follow(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		server := n.cfg.Servers[failures%len(n.cfg.Servers)]
		err := n.poll(ctx, server.Address)
		if err == nil || ctx.Err() != nil {
			continue
		}
		failures++
		n.log.WithError(err).WithField("server", server.Name).Debug("policy: poll failed")
		select {
		case <-ctx.Done():
		case <-time.After(n.cfg.ElectionTimeout / pollRetryDivisor):
		}
	}
}

// poll polls one server and applies the new versions. While trials are closed here, the poll asks for confirmation.
func (n *Node) poll(ctx context.Context, address string) error {
	current := n.applier.current()
	request := sinceRequest{
		Self: n.memberStatus(current), Version: current.latest, Confirm: !current.decision.TrialsAdmitted,
	}
	response, err := n.requestSince(ctx, address, &request)
	if err != nil {
		return err
	}
	if err := n.applier.addRecords(response.Records); err != nil {
		return err
	}
	if response.Confirmed {
		n.applier.markCaughtUp()
	} else if request.Confirm {
		return errNotConfirmed
	}
	return nil
}

func (n *Node) requestSince(ctx context.Context, address string, request *sinceRequest) (*sinceResponse, error) {
	raw, err := msgpack.Marshal(request)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, longPoll+confirmElectionTimeouts*n.cfg.ElectionTimeout+requestTimeout)
	defer cancel()
	var body []byte
	if err := raftlog.Call(ctx, n.httpClient, address, http.MethodPost, "/policy/since", raw, &body); err != nil {
		return nil, err
	}
	response := &sinceResponse{}
	if err := msgpack.Unmarshal(body, response); err != nil {
		return nil, fmt.Errorf("decode poll response from %s: %w", address, err)
	}
	return response, nil
}
