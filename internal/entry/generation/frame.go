package generation

import (
	"bytes"
	"encoding/json"

	"filbertdeck/internal/decide/delivery"
	"filbertdeck/internal/failure"
)

// engineFrame is the data of one event of an engine (docs/protocols.md). Its
// raw fields keep their capacity from one frame to the next.
type engineFrame struct {
	Generation   json.RawMessage `json:"generation"`
	Offset       uint64          `json:"offset"`
	Text         json.RawMessage `json:"text"`
	Tokens       uint64          `json:"tokens"`
	FinishReason json.RawMessage `json:"finish_reason"`
}

var (
	doneData   = []byte("[DONE]")
	jsonNull   = []byte("null")
	jsonString = []byte(`"`)
)

// parse reads one event's data into f.
func (f *engineFrame) parse(data []byte) error {
	f.Offset, f.Tokens = 0, 0
	f.Generation, f.Text, f.FinishReason = f.Generation[:0], f.Text[:0], f.FinishReason[:0]
	if err := json.Unmarshal(data, f); err != nil {
		return failure.Wrap(err, failure.KindTargetFailed, "the target sent an event that cannot be read")
	}
	if !bytes.HasPrefix(f.Text, jsonString) {
		return failure.New(failure.KindTargetFailed, "the target sent an event without text")
	}
	return nil
}

func (f *engineFrame) finished() bool {
	return len(f.FinishReason) > 0 && !bytes.Equal(f.FinishReason, jsonNull)
}

// frame gives what the order check needs. quoted is the generation's id as it
// stands in JSON; only a frame of another generation costs a string.
func (f *engineFrame) frame(generation, quoted string) delivery.Frame {
	d := delivery.Frame{Offset: f.Offset, Tokens: f.Tokens, Finish: f.finished()}
	if string(f.Generation) == quoted {
		d.Generation = generation
	} else {
		d.Generation = string(f.Generation)
	}
	return d
}
