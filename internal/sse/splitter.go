package sse

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"filbertdeck/internal/failure"
)

// RawEvent is one event of a stream as its bytes, with the blank line that ends
// it. Its slices are valid until the next call.
type RawEvent struct {
	Bytes []byte
	// ID is the event's id, nil when it has none.
	ID []byte
}

// Splitter cuts a stream into whole events without changing a byte, for
// streams that are passed on as they are.
type Splitter struct {
	in    *bufio.Reader
	limit int
	buf   []byte
}

// NewSplitter returns a splitter of events of at most limit bytes; 0 means
// DefaultLimit.
func NewSplitter(r io.Reader, limit int) *Splitter {
	if limit <= 0 {
		limit = DefaultLimit
	}
	return &Splitter{in: bufio.NewReaderSize(r, readBuffer), limit: limit}
}

// Next reads the next whole event. It returns io.EOF when the stream ended
// between two events, a failure of KindTargetLost when it ended within one or
// the connection broke, and KindTargetFailed when an event is longer than the
// limit.
func (s *Splitter) Next(b *RawEvent) error {
	*b = RawEvent{}
	s.buf = s.buf[:0]
	id := span{}
	for {
		start := len(s.buf)
		if err := s.readLine(); err != nil {
			return err
		}
		line := trimLineEnd(s.buf[start:])
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			value = bytes.TrimPrefix(value, []byte(" "))
			id = span{start + len(line) - len(value), start + len(line)}
		}
		if len(line) == 0 && start > 0 {
			b.Bytes = s.buf
			if id.to > 0 {
				b.ID = id.of(s.buf)
			}
			return nil
		}
	}
}

func (s *Splitter) readLine() error {
	for {
		piece, err := s.in.ReadSlice('\n')
		if len(s.buf)+len(piece) > s.limit {
			return failure.New(failure.KindTargetFailed, "event exceeds %d bytes", s.limit).WithExecutionUnknown()
		}
		s.buf = append(s.buf, piece...)
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
			return failure.Wrap(err, failure.KindTargetLost, "stream broke").WithExecutionUnknown()
		}
	}
}
