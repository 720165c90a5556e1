package generation

import (
	"encoding/json"
	"net/http"
	"strings"

	"filbertdeck/internal/failure"
)

// documentSink buffers the tokens and answers with one JSON document at the end,
// so that a new generation can replace a lost one without the caller seeing it.
type documentSink struct {
	w            http.ResponseWriter
	info         answerInfo
	text         strings.Builder
	lastFrame    engineFrame
	tokens       uint64
	promptTokens int
}

// maxBufferedTextBytes limits a buffered answer; a report of 100,000 tokens
// takes about half of it.
const maxBufferedTextBytes = 1 << 20

func (s *documentSink) writeFrame(f *engineFrame, _ uint64) error {
	var text string
	if err := json.Unmarshal(f.Text, &text); err != nil {
		return failure.Wrap(err, failure.KindTargetFailed, "the target sent text that is not a valid JSON string")
	}
	if s.text.Len()+len(text) > maxBufferedTextBytes {
		return failure.New(failure.KindTargetFailed, "the answer exceeds the buffer limit").WithExecuted()
	}
	s.text.WriteString(text)
	s.tokens += f.Tokens
	s.lastFrame.Generation = append(s.lastFrame.Generation[:0], f.Generation...)
	s.lastFrame.FinishReason = append(s.lastFrame.FinishReason[:0], f.FinishReason...)
	return nil
}

// restart discards the tokens of a lost generation.
func (s *documentSink) restart(_, _ string) {
	s.text.Reset()
	s.tokens = 0
}

func (s *documentSink) keepAlive() error { return nil }

func (s *documentSink) close() {}

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

type completionResponse struct {
	ID      string      `json:"id"`
	Object  string      `json:"object"`
	Created int64       `json:"created"`
	Model   string      `json:"model"`
	Choices []choice    `json:"choices"`
	Usage   usage       `json:"usage"`
	Filbert filbertInfo `json:"filbert"`
}

func (s *documentSink) response() completionResponse {
	text := s.text.String()
	c := choice{FinishReason: s.lastFrame.FinishReason, Text: &text}
	object := "text_completion"
	if s.info.chat {
		object = "chat.completion"
		c.Text, c.Message = nil, &chatMessage{Role: "assistant", Content: text}
	}
	return completionResponse{
		ID: s.info.id, Object: object, Created: s.info.created, Model: s.info.model,
		Choices: []choice{c},
		Usage: usage{
			PromptTokens: s.promptTokens, CompletionTokens: s.tokens, TotalTokens: uint64(s.promptTokens) + s.tokens,
		},
		Filbert: filbertInfo{Generation: s.lastFrame.Generation, Tokens: s.tokens},
	}
}

func (s *documentSink) finish() error {
	body, err := json.Marshal(s.response())
	if err != nil {
		return failure.Wrap(err, failure.KindInternal, "could not encode the answer").WithExecuted()
	}
	h := s.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	if _, err := s.w.Write(append(body, '\n')); err != nil {
		return failure.Wrap(err, failure.KindDeadline, "the caller left before the answer").WithExecuted()
	}
	return nil
}

func (s *documentSink) fail(err error) { failure.Write(s.w, err) }
