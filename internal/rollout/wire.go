// Package desk speaks with the release desk: votes go out, their fates and what it tells unasked come back.
package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"ottershed/decision"
)

// line is one JSON-RPC object from the desk.
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
	// What was not carried out counts as an error where the module knows no word for it.
	voteResults = map[string]decision.VoteResult{
		"Throttling": decision.VoteThrottled, "ConditionFailed": decision.VoteObsolete,
		"InternalFailure": decision.VoteFailed, "ValidationError": decision.VoteFailed,
	}
)

// DecodeStage reads where the newest build stands.
func DecodeStage(raw []byte) (decision.StageUpdate, error) {
	var in struct {
		Image    *int     `json:"image"`
		Ring     int      `json:"ring"`
		Progress string   `json:"progress"`
		Ceiling  *float64 `json:"ceiling"`
		Lag      float64  `json:"lag_ms"`
	}
	if err := json.Unmarshal(raw, &in); err != nil {
		return decision.StageUpdate{}, fmt.Errorf("stage: %w", err)
	}
	phase, ok := phases[in.Progress]
	if !ok || in.Image == nil || in.Ceiling == nil || *in.Ceiling < 0 || *in.Ceiling > 1 || in.Lag < 0 || in.Ring < 0 {
		return decision.StageUpdate{}, fmt.Errorf("stage: image, ceiling or progress %q missing or unknown, or a figure out of range", in.Progress)
	}
	return decision.StageUpdate{
		Age: in.Lag, Build: decision.Build(*in.Image), Phase: phase, ExposureCap: *in.Ceiling,
		Stage: in.Ring,
	}, nil
}

func decodeFlag(raw []byte) (decision.ResponseFlagged, error) {
	var in struct {
		Host string  `json:"host"`
		Type string  `json:"type"`
		Lag  float64 `json:"lag_ms"`
	}
	if err := json.Unmarshal(raw, &in); err != nil {
		return decision.ResponseFlagged{}, fmt.Errorf("flag: %w", err)
	}
	return decision.ResponseFlagged{Endpoint: decision.EndpointID(in.Host), Class: decision.ClassName(in.Type), Age: in.Lag}, nil
}

// notice reads what the desk tells unasked; nil for a sign of life and for kinds that we don't know.
func (l *message) event() (decision.Event, error) {
	switch l.Method {
	case "":
		return nil, errors.New("neither an answer nor a notice")
	case "stage":
		return DecodeStage(l.Params)
	case "flag":
		return decodeFlag(l.Params)
	}
	return nil, nil
}

// fate reads the answer to a vote. What can't be read may have counted.
func (l *message) voteResult() (decision.StageUpdate, error) {
	if l.Error != nil {
		if result, ok := voteResults[l.Error.Message]; ok {
			return decision.StageUpdate{IsVoteResult: true, VoteResult: result}, nil
		}
		return decision.StageUpdate{IsVoteResult: true, VoteResult: decision.VoteTimedOut}, fmt.Errorf("answer: error %q is not known", l.Error.Message)
	}
	update, err := DecodeStage(l.Result)
	if err != nil {
		return decision.StageUpdate{IsVoteResult: true, VoteResult: decision.VoteTimedOut}, err
	}
	update.IsVoteResult = true
	return update, nil
}

// accepted reads the answer to the call that asks to follow.
func (l *message) checkFollowed() error {
	if string(l.Result) != "true" {
		return errors.New("answer: the desk does not let us follow")
	}
	return nil
}

func encodeFollow(id uint64) []byte {
	return fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%d,"method":"follow"}`+"\n", id)
}

func encodeVote(id uint64, v decision.Vote, fences []Fence) []byte {
	more := ""
	if len(fences) > 0 {
		raw, err := json.Marshal(fences)
		if err != nil {
			panic(err) // texts and numbers
		}
		more = `,"fences":` + string(raw)
	}
	return fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%d,"method":"castBallot","params":`+
		`{"image":%d,"ring":%d,"opinion":%q%s}}`+"\n", id, int(v.Build), v.Stage, verdicts[v.Verdict], more)
}
