// Package desk speaks with the release desk: votes go out, their fates and what it tells unasked come back.
package desk

import (
	"encoding/json"
	"errors"
	"fmt"

	"ottershed/logic"
)

// line is one JSON-RPC object from the desk.
type line struct {
	ID     *uint64         `json:"id"`
	Method string          `json:"method"`
	Params json.RawMessage `json:"params"`
	Result json.RawMessage `json:"result"`
	Error  *struct {
		Message string `json:"message"`
	} `json:"error"`
}

var (
	phases = map[string]logic.Phase{"testing": logic.OnTrial, "recalling": logic.GoingBack,
		"live": logic.Released, "recalled": logic.Withdrawn}
	verdicts = map[logic.Verdict]string{logic.VoteNone: "none", logic.VoteOn: "on", logic.VoteHold: "hold",
		logic.VoteBack: "back"}
	// What was not carried out counts as an error where the module knows no word for it.
	fates = map[string]logic.VoteFate{"Throttling": logic.VoteFull, "ConditionFailed": logic.VoteMoot,
		"InternalFailure": logic.VoteError, "ValidationError": logic.VoteError}
)

// DecodeStage reads where the newest build stands.
func DecodeStage(raw []byte) (logic.StageNews, error) {
	var in struct {
		Image    *int     `json:"image"`
		Ring     int      `json:"ring"`
		Progress string   `json:"progress"`
		Ceiling  *float64 `json:"ceiling"`
		Lag      float64  `json:"lag_ms"`
	}
	if err := json.Unmarshal(raw, &in); err != nil {
		return logic.StageNews{}, fmt.Errorf("stage: %w", err)
	}
	phase, ok := phases[in.Progress]
	if !ok || in.Image == nil || in.Ceiling == nil || *in.Ceiling < 0 || *in.Ceiling > 1 || in.Lag < 0 || in.Ring < 0 {
		return logic.StageNews{}, fmt.Errorf("stage: image, ceiling or progress %q missing or unknown, or a figure out of range", in.Progress)
	}
	return logic.StageNews{Age: in.Lag, Build: logic.Build(*in.Image), Phase: phase, Cap: *in.Ceiling,
		Stage: in.Ring}, nil
}

func decodeFlag(raw []byte) (logic.Flagged, error) {
	var in struct {
		Host string  `json:"host"`
		Type string  `json:"type"`
		Lag  float64 `json:"lag_ms"`
	}
	if err := json.Unmarshal(raw, &in); err != nil {
		return logic.Flagged{}, fmt.Errorf("flag: %w", err)
	}
	return logic.Flagged{Node: logic.NodeID(in.Host), Group: logic.GroupName(in.Type), Age: in.Lag}, nil
}

// notice reads what the desk tells unasked; nil for a sign of life and for kinds that we don't know.
func (l *line) notice() (logic.Event, error) {
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
func (l *line) fate() (logic.StageNews, error) {
	if l.Error != nil {
		if fate, ok := fates[l.Error.Message]; ok {
			return logic.StageNews{ToVote: true, VoteFate: fate}, nil
		}
		return logic.StageNews{ToVote: true, VoteFate: logic.VoteTimeout}, fmt.Errorf("answer: error %q is not known", l.Error.Message)
	}
	news, err := DecodeStage(l.Result)
	if err != nil {
		return logic.StageNews{ToVote: true, VoteFate: logic.VoteTimeout}, err
	}
	news.ToVote = true
	return news, nil
}

// accepted reads the answer to the call that asks to follow.
func (l *line) accepted() error {
	if string(l.Result) != "true" {
		return errors.New("answer: the desk does not let us follow")
	}
	return nil
}

func encodeFollow(id uint64) []byte {
	return fmt.Appendf(nil, `{"jsonrpc":"2.0","id":%d,"method":"follow"}`+"\n", id)
}

func encodeVote(id uint64, v logic.Vote, fences []Fence) []byte {
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
