package generation

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/handle"
	"filbertdeck/internal/sse"
)

const (
	// writeTimeout limits a write to the caller. A caller that reads nothing for
	// so long has disconnected without closing, or the network between lost the
	// connection.
	writeTimeout = 15 * time.Second
	// deadlineInterval is how often the write deadline is extended. Extending it
	// for each token would cost a timer update per token.
	deadlineInterval = time.Second
	// keepAliveInterval is the longest time without a byte on a caller's stream.
	// Without keep-alives a caller cannot distinguish a dead connection from a
	// queue or from an engine that is recomputing.
	keepAliveInterval = 2 * time.Second
	// eventBufferSize is the initial buffer size for an event in bytes; a usual
	// event has about 500.
	eventBufferSize = 1024
)

// sink writes an answer to the caller.
type sink interface {
	// writeFrame writes one frame; next is the offset after it.
	writeFrame(f *engineFrame, next uint64) error
	// restart switches to another generation; nothing has reached the caller
	// yet.
	restart(generation, target string)
	// keepAlive sends a keep-alive comment on a stream.
	keepAlive() error
	// finish ends a complete answer.
	finish() error
	// fail ends the answer with an error.
	fail(err error)
	// close releases the sink; it must be called after the answer has ended.
	close()
}

// answerInfo holds the values that all events of one answer share.
type answerInfo struct {
	id      string
	model   string
	chat    bool
	created int64
}

// streamSink writes server-sent events. Its timer writes a comment whenever
// nothing else was written for keepAliveInterval, also while the request waits
// for admission; the mutex serializes the writes of both.
type streamSink struct {
	mu                 sync.Mutex
	keepAliveTimer     *time.Timer
	closed             bool
	w                  http.ResponseWriter
	controller         *http.ResponseController
	keyRing            *handle.KeyRing
	handle             handle.Handle
	buf                []byte
	eventPrefix        []byte
	headersSent        bool
	nextDeadlineUpdate time.Time
}

func newStreamSink(w http.ResponseWriter, keyRing *handle.KeyRing, h handle.Handle, info answerInfo) *streamSink {
	sink := &streamSink{
		w: w, controller: http.NewResponseController(w), keyRing: keyRing, handle: h,
		buf: make([]byte, 0, eventBufferSize), eventPrefix: newEventPrefix(info),
	}
	sink.keepAliveTimer = time.AfterFunc(keepAliveInterval, func() { _ = sink.keepAlive() })
	return sink
}

// close stops the timer; no comment is written after the answer.
func (s *streamSink) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.keepAliveTimer.Stop()
}

// newEventPrefix returns the part of the event data that is the same for all
// events.
func newEventPrefix(info answerInfo) []byte {
	object := "text_completion"
	if info.chat {
		object = "chat.completion.chunk"
	}
	prefix := []byte(`{"id":`)
	prefix = appendJSON(prefix, info.id)
	prefix = append(prefix, `,"object":"`...)
	prefix = append(prefix, object...)
	prefix = append(prefix, `","created":`...)
	prefix = strconv.AppendInt(prefix, info.created, 10)
	prefix = append(prefix, `,"model":`...)
	prefix = appendJSON(prefix, info.model)
	if info.chat {
		return append(prefix, `,"choices":[{"index":0,"delta":{"content":`...)
	}
	return append(prefix, `,"choices":[{"index":0,"text":`...)
}

func appendJSON(dst []byte, s string) []byte {
	quoted, err := json.Marshal(s)
	if err != nil {
		return append(dst, `""`...)
	}
	return append(dst, quoted...)
}

// writeHeaders sends the response headers once.
func (s *streamSink) writeHeaders() {
	if s.headersSent {
		return
	}
	s.headersSent = true
	h := s.w.Header()
	h.Set("Content-Type", sse.ContentType)
	h.Set("Cache-Control", "no-store")
	h.Set("X-Accel-Buffering", "no")
	s.w.WriteHeader(http.StatusOK)
}

func (s *streamSink) writeFrame(f *engineFrame, next uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handle.Offset, s.handle.Finished = next, f.finished()
	s.buf = append(s.buf[:0], "id: "...)
	s.buf = s.keyRing.AppendSealed(s.buf, s.handle)
	s.buf = append(s.buf, "\ndata: "...)
	s.buf = s.appendEventData(s.buf, f)
	s.buf = append(s.buf, "\n\n"...)
	return s.flush()
}

func (s *streamSink) appendEventData(dst []byte, f *engineFrame) []byte {
	dst = append(dst, s.eventPrefix...)
	dst = append(dst, f.Text...)
	if bytes.HasSuffix(s.eventPrefix, []byte(`"content":`)) {
		dst = append(dst, '}')
	}
	dst = append(dst, `,"finish_reason":`...)
	if f.finished() {
		dst = append(dst, f.FinishReason...)
	} else {
		dst = append(dst, jsonNull...)
	}
	dst = append(dst, `}],"filbert":{"generation":`...)
	dst = append(dst, f.Generation...)
	dst = append(dst, `,"offset":`...)
	dst = strconv.AppendUint(dst, f.Offset, 10)
	dst = append(dst, `,"tokens":`...)
	dst = strconv.AppendUint(dst, f.Tokens, 10)
	return append(dst, "}}"...)
}

func (s *streamSink) restart(generation, target string) {
	s.handle.Generation, s.handle.Target = generation, target
}

func (s *streamSink) keepAlive() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	s.buf = append(s.buf[:0], sse.KeepAlive...)
	return s.flush()
}

func (s *streamSink) finish() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.buf = append(s.buf[:0], "data: [DONE]\n\n"...)
	return s.flush()
}

// fail reports the error with an HTTP status while nothing has been sent,
// otherwise with an error event, since the status has already been sent.
func (s *streamSink) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.headersSent {
		failure.Write(s.w, err)
		return
	}
	body, marshalErr := json.Marshal(failure.FromError(err).Problem())
	if marshalErr != nil {
		return
	}
	s.buf = sse.AppendEvent(s.buf[:0], "", "error", body)
	_ = s.flush()
}

func (s *streamSink) flush() error {
	s.writeHeaders()
	if now := time.Now(); now.After(s.nextDeadlineUpdate) {
		_ = s.controller.SetWriteDeadline(now.Add(writeTimeout + deadlineInterval))
		s.nextDeadlineUpdate = now.Add(deadlineInterval)
	}
	if _, err := s.w.Write(s.buf); err != nil {
		return failure.Wrap(err, failure.KindDeadline, "writing the answer to the caller failed")
	}
	if err := s.controller.Flush(); err != nil {
		return failure.Wrap(err, failure.KindDeadline, "writing the answer to the caller failed")
	}
	s.keepAliveTimer.Reset(keepAliveInterval)
	return nil
}
