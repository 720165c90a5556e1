// Package demo runs the product's main job on one machine and shows it: a
// streamed report, a whole summary, a lookup, a work order that is sent twice
// and runs once, an edit of the table, a data centre out and back.
package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/sse"
)

// client is an ordinary caller.
type client struct {
	key  string
	http *http.Client
}

// callLimit bounds one call of the demo.
const callLimit = 30 * time.Second

func newClient(key string) *client {
	return &client{key: key, http: &http.Client{Timeout: callLimit}}
}

// reply is a caller's view of an answer.
type reply struct {
	status  int
	header  http.Header
	body    []byte
	problem failure.Problem
}

func (c *client) do(ctx context.Context, method, url string, header http.Header, body any) (*http.Response, error) {
	var payload io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return nil, failure.Wrap(err, failure.KindInternal, "the demo's request")
		}
		payload = bytes.NewReader(encoded)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, payload)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindInternal, "the demo's request")
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindInternal, "the entry does not answer")
	}
	return resp, nil
}

func (c *client) call(ctx context.Context, method, url string, header http.Header, body any) (reply, error) {
	resp, err := c.do(ctx, method, url, header, body)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	r := reply{status: resp.StatusCode, header: resp.Header}
	if r.body, err = io.ReadAll(resp.Body); err != nil {
		return reply{}, failure.Wrap(err, failure.KindInternal, "the answer was cut")
	}
	if resp.Header.Get("Content-Type") == failure.ProblemType {
		_ = json.Unmarshal(r.body, &r.problem)
	}
	return r, nil
}

// streamed is what a stream brought.
type streamed struct {
	tokens     int
	text       strings.Builder
	firstAfter time.Duration
	generation string
}

type streamData struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Filbert struct {
		Generation string `json:"generation"`
		Offset     int    `json:"offset"`
		Tokens     int    `json:"tokens"`
	} `json:"filbert"`
}

// stream reads a streamed completion and checks that every token comes once,
// in order, from one generation. onToken, if given, runs at each event.
func (c *client) stream(ctx context.Context, url string, body any, onToken func(tokens int)) (*streamed, error) {
	begun := time.Now()
	resp, err := c.do(ctx, http.MethodPost, url, nil, body)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return nil, failure.New(failure.KindInternal, "the stream was refused: %s", text)
	}
	s := &streamed{}
	reader := sse.NewReader(resp.Body, 0)
	for {
		var ev sse.Event
		if err := reader.Next(&ev); err != nil {
			return nil, failure.Wrap(err, failure.KindInternal, "the stream ended early")
		}
		if ev.Comment {
			continue
		}
		done, err := s.take(ev, time.Since(begun))
		if err != nil || done {
			return s, err
		}
		if onToken != nil {
			onToken(s.tokens)
		}
	}
}

func (s *streamed) take(ev sse.Event, after time.Duration) (done bool, err error) {
	if string(ev.Data) == "[DONE]" {
		return true, nil
	}
	if string(ev.Name) == "error" {
		return false, failure.New(failure.KindInternal, "the stream failed: %s", ev.Data)
	}
	var d streamData
	if err := json.Unmarshal(ev.Data, &d); err != nil || len(d.Choices) != 1 {
		return false, failure.New(failure.KindInternal, "an event cannot be read")
	}
	if s.tokens == 0 {
		s.firstAfter, s.generation = after, d.Filbert.Generation
	}
	if d.Filbert.Offset != s.tokens || d.Filbert.Generation != s.generation {
		return false, failure.New(failure.KindFrameOutOfPlace, "token %d came where %d was due", d.Filbert.Offset, s.tokens)
	}
	s.tokens += d.Filbert.Tokens
	s.text.WriteString(d.Choices[0].Text)
	return false, nil
}
