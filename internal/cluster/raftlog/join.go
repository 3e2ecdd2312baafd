package raftlog

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/hashicorp/raft"
	"github.com/sirupsen/logrus"

	"ottershed/internal/cluster/quorum"
)

const (
	joinIntervalDivisor = 4       // attempts to join or rejoin per ElectionTimeout
	maxReadmitBytes     = 1 << 10 // maximum size of a readmitRequest
)

// join starts a server without a log: it bootstraps a new log with the other servers, or rejoins their log. It returns
// an error if raft does not start, or when ctx ends.
func (n *Node) join(ctx context.Context) error {
	for {
		peers := n.peerStates(ctx)
		switch quorum.DecideStart(len(peers), peers) {
		case quorum.Bootstrap:
			return n.startRaft(true)
		case quorum.Rejoin:
			n.log.Warn("raft: no log in the store, rejoining the log of the other servers")
			return n.rejoin(ctx)
		case quorum.Wait: // too few servers have responded
		}
		if !n.sleepJoinInterval(ctx) {
			return ctx.Err()
		}
	}
}

// sleepJoinInterval waits between two attempts to join or rejoin. It returns false if ctx ends before.
func (n *Node) sleepJoinInterval(ctx context.Context) bool {
	return sleepContext(ctx, n.cfg.ElectionTimeout/joinIntervalDivisor)
}

// peerStates requests the states of the other servers. A server that does not respond is returned as not reachable.
func (n *Node) peerStates(ctx context.Context) []quorum.PeerState {
	var peers []quorum.PeerState
	for _, s := range n.cfg.Servers {
		if s.Name == n.cfg.Name {
			continue
		}
		var state serverState
		err := Call(ctx, n.httpClient, s.Address, http.MethodGet, "/log/state", nil, &state)
		peers = append(peers, quorum.PeerState{Reachable: err == nil, Established: state.Established})
	}
	return peers
}

// rejoin requests readmission steps from the leader until this server is a voter again. It starts raft when the leader
// has added the server as a learner.
func (n *Node) rejoin(ctx context.Context) error {
	for {
		request := readmitRequest{Name: n.cfg.Name, Empty: n.raft.Load() == nil}
		if !request.Empty {
			request.Applied = n.fsm.lastApplied.Load()
		}
		var step quorum.Step
		err := n.callLeader(ctx, "/log/readmit", request, &step)
		if err == nil && step == quorum.CatchUp && request.Empty {
			if err := n.startRaft(false); err != nil {
				return err
			}
		}
		if err == nil && step == quorum.Done {
			n.log.Info("raft: rejoined as a voter")
			return nil
		}
		if !n.sleepJoinInterval(ctx) {
			return ctx.Err()
		}
	}
}

// serverState is the response to GET /log/state.
type serverState struct {
	Established bool `json:"established"` // the server has a log
}

// handleState handles GET /log/state.
func (n *Node) handleState(w http.ResponseWriter, _ *http.Request) {
	r := n.raft.Load()
	WriteJSON(w, serverState{Established: n.hadExistingLog.Load() || r != nil && r.CommitIndex() > 0})
}

// readmitRequest is the body of POST /log/readmit, by which a server that has lost its store rejoins. The response is
// the quorum.Step that the leader has carried out.
type readmitRequest struct {
	Name    string `json:"name"`
	Empty   bool   `json:"empty"` // the server has not started raft
	Applied uint64 `json:"has"`   // index of the newest command that the server has applied
}

// handleReadmit handles POST /log/readmit.
func (n *Node) handleReadmit(w http.ResponseWriter, req *http.Request) {
	var request readmitRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxReadmitBytes)).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if _, err := n.address(request.Name); err != nil || request.Name == n.cfg.Name {
		http.Error(w, "not a server that could be taken in", http.StatusBadRequest)
		return
	}
	leader := n.requireLeader(w)
	if leader == nil {
		return
	}
	step, err := n.readmit(leader, request)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	WriteJSON(w, step)
}

// readmit carries out the next step for a server that rejoins, and returns the step.
func (n *Node) readmit(leader *raft.Raft, request readmitRequest) (quorum.Step, error) {
	current := leader.GetConfiguration()
	if err := current.Error(); err != nil {
		return quorum.NoStep, err
	}
	id := raft.ServerID(request.Name)
	membership := membershipOf(current.Configuration(), id)
	step := quorum.Readmit(membership, request.Empty, request.Applied, n.fsm.lastApplied.Load())
	change := changeConfiguration(leader, step, id, current.Index(), 2*n.cfg.ElectionTimeout)
	if change == nil {
		return step, nil
	}
	if err := change.Error(); err != nil {
		return step, err
	}
	n.log.WithFields(logrus.Fields{"server": request.Name, "step": int(step)}).Info("raft: configuration changed")
	return step, nil
}

// membershipOf returns a server's role in a configuration; quorum.Absent if it has none.
func membershipOf(configuration raft.Configuration, id raft.ServerID) quorum.Membership {
	membership := quorum.Absent
	for _, s := range configuration.Servers {
		if s.ID != id {
			continue
		}
		membership = quorum.Learner
		if s.Suffrage == raft.Voter {
			membership = quorum.Voter
		}
	}
	return membership
}

// changeConfiguration starts the configuration change of a step. The change fails if the configuration is no longer the
// one at index. It returns nil for a step without a configuration change.
func changeConfiguration(
	leader *raft.Raft, step quorum.Step, id raft.ServerID, index uint64, timeout time.Duration,
) raft.IndexFuture {
	switch step {
	case quorum.Remove:
		return leader.RemoveServer(id, index, timeout)
	case quorum.AddLearner:
		return leader.AddNonvoter(id, raft.ServerAddress(id), index, timeout)
	case quorum.Promote:
		return leader.AddVoter(id, raft.ServerAddress(id), index, timeout)
	case quorum.NoStep, quorum.CatchUp, quorum.Done:
	}
	return nil
}
