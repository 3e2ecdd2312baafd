package rollout

// Wire format: JSON-RPC objects, one on each line.

import (
	"encoding/json"
	"errors"
	"fmt"

	"ottershed/decision"
)

var (
	errNoMethod       = errors.New("message has neither id nor method")
	errFollowRejected = errors.New("follow call rejected")
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
	// voteResults maps error messages to the results of votes that did not count.
	voteResults = map[string]decision.VoteResult{
		"Throttling": decision.VoteThrottled, "ConditionFailed": decision.VoteObsolete,
		"InternalFailure": decision.VoteFailed, "ValidationError": decision.VoteFailed,
	}
)

// DecodeStage decodes the stage of the newest build from the JSON object of a stage notification or a vote's response.
// It returns an error if a required member is missing, a value is out of range, or the progress is unknown.
func DecodeStage(raw []byte) (decision.StageUpdate, error) {
	var stage struct {
		Image    *int     `json:"image"`
		Ring     int      `json:"ring"`
		Progress string   `json:"progress"`
		Ceiling  *float64 `json:"ceiling"`
		Lag      float64  `json:"lag_ms"`
	}
	if err := json.Unmarshal(raw, &stage); err != nil {
		return decision.StageUpdate{}, fmt.Errorf("decode stage: %w", err)
	}
	phase, known := phases[stage.Progress]
	complete := known && stage.Image != nil && stage.Ceiling != nil
	if !complete || *stage.Ceiling < 0 || *stage.Ceiling > 1 || stage.Lag < 0 || stage.Ring < 0 {
		return decision.StageUpdate{}, fmt.Errorf(
			"decode stage: want image, a known progress (got %q), ceiling 0 to 1, ring and lag_ms of 0 or more",
			stage.Progress)
	}
	return decision.StageUpdate{
		Age: stage.Lag, Build: decision.Build(*stage.Image), Phase: phase, ExposureCap: *stage.Ceiling,
		Stage: stage.Ring,
	}, nil
}

// decodeFlag decodes a report that a client found a response to be wrong.
func decodeFlag(raw []byte) (decision.ResponseFlagged, error) {
	var flag struct {
		Host string  `json:"host"`
		Type string  `json:"type"`
		Lag  float64 `json:"lag_ms"`
	}
	if err := json.Unmarshal(raw, &flag); err != nil {
		return decision.ResponseFlagged{}, fmt.Errorf("decode flag: %w", err)
	}
	return decision.ResponseFlagged{
		Endpoint: decision.EndpointID(flag.Host), Class: decision.ClassName(flag.Type), Age: flag.Lag,
	}, nil
}

// event decodes a notification. It returns nil for a heartbeat and for an unknown method.
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

// voteResult decodes the response to a vote. A vote with a malformed response may have counted, so its result is
// VoteTimedOut.
func (m *message) voteResult() (decision.StageUpdate, error) {
	if m.Error != nil {
		result, known := voteResults[m.Error.Message]
		if !known {
			return failedVote(decision.VoteTimedOut), fmt.Errorf("vote response: unknown error %q", m.Error.Message)
		}
		return failedVote(result), nil
	}
	update, err := DecodeStage(m.Result)
	if err != nil {
		return failedVote(decision.VoteTimedOut), err
	}
	update.IsVoteResult = true
	return update, nil
}

// checkFollowResponse returns an error unless the call that subscribes to events was accepted.
func (m *message) checkFollowResponse() error {
	if string(m.Result) != "true" {
		return errFollowRejected
	}
	return nil
}

func encodeFollow(id uint64) []byte {
	return fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%d,"method":"follow"}`+"\n", id)
}

func encodeVote(id uint64, vote decision.Vote, fences []Fence) []byte {
	fencesMember := "" // stays empty without fences
	if len(fences) > 0 {
		raw, err := json.Marshal(fences)
		if err != nil {
			panic(err) // cannot occur: strings and integers can always be encoded
		}
		fencesMember = `,"fences":` + string(raw)
	}
	return fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%d,"method":"castBallot","params":`+
		`{"image":%d,"ring":%d,"opinion":%q%s}}`+"\n", id, int(vote.Build), vote.Stage, verdicts[vote.Verdict],
		fencesMember)
}
