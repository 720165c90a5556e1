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

// outcome is the result of one call.
type outcome struct {
	// err is nil if a complete answer was received. violation is set if the
	// answer failed verification.
	err       error
	violation Violation
	// tokens is the number of tokens received. retries counts resumed streams and
	// repeated requests.
	tokens, retries int
	// firstTokenAt is only set for streams. stallTime is the total time by which
	// gaps between tokens exceeded the stall threshold.
	firstTokenAt time.Time
	stallTime    time.Duration
}

// caller makes the calls of one run.
type caller struct {
	client         *client
	stallThreshold time.Duration
	seed           uint64
	// onTokenGap receives the time between each token of a stream and the
	// previous one.
	onTokenGap func(Call, time.Duration)
}

// makeCall makes one call and returns its outcome.
func (c *caller) makeCall(ctx context.Context, call Call) outcome {
	ctx, cancel := context.WithTimeout(ctx, c.client.config.Timeout)
	defer cancel()
	switch call.Kind.Type {
	case CallTypeStream:
		return c.callStream(ctx, call)
	case CallTypeWhole:
		return c.callWhole(ctx, call)
	case CallTypeLookup:
		return c.callLookup(ctx, call)
	default:
		return c.callOnce(ctx, call)
	}
}

// charsPerToken is the number of prompt characters written per prompt token.
const charsPerToken = 4

// prompt builds a prompt of the call's length. It starts with text shared by all
// calls of the same account and kind, so that prefix caches can be effective. The
// unique part at the end includes the marker from which the engine stand-in
// takes the output length.
func (c *caller) prompt(call Call) string {
	sharedText := fmt.Sprintf("%s of account %d. ", call.Kind.Name, call.AccountIndex)
	uniqueText := fmt.Sprintf(" call %d of seed %d [tokens=%d]", call.Number, c.seed, call.OutputTokens)
	fillChars := max(0, call.PromptTokens*charsPerToken-len(uniqueText))
	return strings.Repeat(sharedText, fillChars/len(sharedText)+1)[:fillChars] + uniqueText
}

// completionRequest is the JSON body of a completion request.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

func (c *caller) completionSpec(call Call, stream bool) requestSpec {
	body, _ := json.Marshal(completionRequest{
		Model: call.Kind.Service, Prompt: c.prompt(call), MaxTokens: call.Kind.Output.Max, Stream: stream,
	})
	return requestSpec{method: http.MethodPost, path: "/v1/completions", body: string(body), accountIndex: call.AccountIndex, generation: true}
}

// tokenPosition gives the generation and the offset of the tokens in an event.
type tokenPosition struct {
	Generation string `json:"generation"`
	Offset     int    `json:"offset"`
	Tokens     int    `json:"tokens"`
}

// completionResponse is the JSON body of a whole answer or of one stream event.
// An engine that is called directly returns position and text at the top level.
type completionResponse struct {
	tokenPosition
	Text    string `json:"text"`
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Usage struct {
		CompletionTokens int `json:"completion_tokens"`
	} `json:"usage"`
	Filbert tokenPosition `json:"filbert"`
}

func parseCompletion(data []byte, direct bool) (completionResponse, bool) {
	var response completionResponse
	err := json.Unmarshal(data, &response)
	if direct && response.Filbert.Generation == "" {
		response.Filbert = response.tokenPosition
	}
	return response, err == nil && (len(response.Choices) == 1 || direct)
}

func (r completionResponse) chunk() tokenChunk {
	position, text := r.Filbert, r.Text
	if len(r.Choices) == 1 {
		text = r.Choices[0].Text
	}
	return tokenChunk{generation: position.Generation, offset: position.Offset, tokens: position.Tokens, text: text}
}

