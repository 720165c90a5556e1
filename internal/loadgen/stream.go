package loadgen

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/sse"
)

// maxEventBytes limits the size of one stream event.
const maxEventBytes = 1 << 20

// doneData is the data of the last event of a stream.
const doneData = "[DONE]"

// streamCall is the state of a streaming call, which may span several
// connections.
type streamCall struct {
	caller       *caller
	call         Call
	checker      tokenChecker
	out          outcome
	resumeHandle string
	lastTokenAt  time.Time
	done         bool
}

// callStream reads a generation as a stream. After a lost connection it resumes
// the stream at another entry, with the handle from the last event.
func (c *caller) callStream(ctx context.Context, call Call) outcome {
	s := &streamCall{caller: c, call: call}
	s.out.retries, s.out.err = c.client.retry(ctx, s.receivedTokens, func() error { return s.readConnection(ctx) })
	if s.out.err == nil && s.out.violation == "" {
		s.out.violation = s.checker.checkLength(call.OutputTokens)
	}
	s.out.tokens = s.checker.nextOffset
	return s.out
}

func (s *streamCall) receivedTokens() int { return s.checker.nextOffset }

// readConnection opens one connection and reads events until it ends.
func (s *streamCall) readConnection(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(s.caller.client.config.OpenTimeout, cancel)
	defer idleTimer.Stop()
	spec := s.caller.completionSpec(s.call, true)
	if s.resumeHandle != "" {
		spec.headers = append(spec.headers, [2]string{"Last-Event-ID", s.resumeHandle})
	}
	resp, err := s.caller.client.send(ctx, spec)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(resp.Body, maxEventBytes))
		return parseRefusal(resp, body)
	}
	onEvent := func() { idleTimer.Reset(s.caller.client.config.IdleTimeout) }
	onEvent()
	return s.readEvents(sse.NewReader(resp.Body, maxEventBytes), onEvent)
}

// readEvents reads events until the stream or the connection ends. It calls
// onEvent for each event, comments included.
func (s *streamCall) readEvents(r *sse.Reader, onEvent func()) error {
	var event sse.Event
	for !s.done && s.out.violation == "" {
		if err := r.Next(&event); err != nil {
			return connectionLost(err)
		}
		onEvent()
		switch {
		case event.Comment:
		case string(event.Name) == "error":
			return parseStreamError(event.Data)
		default:
			s.handleEvent(&event)
		}
	}
	return nil
}

func parseStreamError(data []byte) error {
	var problem failure.Problem
	if json.Unmarshal(data, &problem) != nil {
		return failure.New(failure.KindInternal, "stream failed without a problem document").WithExecutionUnknown()
	}
	return failure.FromProblem(problem)
}

// handleEvent verifies one event and records its timing.
func (s *streamCall) handleEvent(event *sse.Event) {
	if string(event.Data) == doneData {
		s.done = true
		return
	}
	response, ok := parseCompletion(event.Data, s.caller.client.config.direct())
	if !ok {
		s.out.violation = ViolationMalformed
		return
	}
	if len(event.ID) > 0 && !s.caller.client.config.direct() {
		s.resumeHandle = string(event.ID)
	}
	s.out.violation = s.checker.checkChunk(response.chunk())
	if s.out.violation == "" && response.Filbert.Tokens > 0 {
		s.recordTiming(response.Filbert.Tokens)
	}
}

// recordTiming records the gap before the first token of an event. The other
// tokens of the event arrived together with it and get a gap of 0.
func (s *streamCall) recordTiming(tokens int) {
	now := time.Now()
	if s.lastTokenAt.IsZero() {
		s.out.firstTokenAt = now
	} else {
		gap := now.Sub(s.lastTokenAt)
		s.caller.onTokenGap(s.call, gap)
		s.out.stallTime += max(0, gap-s.caller.stallThreshold)
	}
	for range tokens - 1 {
		s.caller.onTokenGap(s.call, 0)
	}
	s.lastTokenAt = now
}
