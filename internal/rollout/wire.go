package rollout

// The wire: JSON-RPC objects, one a line.

import (
	"encoding/json"
	"errors"
	"fmt"

	"ottershed/decision"
)

var (
	errNoMethod    = errors.New("neither a response nor a notification")
	errNotFollowed = errors.New("response: the follow call was rejected")
)

// message is a JSON-RPC object from the rollout controller.
type message struct {
	ID     *uint64         `json:"id"`
	Method string          `json:"method"`
	Params json.RawMessage `json:"params"`
	Result json.RawMessage `json:"result"`
	Error  *struct {
		Message string `json:"message"`
	} `json:"error"`
}

var (
	phases = map[string]decision.Phase{
		"testing": decision.InTrial, "recalling": decision.RollingBack,
		"live": decision.Released, "recalled": decision.RolledBack,
	}
	verdicts = map[decision.Verdict]string{
		decision.VoteNone: "none", decision.VoteAdvance: "on", decision.VoteHold: "hold",
		decision.VoteRollback: "back",
	}
	// voteResults are the results of votes that were not carried out.
	voteResults = map[string]decision.VoteResult{
		"Throttling": decision.VoteThrottled, "ConditionFailed": decision.VoteObsolete,
		"InternalFailure": decision.VoteFailed, "ValidationError": decision.VoteFailed,
	}
)

// DecodeStage reads the stage of the newest build.
func DecodeStage(raw []byte) (decision.StageUpdate, error) {
	var stage struct {
		Image    *int     `json:"image"`
		Ring     int      `json:"ring"`
		Progress string   `json:"progress"`
		Ceiling  *float64 `json:"ceiling"`
		Lag      float64  `json:"lag_ms"`
	}
	if err := json.Unmarshal(raw, &stage); err != nil {
		return decision.StageUpdate{}, fmt.Errorf("stage: %w", err)
	}
	phase, known := phases[stage.Progress]
	complete := known && stage.Image != nil && stage.Ceiling != nil
	if !complete || *stage.Ceiling < 0 || *stage.Ceiling > 1 || stage.Lag < 0 || stage.Ring < 0 {
		return decision.StageUpdate{}, fmt.Errorf(
			"stage: image, ceiling or progress %q missing or unknown, or a figure out of range", stage.Progress)
	}
	return decision.StageUpdate{
		Age: stage.Lag, Build: decision.Build(*stage.Image), Phase: phase, ExposureCap: *stage.Ceiling,
		Stage: stage.Ring,
	}, nil
}

// decodeFlag reads that a client found a response wrong.
func decodeFlag(raw []byte) (decision.ResponseFlagged, error) {
	var flag struct {
		Host string  `json:"host"`
		Type string  `json:"type"`
		Lag  float64 `json:"lag_ms"`
	}
	if err := json.Unmarshal(raw, &flag); err != nil {
		return decision.ResponseFlagged{}, fmt.Errorf("flag: %w", err)
	}
	return decision.ResponseFlagged{
		Endpoint: decision.EndpointID(flag.Host), Class: decision.ClassName(flag.Type), Age: flag.Lag,
	}, nil
}

// event reads a notification; nil for a heartbeat and for unknown methods.
func (m *message) event() (decision.Event, error) {
	switch m.Method {
	case "":
		return nil, errNoMethod
	case "stage":
		return DecodeStage(m.Params)
	case "flag":
		return decodeFlag(m.Params)
	}
	return nil, nil
}

// voteResult reads the response to a vote. A vote with a malformed response may have counted: it has timed out.
func (m *message) voteResult() (decision.StageUpdate, error) {
	if m.Error != nil {
		result, known := voteResults[m.Error.Message]
		if !known {
			return voteFailedWith(decision.VoteTimedOut), fmt.Errorf("response: unknown error %q", m.Error.Message)
		}
		return voteFailedWith(result), nil
	}
	update, err := DecodeStage(m.Result)
	if err != nil {
		return voteFailedWith(decision.VoteTimedOut), err
	}
	update.IsVoteResult = true
	return update, nil
}

// checkFollowed reads the response to the call that subscribes to events.
func (m *message) checkFollowed() error {
	if string(m.Result) != "true" {
		return errNotFollowed
	}
	return nil
}

func encodeFollow(id uint64) []byte {
	return fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%d,"method":"follow"}`+"\n", id)
}

func encodeVote(id uint64, vote decision.Vote, fences []Fence) []byte {
	member := "" // of the call's parameters
	if len(fences) > 0 {
		raw, err := json.Marshal(fences)
		if err != nil {
			panic(err) // strings and numbers can always be encoded
		}
		member = `,"fences":` + string(raw)
	}
	return fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%d,"method":"castBallot","params":`+
		`{"image":%d,"ring":%d,"opinion":%q%s}}`+"\n", id, int(vote.Build), vote.Stage, verdicts[vote.Verdict], member)
}