func (c *caller) callWhole(ctx context.Context, call Call) outcome {
	var out outcome
	var body []byte
	out.retries, out.err = c.client.retry(ctx, noProgress, func() (err error) {
		body, err = c.client.fetch(ctx, c.completionSpec(call, false))
		return err
	})
	if out.err != nil {
		return out
	}
	response, ok := parseCompletion(body, c.client.config.direct())
	if !ok {
		out.violation = ViolationMalformed
		return out
	}
	checker := tokenChecker{}
	chunk := response.chunk()
	chunk.tokens = response.Usage.CompletionTokens
	if out.violation = checker.checkChunk(chunk); out.violation == "" {
		out.violation = checker.checkLength(call.OutputTokens)
	}
	out.tokens = checker.nextOffset
	return out
}

// plainResponse is the response of a plain service's stand-in, which echoes the
// request and counts its executions.
type plainResponse struct {
	Path       string `json:"path"`
	Body       string `json:"body"`
	Executions int    `json:"executions"`
}

// callID identifies a call in its request, so that the echo in the response can
// be attributed to it.
func (c *caller) callID(call Call) string { return fmt.Sprintf("call-%d-%d", c.seed, call.Number) }

func (c *caller) callLookup(ctx context.Context, call Call) outcome {
	var out outcome
	var body []byte
	spec := requestSpec{method: http.MethodGet, accountIndex: call.AccountIndex}
	spec.path = c.client.servicePath(call.Kind, "items/"+strconv.Itoa(call.Number%100)+"?mark="+c.callID(call))
	out.retries, out.err = c.client.retry(ctx, noProgress, func() (err error) {
		body, err = c.client.fetch(ctx, spec)
		return err
	})
	if out.err == nil {
		out.violation = c.checkPlainResponse(call, body, func(r plainResponse) string { return r.Path })
	}
	return out
}

// checkPlainResponse verifies that a response belongs to the call and that a call
// with an idempotency key ran once.
func (c *caller) checkPlainResponse(call Call, body []byte, echoed func(plainResponse) string) Violation {
	var response plainResponse
	if json.Unmarshal(body, &response) != nil {
		return ViolationMalformed
	}
	if !strings.HasSuffix(strings.Trim(echoed(response), `"`), c.callID(call)) {
		return ViolationCrossedAnswer
	}
	if call.Kind.Type == CallTypeOnce && response.Executions != 1 {
		return ViolationRanTwice
	}
	return ""
}

// callOnce obtains an idempotency key and makes the call with it. After a lost
// connection it repeats the request with the same key, as callers should.
func (c *caller) callOnce(ctx context.Context, call Call) outcome {
	var out outcome
	var key string
	out.retries, out.err = c.client.retry(ctx, noProgress, func() (err error) {
		key, err = c.requestKey(ctx, call)
		return err
	})
	if out.err != nil {
		return out
	}
	spec := requestSpec{
		method: http.MethodPost, accountIndex: call.AccountIndex, body: strconv.Quote(c.callID(call)),
		path: c.client.servicePath(call.Kind, "orders"), headers: [][2]string{{"Idempotency-Key", key}},
	}
	var body []byte
	retries, err := c.client.retry(ctx, noProgress, func() (err error) {
		body, err = c.client.fetch(ctx, spec)
		return err
	})
	out.retries += retries
	if out.err = err; err == nil {
		out.violation = c.checkPlainResponse(call, body, func(r plainResponse) string { return r.Body })
	}
	return out
}

// requestKey obtains an idempotency key from an entry. Stand-ins that are called
// directly accept any key, so a random one is used.
func (c *caller) requestKey(ctx context.Context, call Call) (string, error) {
	if c.client.config.direct() {
		return uuid.NewString(), nil
	}
	body, err := c.client.fetch(ctx, requestSpec{method: http.MethodPost, path: "/v1/idempotency-keys", accountIndex: call.AccountIndex})
	if err != nil {
		return "", err
	}
	var response struct {
		Key string `json:"key"`
	}
	if json.Unmarshal(body, &response) != nil || response.Key == "" {
		return "", failure.New(failure.KindInternal, "response contains no idempotency key")
	}
	return response.Key, nil
}
