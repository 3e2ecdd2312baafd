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
	pingInterval    = time.Second // interval of pings to a follower, and the time limit of a write to it
	maxVotes        = 1 << 16     // limit of recorded votes; later votes are answered but not recorded
	maxMessageBytes = 8 << 10

	codeInvalidParams = -32602 // JSON-RPC "Invalid params", the code of all error responses
)

// validVerdicts are the values of a vote's verdict: none, advance ("on"), hold, rollback ("back").
var validVerdicts = []string{"none", "on", "hold", "back"}

// Stage is the rollout state of the newest build, as the controller sends it.
type Stage struct {
	Build         int     `json:"image"`    // number of the build
	Number        int     `json:"ring"`     // number of the stage, from 0
	Progress      string  `json:"progress"` // progress of the rollout, such as "testing" or "live"
	ExposureLimit float64 `json:"ceiling"`  // exposure limit: maximum share of requests for the build, 0 to 1
	AgeMS         float64 `json:"lag_ms"`   // time since the build entered the stage; set when a message is sent
}

// Vote is a vote as the controller received it.
type Vote struct {
	At            time.Time
	RemoteAddress string // address of the balancer's connection
	Build         int    `json:"image"`
	Stage         int    `json:"ring"`
	Verdict       string `json:"opinion"`
	FencingTokens []struct {
		Work  string `json:"work"`
		Token uint64 `json:"token"`
	} `json:"fences"`
	Counted bool // whether the vote was for the current build and stage, and not fenced
	Fenced  bool // whether a newer token of one of the leases was seen before
}

// Controller is a fake rollout controller. It speaks JSON-RPC 2.0 with one object per line and records votes. The stage
// changes only by SetStage.
type Controller struct {
	listener net.Listener
	closing  chan struct{}

	mu           sync.Mutex
	stage        Stage
	stageSetAt   time.Time         // time of the last SetStage
	followers    map[net.Conn]bool // connections that have sent the follow call and get stages and pings
	votes        []Vote
	newestTokens map[string]uint64 // highest fencing token that a vote carried, by lease name
}

func newController() (*Controller, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("start fake controller: %w", err)
	}
	ctl := &Controller{
		listener: listener, closing: make(chan struct{}), stage: Stage{Build: 1, Progress: "live", ExposureLimit: 1},
		stageSetAt: time.Now(), followers: map[net.Conn]bool{}, newestTokens: map[string]uint64{},
	}
	go ctl.accept()
	go ctl.pingFollowers()
	return ctl, nil
}

// Address returns the address at which the controller listens.
func (ctl *Controller) Address() string { return ctl.listener.Addr().String() }

func (ctl *Controller) close() {
	close(ctl.closing)
	_ = ctl.listener.Close() // a failed close leaves nothing to clean up
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	for conn := range ctl.followers {
		_ = conn.Close() // a failed close leaves nothing to clean up
	}
}

// Votes returns the recorded votes in the order of their arrival.
func (ctl *Controller) Votes() []Vote {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	return slices.Clone(ctl.votes)
}

// SetStage changes the stage and sends it to all followers, the connections on which a balancer has sent the follow call.
func (ctl *Controller) SetStage(s Stage) {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	ctl.stage, ctl.stageSetAt = s, time.Now()
	for conn := range ctl.followers {
		ctl.notify(conn, "stage", ctl.currentStage())
	}
}

// currentStage returns the stage with its current age. The caller must hold ctl.mu.
func (ctl *Controller) currentStage() Stage {
	stage := ctl.stage
	stage.AgeMS = float64(time.Since(ctl.stageSetAt)) / float64(time.Millisecond)
	return stage
}

// notify sends a JSON-RPC notification. The caller must hold ctl.mu.
func (ctl *Controller) notify(conn net.Conn, method string, params any) {
	ctl.writeLine(conn, map[string]any{"jsonrpc": "2.0", "method": method, "params": params})
}

// writeLine sends an object as one line, and closes the connection if the write fails or times out. The caller must
// hold ctl.mu.
func (ctl *Controller) writeLine(conn net.Conn, object any) {
	raw, err := json.Marshal(object)
	if err == nil {
		_ = conn.SetWriteDeadline(time.Now().Add(pingInterval)) // an error here makes the write fail as well
		_, err = conn.Write(append(raw, '\n'))
	}
	if err != nil {
		_ = conn.Close() // the connection is abandoned
		delete(ctl.followers, conn)
	}
}

// pingFollowers sends the periodic notification by which followers detect that the controller is available.
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

// request is a JSON-RPC request of a balancer.
type request struct {
	ID     json.RawMessage `json:"id"`
	Method string          `json:"method"`
	Params json.RawMessage `json:"params"`
}

// serve handles the requests of one connection until it ends or a line is not a JSON object.
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
	_ = conn.Close() // the connection has ended or sent an invalid line
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
		message := ctl.recordVote(conn, req.Params)
		if message == "" {
			response["result"] = ctl.currentStage()
		} else {
			response["error"] = rpcError(message)
		}
	default:
		response["error"] = rpcError("ValidationError")
	}
	ctl.writeLine(conn, response)
}

func rpcError(message string) map[string]any {
	return map[string]any{"code": codeInvalidParams, "message": message}
}

// recordVote records a vote and returns the error message for a vote that does not count, or "". The caller must hold
// ctl.mu.
func (ctl *Controller) recordVote(conn net.Conn, params json.RawMessage) (message string) {
	var vote Vote
	if json.Unmarshal(params, &vote) != nil || !slices.Contains(validVerdicts, vote.Verdict) {
		return "ValidationError"
	}
	vote.At, vote.RemoteAddress = time.Now(), conn.RemoteAddr().String()
	for _, fence := range vote.FencingTokens {
		vote.Fenced = vote.Fenced || fence.Token < ctl.newestTokens[fence.Work]
		ctl.newestTokens[fence.Work] = max(ctl.newestTokens[fence.Work], fence.Token)
	}
	vote.Counted = !vote.Fenced && vote.Build == ctl.stage.Build && vote.Stage == ctl.stage.Number
	if len(ctl.votes) < maxVotes {
		ctl.votes = append(ctl.votes, vote)
	}
	if !vote.Counted {
		return "ConditionFailed"
	}
	return ""
}
