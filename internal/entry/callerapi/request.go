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

// message is one turn of a chat.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// completionRequest is the body of the completions and the chat completions
// interface, as far as it decides how a request is served. The other fields
// reach the engine unchanged.
type completionRequest struct {
	Model               string    `json:"model"`
	Prompt              string    `json:"prompt"`
	Messages            []message `json:"messages"`
	MaxTokens           *int      `json:"max_tokens"`
	MaxCompletionTokens *int      `json:"max_completion_tokens"`
	Stream              bool      `json:"stream"`
	N                   *int      `json:"n"`
}

// charactersPerToken estimates a prompt's tokens before an engine has counted
// them; the field's rule of thumb for English text.
const charactersPerToken = 4

// readBody reads a bounded body.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, failure.New(failure.KindBodyTooLarge, "the body is over %d bytes", limit)
	}
	if err != nil {
		return nil, failure.Wrap(err, failure.KindBadRequest, "the body could not be read")
	}
	return body, nil
}

// parseCompletion reads the body of a completions request.
func parseCompletion(body []byte, chat bool) (completionRequest, error) {
	var c completionRequest
	if err := json.Unmarshal(body, &c); err != nil {
		return c, failure.New(failure.KindBadRequest, "the body is not the JSON of a completion request: %s", jsonFault(err))
	}
	switch {
	case c.Model == "":
		return c, failure.New(failure.KindBadRequest, "model is missing")
	case chat && len(c.Messages) == 0:
		return c, failure.New(failure.KindBadRequest, "messages are missing")
	case !chat && c.Prompt == "":
		return c, failure.New(failure.KindBadRequest, "prompt is missing")
	case c.N != nil && *c.N != 1:
		return c, failure.New(failure.KindBadRequest, "n must be 1: each answer comes from one generation")
	}
	if limit := c.limit(); limit != nil && *limit < 1 {
		return c, failure.New(failure.KindBadRequest, "max_tokens must be at least 1")
	}
	return c, nil
}

// jsonFault says where the JSON breaks without repeating the body.
func jsonFault(err error) string {
	var syntax *json.SyntaxError
	var mismatch *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		return "syntax error at byte " + itoa(syntax.Offset)
	case errors.As(err, &mismatch):
		return "field " + mismatch.Field + " must be " + mismatch.Type.String()
	}
	return "it ends early"
}

func (c completionRequest) limit() *int {
	if c.MaxCompletionTokens != nil {
		return c.MaxCompletionTokens
	}
	return c.MaxTokens
}

// text is the prompt that the engine sees; a chat's turns are joined.
func (c completionRequest) text() string {
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

// replaced lists the fields that the entry sets itself or that mean nothing to
// the engine, in lower case: the entry reads names in any case, as Go does, and
// an engine that read a second spelling would follow another limit than the one
// that admission counts with.
var replaced = map[string]bool{
	"prompt": true, "max_tokens": true, "stream": true, "messages": true, "max_completion_tokens": true, "n": true,
}

// engineBody is the request that goes to the engine: the caller's fields with
// the prompt as text, the limit in force, and streaming always on, since a
// stream tells a dead engine from a slow one.
func (c completionRequest) engineBody(body []byte, maxTokens int) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, failure.Wrap(err, failure.KindBadRequest, "the body is not a JSON object")
	}
	for name := range fields {
		if replaced[strings.ToLower(name)] {
			delete(fields, name)
		}
	}
	for name, value := range map[string]any{"prompt": c.text(), "max_tokens": maxTokens, "stream": true} {
		encoded, err := json.Marshal(value)
		if err != nil {
			return nil, failure.Wrap(err, failure.KindInternal, "the engine's request could not be written")
		}
		fields[name] = encoded
	}
	out, err := json.Marshal(fields)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindInternal, "the engine's request could not be written")
	}
	return out, nil
}

func itoa(n int64) string { return strconv.FormatInt(n, 10) }
