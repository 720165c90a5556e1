package callerapi

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"filbertdeck/internal/failure"
)

// chatMessage is one message of a chat.
type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completionRequest holds the fields of a completion or chat completion request
// that affect how it is served. Other fields are passed to the engine unchanged.
type completionRequest struct {
	Model               string        `json:"model"`
	Prompt              string        `json:"prompt"`
	Messages            []chatMessage `json:"messages"`
	MaxTokens           *int          `json:"max_tokens"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
	N                   *int          `json:"n"`
}

// charactersPerToken is used to estimate the prompt's tokens before an engine
// has counted them. Four is the common rule of thumb for English text.
const charactersPerToken = 4

// readBody reads a request body of at most limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, failure.New(failure.KindBodyTooLarge, "the body exceeds %d bytes", limit)
	}
	if err != nil {
		return nil, failure.Wrap(err, failure.KindBadRequest, "the body could not be read")
	}
	return body, nil
}

// parseCompletion parses and validates the body of a completion request.
func parseCompletion(body []byte, chat bool) (completionRequest, error) {
	var c completionRequest
	if err := json.Unmarshal(body, &c); err != nil {
		return c, failure.New(failure.KindBadRequest, "the body is not a valid completion request: %s", describeJSONError(err))
	}
	switch {
	case c.Model == "":
		return c, failure.New(failure.KindBadRequest, "model is missing")
	case chat && len(c.Messages) == 0:
		return c, failure.New(failure.KindBadRequest, "messages are missing")
	case !chat && c.Prompt == "":
		return c, failure.New(failure.KindBadRequest, "prompt is missing")
	case c.N != nil && *c.N != 1:
		return c, failure.New(failure.KindBadRequest, "n must be 1: only one completion per request is supported")
	}
	if limit := c.requestedMaxTokens(); limit != nil && *limit < 1 {
		return c, failure.New(failure.KindBadRequest, "max_tokens must be at least 1")
	}
	return c, nil
}

// describeJSONError describes a JSON error without repeating any of the body.
func describeJSONError(err error) string {
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return "syntax error at byte " + itoa(syntax.Offset)
	case errors.As(err, &mismatch):
		return "field " + mismatch.Field + " must be " + mismatch.Type.String()
	}
	return "unexpected end of JSON"
}

func (c completionRequest) requestedMaxTokens() *int {
	if c.MaxCompletionTokens != nil {
		return c.MaxCompletionTokens
	}
	return c.MaxTokens
}

// promptText returns the prompt for the engine; the messages of a chat are
// joined.
func (c completionRequest) promptText() string {
	if len(c.Messages) == 0 {
		return c.Prompt
	}
	var b strings.Builder
	for _, m := range c.Messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// overriddenFields lists, in lower case, the fields that the entry sets itself
// or that the engine does not use. encoding/json matches field names in any
// case, so they are removed in any case: an engine that read another spelling of
// the field would apply a different limit than the one counted by admission.
var overriddenFields = map[string]bool{
	"prompt": true, "max_tokens": true, "stream": true, "messages": true, "max_completion_tokens": true, "n": true,
}

// engineBody returns the request body for the engine: the caller's fields with
// the prompt as text and the effective token limit. Streaming is always on,
// since a stream distinguishes a dead engine from a slow one.
func (c completionRequest) engineBody(body []byte, maxTokens int) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, failure.Wrap(err, failure.KindBadRequest, "the body is not a JSON object")
	}
	for name := range fields {
		if overriddenFields[strings.ToLower(name)] {
			delete(fields, name)
		}
	}
	for name, value := range map[string]any{"prompt": c.promptText(), "max_tokens": maxTokens, "stream": true} {
		encoded, err := json.Marshal(value)
		if err != nil {
			return nil, failure.Wrap(err, failure.KindInternal, "could not encode the request to the engine")
		}
		fields[name] = encoded
	}
	out, err := json.Marshal(fields)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindInternal, "could not encode the request to the engine")
	}
	return out, nil
}

func itoa(n int64) string { return strconv.FormatInt(n, 10) }
