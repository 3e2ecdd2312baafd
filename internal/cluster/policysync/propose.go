package policysync

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"ottershed/internal/cluster/policy"
	"ottershed/internal/cluster/raftlog"
)

const maxProposeWait = 15 * time.Second // limit of the wait for a proposal's result, including its checks

// ProposeRequest is an operator's proposal.
type ProposeRequest struct {
	Policy json.RawMessage `json:"policy"`
	// ID is the ID of an earlier request whose result is unknown, to propose the policy again. Default: a new ID.
	ID string `json:"id,omitempty"`
	// The proposal is rejected unless this is the latest version. Default: no condition.
	BaseVersion *policy.Version `json:"base,omitempty"`
	// WaitMS limits the wait for the result, in milliseconds; the proposal is not committed later. Default and upper
	// limit 15 s. A higher value lets a proposal wait for a new leader.
	WaitMS int64 `json:"wait_ms,omitempty"`
}

// ProposeResult is the result of a proposal that became a version.
type ProposeResult struct {
	ID        string         `json:"id"`
	Version   policy.Version `json:"version"`
	Duplicate bool           `json:"again,omitempty"` // whether an earlier request with the ID had become the version
}

// RejectedError reports a proposal that the log has committed and that did not become a version. Nothing has changed.
type RejectedError struct{ Reason string }

func (e *RejectedError) Error() string { return e.Reason }

// UnknownResultError reports a proposal that may or may not have been committed.
type UnknownResultError struct {
	ID  string // ID with which to propose the policy again
	Err error  // why the result is unknown
}

func (e *UnknownResultError) Error() string {
	return fmt.Sprintf("whether it was committed is not known; propose it again with --id %s: %v", e.ID, e.Err)
}

// Unwrap returns why the result is unknown.
func (e *UnknownResultError) Unwrap() error { return e.Err }

// Propose decodes a [ProposeRequest] from JSON, checks its policy here and at all servers that can be reached, commits
// the policy to the log and returns a [ProposeResult]. After an [*UnknownResultError] the proposal may or may not be
// committed; after any other error nothing has changed and nothing will.
func (n *Node) Propose(ctx context.Context, body []byte) (any, error) {
	var request ProposeRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, fmt.Errorf("proposal: %w", err)
	}
	// The wait includes the checks, and the log rejects a proposal after the wait has ended. Otherwise a proposal that a
	// network partition delayed could be committed after the proposer had been notified of a failure.
	ctx, cancel := context.WithTimeout(ctx, request.wait())
	defer cancel()
	policyBody, err := n.checkPolicy(ctx, request.Policy)
	if err != nil {
		return nil, err
	}
	proposal := n.newProposal(&request, policyBody)
	out, err := n.commit(ctx, proposal)
	if err != nil {
		return nil, err
	}
	n.log.WithFields(logrus.Fields{
		"version": uint64(out.Version), "id": proposal.ID, "again": out.Duplicate,
	}).Info("policy proposed")
	return ProposeResult{ID: proposal.ID, Version: out.Version, Duplicate: out.Duplicate}, nil
}

func (r *ProposeRequest) wait() time.Duration {
	wait := time.Duration(r.WaitMS) * time.Millisecond
	if wait <= 0 {
		return maxProposeWait
	}
	return min(wait, maxProposeWait)
}

// checkPolicy returns a policy's encoding for the log, or an error if the policy can't be applied here or at a server
// that can be reached.
func (n *Node) checkPolicy(ctx context.Context, text []byte) ([]byte, error) {
	_, body, err := policy.Parse(text)
	if err != nil {
		return nil, err
	}
	if err := n.check(body); err != nil {
		return nil, err
	}
	if err := n.checkAtServers(ctx, body); err != nil {
		return nil, err
	}
	return body, nil
}

// checkAtServers asks the other servers whether a policy fits their configuration. It ignores a server that can't be
// reached: if the policy does not fit there, the server takes no part in trials and reports the reason in its status.
func (n *Node) checkAtServers(ctx context.Context, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	reasons := make([]string, len(n.cfg.Servers)) // one for each server, so that the order in the error does not vary
	var requests sync.WaitGroup
	for i, server := range n.cfg.Servers {
		if server.Name == n.cfg.Name {
			continue
		}
		requests.Go(func() {
			var reason string
			err := raftlog.Call(ctx, n.httpClient, server.Address, http.MethodPost, "/policy/check", body, &reason)
			if err == nil && reason != "" {
				reasons[i] = server.Name + ": " + reason
			}
		})
	}
	requests.Wait()
	reasons = slices.DeleteFunc(reasons, func(reason string) bool { return reason == "" })
	if len(reasons) > 0 {
		return errors.New(strings.Join(reasons, "; "))
	}
	return nil
}

func (n *Node) newProposal(request *ProposeRequest, policyBody []byte) *policy.Proposal {
	proposal := &policy.Proposal{ID: request.ID, Proposer: n.cfg.Name, ProposedAt: n.clock.Now(), Body: policyBody}
	if proposal.ID == "" {
		proposal.ID = uuid.NewString()
	}
	if request.BaseVersion != nil {
		proposal.RequireBase = true
		proposal.BaseVersion = *request.BaseVersion
	}
	return proposal
}

// commit proposes to the log and waits for the result. The error is a [*RejectedError] or an [*UnknownResultError], or
// that of the encoding.
func (n *Node) commit(ctx context.Context, proposal *policy.Proposal) (*policy.Outcome, error) {
	command, err := msgpack.Marshal(proposal)
	if err != nil {
		return nil, err
	}
	reply, err := n.Command(ctx, Kind, command)
	if err != nil {
		return nil, &UnknownResultError{ID: proposal.ID, Err: err}
	}
	out := &policy.Outcome{}
	if err := json.Unmarshal(reply, out); err != nil {
		return nil, &UnknownResultError{ID: proposal.ID, Err: err}
	}
	if out.Rejection != "" {
		return nil, &RejectedError{Reason: out.Rejection}
	}
	return out, nil
}
