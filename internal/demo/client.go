// Package demo runs the main functions of the product on one machine and
// prints their results: a streamed report, a summary in one response, a lookup,
// a work order that is sent twice and executed once, an edit of the table, a
// data centre that is drained and restored, the accounting and the service
// level objectives.
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

// client sends requests to the entries with one account's API key.
type client struct {
	key  string
	http *http.Client
}

// callTimeout bounds each call of the demo, including the time to read the
// response.
const callTimeout = 30 * time.Second

func newClient(key string) *client {
	return &client{key: key, http: &http.Client{Timeout: callTimeout}}
}

// response is a complete HTTP response, with the problem document if there is
// one.
type response struct {
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
			return nil, failure.Wrap(err, failure.KindInternal, "cannot encode the request body")
		}
		payload = bytes.NewReader(encoded)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, payload)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindInternal, "cannot create the request")
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindInternal, "request to the entry failed")
	}
	return resp, nil
}

func (c *client) call(ctx context.Context, method, url string, header http.Header, body any) (response, error) {
	resp, err := c.do(ctx, method, url, header, body)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	r := response{status: resp.StatusCode, header: resp.Header}
	if r.body, err = io.ReadAll(resp.Body); err != nil {
		return response{}, failure.Wrap(err, failure.KindInternal, "cannot read the response body")
	}
	if resp.Header.Get("Content-Type") == failure.ProblemType {
		_ = json.Unmarshal(r.body, &r.problem)
	}
	return r, nil
}

// streamResult accumulates the events of one streamed completion.
type streamResult struct {
	tokens           int
	text             strings.Builder
	timeToFirstToken time.Duration
	generation       string
}

type streamEvent struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Filbert struct {
		Generation string `json:"generation"`
		Offset     int    `json:"offset"`
		Tokens     int    `json:"tokens"`
	} `json:"filbert"`
}

// stream reads a streamed completion and checks that every token arrives once,
// in order, from one generation. If onToken is not nil it is called after each
// event with the number of tokens received so far.
func (c *client) stream(ctx context.Context, url string, body any, onToken func(tokens int)) (*streamResult, error) {
	start := time.Now()
	resp, err := c.do(ctx, http.MethodPost, url, nil, body)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return nil, failure.New(failure.KindInternal, "the entry refused the stream: %s", text)
	}
	s := &streamResult{}
	reader := sse.NewReader(resp.Body, 0)
	for {
		var ev sse.Event
		if err := reader.Next(&ev); err != nil {
			return nil, failure.Wrap(err, failure.KindInternal, "the stream ended early")
		}
		if ev.Comment {
			continue
		}
		done, err := s.addEvent(ev, time.Since(start))
		if err != nil || done {
			return s, err
		}
		if onToken != nil {
			onToken(s.tokens)
		}
	}
}

func (s *streamResult) addEvent(ev sse.Event, elapsed time.Duration) (done bool, err error) {
	if string(ev.Data) == "[DONE]" {
		return true, nil
	}
	if string(ev.Name) == "error" {
		return false, failure.New(failure.KindInternal, "the stream failed: %s", ev.Data)
	}
	var d streamEvent
	if err := json.Unmarshal(ev.Data, &d); err != nil || len(d.Choices) != 1 {
		return false, failure.New(failure.KindInternal, "cannot parse a stream event")
	}
	if s.tokens == 0 {
		s.timeToFirstToken, s.generation = elapsed, d.Filbert.Generation
	}
	if d.Filbert.Offset != s.tokens || d.Filbert.Generation != s.generation {
		return false, failure.New(failure.KindFrameOutOfPlace, "received token %d, expected token %d", d.Filbert.Offset, s.tokens)
	}
	s.tokens += d.Filbert.Tokens
	s.text.WriteString(d.Choices[0].Text)
	return false, nil
}
