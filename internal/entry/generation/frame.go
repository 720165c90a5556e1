package generation

import (
	"encoding/json"

	"github.com/buger/jsonparser"

	"filbertdeck/internal/decide/delivery"
	"filbertdeck/internal/failure"
)

// engineFrame is the data of one engine event (docs/protocols.md). Its raw
// fields hold JSON as sent by the engine; their buffers are reused for the next
// frame, so that a token needs no allocation.
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

// The fields of an event, in the order of fieldPaths.
const (
	fieldGeneration = iota
	fieldOffset
	fieldText
	fieldTokens
	fieldFinishReason
)

var fieldPaths = [][]string{{"generation"}, {"offset"}, {"text"}, {"tokens"}, {"finish_reason"}}

// parse parses one event's data into f. The data must be valid JSON, because its
// text is copied to the caller as is, and a raw control character in it would
// break the framing of the caller's stream.
func (f *engineFrame) parse(data []byte) error {
	if !json.Valid(data) {
		return failure.New(failure.KindTargetFailed, "the target sent an event that is not JSON").WithExecutionUnknown()
	}
	f.Offset, f.Tokens = 0, 0
	f.Generation, f.Text, f.FinishReason = f.Generation[:0], f.Text[:0], f.FinishReason[:0]
	var parseErr error
	jsonparser.EachKey(data, func(field int, value []byte, kind jsonparser.ValueType, err error) {
		if err == nil {
			err = f.setField(field, value, kind)
		}
		if err != nil {
			parseErr = err
		}
	}, fieldPaths...)
	if parseErr != nil {
		return failure.Wrap(parseErr, failure.KindTargetFailed, "the target sent an invalid event").WithExecutionUnknown()
	}
	if len(f.Text) == 0 {
		return failure.New(failure.KindTargetFailed, "the target sent an event without text").WithExecutionUnknown()
	}
	return nil
}

func (f *engineFrame) setField(field int, value []byte, kind jsonparser.ValueType) error {
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

// setString copies a string with its quotes and escape sequences.
func setString(dst *json.RawMessage, value []byte, kind jsonparser.ValueType) error {
	if kind != jsonparser.String {
		return failure.New(failure.KindTargetFailed, "a field is not a string")
	}
	*dst = append(append(append((*dst)[:0], '"'), value...), '"')
	return nil
}

func setCount(dst *uint64, value []byte) error {
	n, err := jsonparser.ParseInt(value)
	if err != nil || n < 0 {
		return failure.New(failure.KindTargetFailed, "a field is not a non-negative integer")
	}
	*dst = uint64(n)
	return nil
}

func (f *engineFrame) finished() bool {
	return len(f.FinishReason) > 0
}

// deliveryFrame returns the fields that the order check needs. quotedGeneration
// is the generation's ID as a JSON string; only a frame of another generation
// allocates a string.
func (f *engineFrame) deliveryFrame(generation, quotedGeneration string) delivery.Frame {
	d := delivery.Frame{Offset: f.Offset, Tokens: f.Tokens, Finish: f.finished()}
	if string(f.Generation) == quotedGeneration {
		d.Generation = generation
	} else {
		d.Generation = string(f.Generation)
	}
	return d
}
