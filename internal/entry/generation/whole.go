package generation

import (
	"encoding/json"
	"net/http"
	"strings"

	"filbertdeck/internal/failure"
)

// wholeSink holds the tokens and answers in one document at the end, so that a
// new generation may start over unseen when a target is lost.
type wholeSink struct {
	w      http.ResponseWriter
	shape  shape
	text   strings.Builder
	frame  engineFrame
	tokens uint64
	prompt int
}

// maxHeldText bounds a held answer, in bytes: a report of a hundred thousand
// tokens has half of it.
const maxHeldText = 1 << 20

func (s *wholeSink) token(f *engineFrame, _ uint64) error {
	var text string
	if err := json.Unmarshal(f.Text, &text); err != nil {
		return failure.Wrap(err, failure.KindTargetFailed, "the target sent text that cannot be read")
	}
	if s.text.Len()+len(text) > maxHeldText {
		return failure.New(failure.KindTargetFailed, "the answer is longer than can be held").Ran()
	}
	s.text.WriteString(text)
	s.tokens += f.Tokens
	s.frame.Generation = append(s.frame.Generation[:0], f.Generation...)
	s.frame.FinishReason = append(s.frame.FinishReason[:0], f.FinishReason...)
	return nil
}

// restart forgets the tokens of a generation that was lost.
func (s *wholeSink) restart(_, _ string) {
	s.text.Reset()
	s.tokens = 0
}

func (s *wholeSink) alive() error { return nil }

func (s *wholeSink) close() {}

type usage struct {
	PromptTokens     int    `json:"prompt_tokens"`
	CompletionTokens uint64 `json:"completion_tokens"`
	TotalTokens      uint64 `json:"total_tokens"`
}

type choice struct {
	Index        int             `json:"index"`
	Text         *string         `json:"text,omitempty"`
	Message      *chatMessage    `json:"message,omitempty"`
	FinishReason json.RawMessage `json:"finish_reason"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type filbertInfo struct {
	Generation json.RawMessage `json:"generation"`
	Tokens     uint64          `json:"tokens"`
}

type wholeAnswer struct {
	ID      string      `json:"id"`
	Object  string      `json:"object"`
	Created int64       `json:"created"`
	Model   string      `json:"model"`
	Choices []choice    `json:"choices"`
	Usage   usage       `json:"usage"`
	Filbert filbertInfo `json:"filbert"`
}

func (s *wholeSink) answer() wholeAnswer {
	text := s.text.String()
	c := choice{FinishReason: s.frame.FinishReason, Text: &text}
	object := "text_completion"
	if s.shape.chat {
		object = "chat.completion"
		c.Text, c.Message = nil, &chatMessage{Role: "assistant", Content: text}
	}
	return wholeAnswer{
		ID: s.shape.id, Object: object, Created: s.shape.created, Model: s.shape.model,
		Choices: []choice{c},
		Usage: usage{
			PromptTokens: s.prompt, CompletionTokens: s.tokens, TotalTokens: uint64(s.prompt) + s.tokens,
		},
		Filbert: filbertInfo{Generation: s.frame.Generation, Tokens: s.tokens},
	}
}

func (s *wholeSink) finish() error {
	body, err := json.Marshal(s.answer())
	if err != nil {
		return failure.Wrap(err, failure.KindInternal, "the answer could not be written").Ran()
	}
	h := s.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	if _, err := s.w.Write(append(body, '\n')); err != nil {
		return failure.Wrap(err, failure.KindDeadline, "the caller left before the answer").Ran()
	}
	return nil
}

func (s *wholeSink) fail(err error) { failure.Write(s.w, err) }
