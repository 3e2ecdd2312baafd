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
	joinIntervalDivisor = 4       // of ElectionTimeout: between two attempts to join or rejoin
	maxReadmitBytes     = 1 << 10 // bytes of a readmitRequest
)

// join starts a server without a log: it bootstraps a new log with the other servers, or rejoins theirs.
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
		if !n.sleepJoin(ctx) {
			return ctx.Err()
		}
	}
}

func (n *Node) sleepJoin(ctx context.Context) bool {
	return sleepContext(ctx, n.cfg.ElectionTimeout/joinIntervalDivisor)
}

func (n *Node) peerStates(ctx context.Context) []quorum.PeerState {
	var peers []quorum.PeerState
	for _, s := range n.cfg.Servers {
		if s.Name == n.cfg.Name {
			continue
		}
		var state serverState
		err := Call(ctx, n.httpClient, s.Address, http.MethodGet, "/log/state", nil, &state)
		peers = append(peers, quorum.PeerState{Reached: err == nil, Established: state.Established})
	}
	return peers
}

// rejoin requests one readmission step after another from the leader until this server is a voter again.
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
		if !n.sleepJoin(ctx) {
			return ctx.Err()
		}
	}
}

// serverState is the response to GET /log/state.
type serverState struct {
	Established bool `json:"established"` // the server holds a log
}

func (n *Node) handleState(w http.ResponseWriter, _ *http.Request) {
	r := n.raft.Load()
	WriteJSON(w, serverState{Established: n.hadLog.Load() || r != nil && r.CommitIndex() > 0})
}

// readmitRequest is the body of POST /log/readmit, by which a server that has lost its store rejoins. The response is
// the quorum.Step that the leader has taken.
type readmitRequest struct {
	Name    string `json:"name"`
	Empty   bool   `json:"empty"` // raft has not started
	Applied uint64 `json:"has"`   // index of the newest command that it has applied
}

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

// readmit takes the next step for a server that rejoins.
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

// changeConfiguration starts the change that a step asks for, if the configuration is still that of an index; nil for a
// step without a change.
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
