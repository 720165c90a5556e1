package sse

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"filbertdeck/internal/failure"
)

// RawEvent is the raw bytes of one event. Its slices point into the splitter's
// buffer and are valid until the next call of Next.
type RawEvent struct {
	// Bytes includes the blank line that ends the event.
	Bytes []byte
	// ID is the event's id, nil when it has none.
	ID []byte
}

// Splitter splits a stream into complete events without changing their bytes,
// for streams that are forwarded as they are.
type Splitter struct {
	in    *bufio.Reader
	limit int
	buf   []byte
}

// NewSplitter returns a splitter for events of at most limit bytes; 0 means
// DefaultLimit.
func NewSplitter(r io.Reader, limit int) *Splitter {
	if limit <= 0 {
		limit = DefaultMaxEventSize
	}
	return &Splitter{in: bufio.NewReaderSize(r, readBufferSize), limit: limit}
}

// Next reads the next complete event. It returns io.EOF when the stream ended
// between two events, an error of KindTargetLost when it ended within an event
// or the connection broke, and one of KindTargetFailed when an event exceeds
// the limit.
func (s *Splitter) Next(b *RawEvent) error {
	*b = RawEvent{}
	s.buf = s.buf[:0]
	id := span{}
	for {
		start := len(s.buf)
		if err := s.readLine(); err != nil {
			return err
		}
		line := trimLineEnding(s.buf[start:])
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			value = bytes.TrimPrefix(value, []byte(" "))
			id = span{start + len(line) - len(value), start + len(line)}
		}
		if len(line) == 0 && start > 0 {
			b.Bytes = s.buf
			if id.end > 0 {
				b.ID = id.slice(s.buf)
			}
			return nil
		}
	}
}

func (s *Splitter) readLine() error {
	for {
		chunk, err := s.in.ReadSlice('\n')
		if len(s.buf)+len(chunk) > s.limit {
			return failure.New(failure.KindTargetFailed, "event exceeds %d bytes", s.limit).WithExecutionUnknown()
		}
		s.buf = append(s.buf, chunk...)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(s.buf) == 0:
			return io.EOF
		case errors.Is(err, io.EOF):
			return failure.New(failure.KindTargetLost, "stream ended within an event").WithExecutionUnknown()
		default:
			return failure.Wrap(err, failure.KindTargetLost, "reading the stream failed").WithExecutionUnknown()
		}
	}
}
