package platform

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	pingInterval    = time.Second // of a follower's connection; also the time that a write to it may take
	maxVotes        = 1 << 16     // that are kept; later ones are answered but not recorded
	maxMessageBytes = 8 << 10

	codeInvalidParams = -32602 // of every JSON-RPC error that the controller answers with
)

// validVerdicts that a ballot may hold.
var validVerdicts = []string{"none", "on", "hold", "back"}

// Stage is where the newest build stands in its rollout, as the controller notifies it.
type Stage struct {
	Image    int     `json:"image"`    // the build
	Number   int     `json:"ring"`     // the stage, from 0
	Progress string  `json:"progress"` // such as "testing" or "live"
	Ceiling  float64 `json:"ceiling"`  // exposure limit: the share of requests that may go to the build, 0 to 1
	AgeMS    float64 `json:"lag_ms"`   // since the build entered the stage; set when a message is sent
}

// Vote is a vote as the controller received it.
type Vote struct {
	At            time.Time
	RemoteAddress string // the connection's address
	Build         int    `json:"image"`
	Stage         int    `json:"ring"`
	Verdict       string `json:"opinion"`
	Fences        []struct {
		Work  string `json:"work"`
		Token uint64 `json:"token"`
	} `json:"fences"`
	Counted bool // it was for the current build and stage, and not fenced
	Fenced  bool // rejected, for a newer token of one of its leases was seen
}

// Controller is a stand-in for the rollout controller. It speaks JSON-RPC 2.0 with one object a line, counts votes and
// never changes the stage by itself.
type Controller struct {
	listener net.Listener
	closing  chan struct{}

	mu           sync.Mutex
	stage        Stage
	stageSetAt   time.Time // when the stage was set
	followers    map[net.Conn]bool
	votes        []Vote
	newestTokens map[string]uint64 // the highest seen, by lease
}

func newController() (*Controller, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("stand-in: %w", err)
	}
	ctl := &Controller{
		listener: listener, closing: make(chan struct{}), stage: Stage{Image: 1, Progress: "live", Ceiling: 1},
		stageSetAt: time.Now(), followers: map[net.Conn]bool{}, newestTokens: map[string]uint64{},
	}
	go ctl.accept()
	go ctl.pingFollowers()
	return ctl, nil
}

// Address is where the controller listens.
func (ctl *Controller) Address() string { return ctl.listener.Addr().String() }

func (ctl *Controller) close() {
	close(ctl.closing)
	_ = ctl.listener.Close() // nothing is left to do for a listener that fails to close
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	for conn := range ctl.followers {
		_ = conn.Close() // likewise
	}
}

// Ballots are the votes that were received, in order.
func (ctl *Controller) Ballots() []Vote {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	return slices.Clone(ctl.votes)
}

// SetStage changes the stage and notifies all followers.
func (ctl *Controller) SetStage(s Stage) {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	ctl.stage, ctl.stageSetAt = s, time.Now()
	for conn := range ctl.followers {
		ctl.notify(conn, "stage", ctl.currentStage())
	}
}

// currentStage is the stage with its present lag. The caller has the lock.
func (ctl *Controller) currentStage() Stage {
	stage := ctl.stage
	stage.AgeMS = float64(time.Since(ctl.stageSetAt)) / float64(time.Millisecond)
	return stage
}

// notify sends a message that has no answer. The caller has the lock.
func (ctl *Controller) notify(conn net.Conn, method string, params any) {
	ctl.writeLine(conn, map[string]any{"jsonrpc": "2.0", "method": method, "params": params})
}

// writeLine sends an object, and closes a connection whose reader has fallen behind. The caller has the lock.
func (ctl *Controller) writeLine(conn net.Conn, object any) {
	raw, err := json.Marshal(object)
	if err == nil {
		_ = conn.SetWriteDeadline(time.Now().Add(pingInterval)) // the write fails where this does
		_, err = conn.Write(append(raw, '\n'))
	}
	if err != nil {
		_ = conn.Close() // it is given up
		delete(ctl.followers, conn)
	}
}

// pingFollowers sends the periodic message by which followers know that the controller is available.
func (ctl *Controller) pingFollowers() {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctl.closing:
			return
		case <-ticker.C:
		}
		ctl.mu.Lock()
		for conn := range ctl.followers {
			ctl.notify(conn, "ping", struct{}{})
		}
		ctl.mu.Unlock()
	}
}

func (ctl *Controller) accept() {
	for {
		conn, err := ctl.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err == nil {
			go ctl.serve(conn)
		}
	}
}

// request is a message of a balancer.
type request struct {
	ID     json.RawMessage `json:"id"`
	Method string          `json:"method"`
	Params json.RawMessage `json:"params"`
}

// serve answers the messages of one connection until it ends or a line is no JSON object.
func (ctl *Controller) serve(conn net.Conn) {
	defer ctl.disconnect(conn)
	lines := bufio.NewScanner(conn)
	lines.Buffer(nil, maxMessageBytes)
	for lines.Scan() {
		var req request
		if json.Unmarshal(lines.Bytes(), &req) != nil {
			return
		}
		ctl.handle(conn, req)
	}
}

func (ctl *Controller) disconnect(conn net.Conn) {
	ctl.mu.Lock()
	delete(ctl.followers, conn)
	ctl.mu.Unlock()
	_ = conn.Close() // its peer has left already
}

func (ctl *Controller) handle(conn net.Conn, req request) {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	response := map[string]any{"jsonrpc": "2.0", "id": req.ID}
	switch req.Method {
	case "follow":
		response["result"] = true
		ctl.writeLine(conn, response)
		ctl.followers[conn] = true
		ctl.notify(conn, "stage", ctl.currentStage())
		return
	case "castBallot":
		fault := ctl.recordVote(conn, req.Params)
		if fault == "" {
			response["result"] = ctl.currentStage()
		} else {
			response["error"] = rpcError(fault)
		}
	default:
		response["error"] = rpcError("ValidationError")
	}
	ctl.writeLine(conn, response)
}

func rpcError(fault string) map[string]any {
	return map[string]any{"code": codeInvalidParams, "message": fault}
}

// recordVote records a vote and returns why it does not count, empty where it does. The caller has the lock.
func (ctl *Controller) recordVote(conn net.Conn, params json.RawMessage) (fault string) {
	var ballot Vote
	if json.Unmarshal(params, &ballot) != nil || !slices.Contains(validVerdicts, ballot.Verdict) {
		return "ValidationError"
	}
	ballot.At, ballot.RemoteAddress = time.Now(), conn.RemoteAddr().String()
	for _, fence := range ballot.Fences {
		ballot.Fenced = ballot.Fenced || fence.Token < ctl.newestTokens[fence.Work]
		ctl.newestTokens[fence.Work] = max(ctl.newestTokens[fence.Work], fence.Token)
	}
	ballot.Counted = !ballot.Fenced && ballot.Build == ctl.stage.Image && ballot.Stage == ctl.stage.Number
	if len(ctl.votes) < maxVotes {
		ctl.votes = append(ctl.votes, ballot)
	}
	if !ballot.Counted {
		return "ConditionFailed"
	}
	return ""
}
