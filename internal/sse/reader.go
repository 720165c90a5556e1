// Package sse reads and writes server-sent events with bounded memory.
//
// Reader and Splitter read the streams of targets. A faulty target may send an
// endless line or stop in the middle of an event. Both cases return a typed
// error; memory stays bounded, and no partial event is returned.
package sse

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"filbertdeck/internal/failure"
)

// DefaultMaxEventSize is the default limit of one event, in bytes. The event of
// one token has a few hundred bytes; 64 KiB leaves room for targets that send
// many tokens per event.
const DefaultMaxEventSize = 64 << 10

// Event is one event or one comment. Its slices point into the reader's buffer
// and are valid until the next call of Next.
type Event struct {
	ID   []byte
	Name []byte
	Data []byte
	// Comment is set for a comment line, such as a keep-alive; the other fields
	// are then empty.
	Comment bool
}

// Reader splits a stream into events.
type Reader struct {
	in        *bufio.Reader
	limit     int
	buf       []byte // bytes of the current event; the spans below index it
	id        span
	name      span
	data      span
	hasFields bool
}

type span struct{ start, end int }

func (s span) slice(b []byte) []byte { return b[s.start:s.end:s.end] }

// readBufferSize is in bytes and holds a few token events. Longer lines are read
// in several chunks.
const readBufferSize = 2 << 10

// NewReader returns a reader of events of at most limit bytes; 0 means
// DefaultLimit.
func NewReader(r io.Reader, limit int) *Reader {
	if limit <= 0 {
		limit = DefaultMaxEventSize
	}
	return &Reader{in: bufio.NewReaderSize(r, readBufferSize), limit: limit}
}

// Reset makes the reader read another stream and keeps its buffers.
func (r *Reader) Reset(in io.Reader) {
	r.in.Reset(in)
	r.clear()
}

// Next reads the next event or comment into ev. It returns io.EOF when the
// stream ended between two events, an error of KindTargetLost when it ended
// within an event or the connection broke, and one of KindTargetFailed when an
// event exceeds the limit.
func (r *Reader) Next(ev *Event) error {
	*ev = Event{}
	r.clear()
	for {
		start := len(r.buf)
		if err := r.readLine(); err != nil {
			return err
		}
		line := trimLineEnding(r.buf[start:])
		switch {
		case len(line) == 0 && r.hasFields:
			ev.ID, ev.Name, ev.Data = r.id.slice(r.buf), r.name.slice(r.buf), r.data.slice(r.buf)
			return nil
		case len(line) == 0:
			r.buf = r.buf[:start]
		case line[0] == ':' && !r.hasFields:
			ev.Comment = true
			return nil
		case line[0] == ':':
			r.buf = r.buf[:start] // a comment within an event
		default:
			r.parseField(start, start+len(line))
		}
	}
}

func (r *Reader) clear() {
	r.buf = r.buf[:0]
	r.id, r.name, r.data = span{}, span{}, span{}
	r.hasFields = false
}

// readLine appends one line, including its line ending, to buf.
func (r *Reader) readLine() error {
	for {
		chunk, err := r.in.ReadSlice('\n')
		if len(r.buf)+len(chunk) > r.limit {
			return failure.New(failure.KindTargetFailed, "event exceeds %d bytes", r.limit).WithExecutionUnknown()
		}
		r.buf = append(r.buf, chunk...)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(r.buf) == 0:
			return io.EOF
		case errors.Is(err, io.EOF):
			return failure.New(failure.KindTargetLost, "stream ended within an event").WithExecutionUnknown()
		default:
			return failure.Wrap(err, failure.KindTargetLost, "reading the stream failed").WithExecutionUnknown()
		}
	}
}

// parseField parses the field in the line buf[start:end]. Unknown fields are
// ignored, as the HTML standard requires.
func (r *Reader) parseField(start, end int) {
	line := r.buf[start:end]
	colon := bytes.IndexByte(line, ':')
	name, value := line, span{end, end}
	if colon >= 0 {
		name, value = line[:colon], span{start + colon + 1, end}
	}
	if value.start < value.end && r.buf[value.start] == ' ' {
		value.start++
	}
	r.hasFields = true
	switch string(name) {
	case "data":
		r.appendData(value)
	case "id":
		r.id = value
	case "event":
		r.name = value
	}
}

// appendData joins the data lines of one event with a line feed, in place: the
// earlier data always ends before the new value starts, with at least the line
// ending and the field name between them.
func (r *Reader) appendData(value span) {
	if r.data == (span{}) {
		r.data = value
		return
	}
	if r.id.start >= r.data.end || r.name.start >= r.data.end {
		// Another field is stored between the two. Joining in place would
		// overwrite it, so the joined data is appended to the buffer instead.
		joined := append([]byte(nil), r.data.slice(r.buf)...)
		joined = append(joined, '\n')
		joined = append(joined, value.slice(r.buf)...)
		start := len(r.buf)
		r.buf = append(r.buf, joined...)
		r.data = span{start, len(r.buf)}
		return
	}
	r.buf[r.data.end] = '\n'
	n := copy(r.buf[r.data.end+1:], value.slice(r.buf))
	r.data.end += 1 + n
}

func trimLineEnding(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}
