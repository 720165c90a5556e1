package generation

import (
	"encoding/json"

	"github.com/buger/jsonparser"

	"filbertdeck/internal/decide/delivery"
	"filbertdeck/internal/failure"
)

// engineFrame is the data of one event of an engine (docs/protocols.md). Its
// raw fields are JSON as the engine wrote it; their buffers are kept from one
// frame to the next, so that a token costs no memory of its own.
type engineFrame struct {
	Generation   json.RawMessage
	Offset       uint64
	Text         json.RawMessage
	Tokens       uint64
	FinishReason json.RawMessage
}

var (
	doneData = []byte("[DONE]")
	jsonNull = []byte("null")
)

// The fields of an event, in the order of framePaths.
const (
	fieldGeneration = iota
	fieldOffset
	fieldText
	fieldTokens
	fieldFinishReason
)

var framePaths = [][]string{{"generation"}, {"offset"}, {"text"}, {"tokens"}, {"finish_reason"}}

// parse reads one event's data into f. The data is checked as JSON first: its
// text goes on to the caller as it stands, and a stray control character in it
// would tear the caller's stream apart.
func (f *engineFrame) parse(data []byte) error {
	if !json.Valid(data) {
		return failure.New(failure.KindTargetFailed, "the target sent an event that is not JSON").Unknown()
	}
	f.Offset, f.Tokens = 0, 0
	f.Generation, f.Text, f.FinishReason = f.Generation[:0], f.Text[:0], f.FinishReason[:0]
	var fault error
	jsonparser.EachKey(data, func(field int, value []byte, kind jsonparser.ValueType, err error) {
		if err == nil {
			err = f.set(field, value, kind)
		}
		if err != nil {
			fault = err
		}
	}, framePaths...)
	if fault != nil {
		return failure.Wrap(fault, failure.KindTargetFailed, "the target sent an event that cannot be read").Unknown()
	}
	if len(f.Text) == 0 {
		return failure.New(failure.KindTargetFailed, "the target sent an event without text").Unknown()
	}
	return nil
}

func (f *engineFrame) set(field int, value []byte, kind jsonparser.ValueType) error {
	switch field {
	case fieldGeneration:
		return setString(&f.Generation, value, kind)
	case fieldText:
		return setString(&f.Text, value, kind)
	case fieldFinishReason:
		if kind == jsonparser.Null {
			return nil
		}
		return setString(&f.FinishReason, value, kind)
	case fieldOffset:
		return setCount(&f.Offset, value)
	case fieldTokens:
		return setCount(&f.Tokens, value)
	}
	return nil
}

// setString keeps a string with its quotes and escapes.
func setString(dst *json.RawMessage, value []byte, kind jsonparser.ValueType) error {
	if kind != jsonparser.String {
		return failure.New(failure.KindTargetFailed, "a field is no string")
	}
	*dst = append(append(append((*dst)[:0], '"'), value...), '"')
	return nil
}

func setCount(dst *uint64, value []byte) error {
	n, err := jsonparser.ParseInt(value)
	if err != nil || n < 0 {
		return failure.New(failure.KindTargetFailed, "a field is no count")
	}
	*dst = uint64(n)
	return nil
}

func (f *engineFrame) finished() bool {
	return len(f.FinishReason) > 0
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
