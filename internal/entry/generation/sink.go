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
	// writeLimit bounds a write to the caller: one that takes nothing for so
	// long has left without closing, or something between lost the connection.
	writeLimit = 15 * time.Second
	// deadlineEvery is how often the limit is moved on. Doing so for each token
	// would cost a timer each.
	deadlineEvery = time.Second
	// quietLimit is the longest time without a byte on a caller's stream. A
	// caller that hears nothing cannot tell a queue, or an engine that is busy
	// recomputing, from a dead link.
	quietLimit = 2 * time.Second
	// eventRoom is the room for one event; usual ones have some 500 bytes.
	eventRoom = 1024
)

// sink writes an answer to the caller.
type sink interface {
	// token passes one frame on.
	token(f *engineFrame, next uint64) error
	// restart begins another generation; nothing reached the caller yet.
	restart(generation, target string)
	// alive shows a quiet stream to be alive.
	alive() error
	// finish ends a whole answer.
	finish() error
	// fail ends the answer with a failure.
	fail(err error)
	// close must follow the end of the answer.
	close()
}

// shape is what the events of one answer have in common.
type shape struct {
	id      string
	model   string
	chat    bool
	created int64
}

// streamSink writes server-sent events. Its timer writes a comment whenever
// nothing else was written for quietLimit, also while the request waits for
// admission; the mutex keeps the two apart.
type streamSink struct {
	mu       sync.Mutex
	quiet    *time.Timer
	closed   bool
	w        http.ResponseWriter
	control  *http.ResponseController
	ring     *handle.Ring
	handle   handle.Handle
	buf      []byte
	head     []byte
	begun    bool
	deadline time.Time
}

func newStreamSink(w http.ResponseWriter, ring *handle.Ring, h handle.Handle, s shape) *streamSink {
	sink := &streamSink{
		w: w, control: http.NewResponseController(w), ring: ring, handle: h,
		buf: make([]byte, 0, eventRoom), head: eventHead(s),
	}
	sink.quiet = time.AfterFunc(quietLimit, func() { _ = sink.alive() })
	return sink
}

// close ends the sink: no comment is written after the answer.
func (s *streamSink) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.quiet.Stop()
}

// eventHead is the part of an event's data that stays the same.
func eventHead(s shape) []byte {
	object := "text_completion"
	if s.chat {
		object = "chat.completion.chunk"
	}
	head := []byte(`{"id":`)
	head = appendJSON(head, s.id)
	head = append(head, `,"object":"`...)
	head = append(head, object...)
	head = append(head, `","created":`...)
	head = strconv.AppendInt(head, s.created, 10)
	head = append(head, `,"model":`...)
	head = appendJSON(head, s.model)
	if s.chat {
		return append(head, `,"choices":[{"index":0,"delta":{"content":`...)
	}
	return append(head, `,"choices":[{"index":0,"text":`...)
}

func appendJSON(dst []byte, s string) []byte {
	quoted, err := json.Marshal(s)
	if err != nil {
		return append(dst, `""`...)
	}
	return append(dst, quoted...)
}

// begin sends the headers.
func (s *streamSink) begin() {
	if s.begun {
		return
	}
	s.begun = true
	h := s.w.Header()
	h.Set("Content-Type", sse.ContentType)
	h.Set("Cache-Control", "no-store")
	h.Set("X-Accel-Buffering", "no")
	s.w.WriteHeader(http.StatusOK)
}

func (s *streamSink) token(f *engineFrame, next uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handle.Offset, s.handle.Finished = next, f.finished()
	s.buf = append(s.buf[:0], "id: "...)
	s.buf = s.ring.SealTo(s.buf, s.handle)
	s.buf = append(s.buf, "\ndata: "...)
	s.buf = s.appendData(s.buf, f)
	s.buf = append(s.buf, "\n\n"...)
	return s.flush()
}

func (s *streamSink) appendData(dst []byte, f *engineFrame) []byte {
	dst = append(dst, s.head...)
	dst = append(dst, f.Text...)
	if bytes.HasSuffix(s.head, []byte(`"content":`)) {
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

func (s *streamSink) alive() error {
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

// fail ends the answer: with a status while nothing was sent, else with an
// event, since the status is gone.
func (s *streamSink) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.begun {
		failure.Write(s.w, err)
		return
	}
	body, marshalErr := json.Marshal(failure.From(err).Problem())
	if marshalErr != nil {
		return
	}
	s.buf = sse.AppendEvent(s.buf[:0], "", "error", body)
	_ = s.flush()
}

func (s *streamSink) flush() error {
	s.begin()
	if now := time.Now(); now.After(s.deadline) {
		_ = s.control.SetWriteDeadline(now.Add(writeLimit + deadlineEvery))
		s.deadline = now.Add(deadlineEvery)
	}
	if _, err := s.w.Write(s.buf); err != nil {
		return failure.Wrap(err, failure.KindDeadline, "the caller takes no more of the answer")
	}
	if err := s.control.Flush(); err != nil {
		return failure.Wrap(err, failure.KindDeadline, "the caller takes no more of the answer")
	}
	s.quiet.Reset(quietLimit)
	return nil
}
