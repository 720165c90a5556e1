package loadgen

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"filbertdeck/internal/failure"
)

// outcome is what became of one call.
type outcome struct {
	// err is nil for a whole answer; violation is set when a promise was broken.
	err       error
	violation Violation
	// tokens were received; attempts counts resumes and repeated sends.
	tokens, attempts int
	// first is the time of the first token, for streams; stall is the time that
	// gaps between tokens took beyond the bound.
	first time.Time
	stall time.Duration
}

// caller makes the calls of one run.
type caller struct {
	client *client
	bound  time.Duration
	seed   uint64
	// gap is told the time before each token but an answer's first.
	gap func(Call, time.Duration)
}

// do makes one call and gives its outcome.
func (c *caller) do(ctx context.Context, call Call) outcome {
	ctx, cancel := context.WithTimeout(ctx, c.client.target.Timeout)
	defer cancel()
	switch call.Kind.Type {
	case TypeStream:
		return c.stream(ctx, call)
	case TypeWhole:
		return c.whole(ctx, call)
	case TypeLookup:
		return c.lookup(ctx, call)
	default:
		return c.once(ctx, call)
	}
}

const charsPerToken = 4

// prompt writes a prompt of the call's length: a beginning that calls of one
// account and kind share, so that prefix caches have something to keep, then
// what is the call's own, and the mark by which the stand-in knows the length.
func (c *caller) prompt(call Call) string {
	shared := fmt.Sprintf("%s of account %d. ", call.Kind.Name, call.Account)
	own := fmt.Sprintf(" call %d of seed %d [tokens=%d]", call.Number, c.seed, call.Length)
	fill := max(0, call.PromptTokens*charsPerToken-len(own))
	return strings.Repeat(shared, fill/len(shared)+1)[:fill] + own
}

// completionBody is the callers' request.
type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

func (c *caller) completion(call Call, stream bool) request {
	body, _ := json.Marshal(completionBody{
		Model: call.Kind.Service, Prompt: c.prompt(call), MaxTokens: call.Kind.Output.Max, Stream: stream,
	})
	return request{method: http.MethodPost, path: "/v1/completions", body: string(body), account: call.Account, generation: true}
}

// position says where an answer's tokens belong.
type position struct {
	Generation string `json:"generation"`
	Offset     int    `json:"offset"`
	Tokens     int    `json:"tokens"`
}

// completionAnswer is the callers' answer, whole or one event of it. An engine
// that is called directly gives position and text at the top level.
type completionAnswer struct {
	position
	Text    string `json:"text"`
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Usage struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
	Filbert position `json:"filbert"`
}

func parseCompletion(data []byte, direct bool) (completionAnswer, bool) {
	var a completionAnswer
	err := json.Unmarshal(data, &a)
	if direct && a.Filbert.Generation == "" {
		a.Filbert = a.position
	}
	return a, err == nil && (len(a.Choices) == 1 || direct)
}

func (a completionAnswer) piece() piece {
	f, text := a.Filbert, a.Text
	if len(a.Choices) == 1 {
		text = a.Choices[0].Text
	}
	return piece{generation: f.Generation, offset: f.Offset, tokens: f.Tokens, text: text}
}

func (c *caller) whole(ctx context.Context, call Call) outcome {
	var o outcome
	var body []byte
	o.attempts, o.err = c.client.retry(ctx, noProgress, func() (err error) {
		body, err = c.client.answer(ctx, c.completion(call, false))
		return err
	})
	if o.err != nil {
		return o
	}
	a, ok := parseCompletion(body, c.client.target.direct())
	if !ok {
		o.violation = ViolationMalformed
		return o
	}
	check := checker{}
	p := a.piece()
	p.tokens = a.Usage.CompletionTokens
	if o.violation = check.add(p); o.violation == "" {
		o.violation = check.complete(call.Length)
	}
	o.tokens = check.next
	return o
}

// plainAnswer is what the stand-in of a plain service answers.
type plainAnswer struct {
	Path       string `json:"path"`
	Body       string `json:"body"`
	Executions int    `json:"executions"`
}

func (c *caller) mark(call Call) string { return fmt.Sprintf("call-%d-%d", c.seed, call.Number) }

func (c *caller) lookup(ctx context.Context, call Call) outcome {
	var o outcome
	var body []byte
	q := request{method: http.MethodGet, account: call.Account}
	q.path = c.client.servicePath(call.Kind, "items/"+strconv.Itoa(call.Number%100)+"?mark="+c.mark(call))
	o.attempts, o.err = c.client.retry(ctx, noProgress, func() (err error) {
		body, err = c.client.answer(ctx, q)
		return err
	})
	if o.err == nil {
		o.violation = c.plainFault(call, body, func(a plainAnswer) string { return a.Path })
	}
	return o
}

// plainFault tells whether an answer belongs to the call.
func (c *caller) plainFault(call Call, body []byte, echo func(plainAnswer) string) Violation {
	var a plainAnswer
	if json.Unmarshal(body, &a) != nil {
		return ViolationMalformed
	}
	if !strings.HasSuffix(strings.Trim(echo(a), `"`), c.mark(call)) {
		return ViolationCrossed
	}
	if call.Kind.Type == TypeOnce && a.Executions != 1 {
		return ViolationTwice
	}
	return ""
}

// once mints a key and makes the call under it. After a lost connection it
// sends the call again under the same key, as a careful caller does.
func (c *caller) once(ctx context.Context, call Call) outcome {
	var o outcome
	var key string
	o.attempts, o.err = c.client.retry(ctx, noProgress, func() (err error) {
		key, err = c.mintKey(ctx, call)
		return err
	})
	if o.err != nil {
		return o
	}
	q := request{
		method: http.MethodPost, account: call.Account, body: strconv.Quote(c.mark(call)),
		path: c.client.servicePath(call.Kind, "orders"), headers: [][2]string{{"Idempotency-Key", key}},
	}
	var body []byte
	again, err := c.client.retry(ctx, noProgress, func() (err error) {
		body, err = c.client.answer(ctx, q)
		return err
	})
	o.attempts += again
	if o.err = err; err == nil {
		o.violation = c.plainFault(call, body, func(a plainAnswer) string { return a.Body })
	}
	return o
}

// mintKey asks an entry for a key; a stand-in that is called directly takes any.
func (c *caller) mintKey(ctx context.Context, call Call) (string, error) {
	if c.client.target.direct() {
		return uuid.NewString(), nil
	}
	body, err := c.client.answer(ctx, request{method: http.MethodPost, path: "/v1/idempotency-keys", account: call.Account})
	if err != nil {
		return "", err
	}
	var minted struct {
		Key string `json:"key"`
	}
	if json.Unmarshal(body, &minted) != nil || minted.Key == "" {
		return "", failure.New(failure.KindInternal, "no key in the answer")
	}
	return minted.Key, nil
}
