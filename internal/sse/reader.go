// Package sse reads and writes server-sent events in bounded memory.
//
// The reader serves the streams of targets. A target that is at fault may send
// a line without end or stop in the middle of an event; both end in a typed
// failure instead of filling the memory or passing half an event on.
package sse

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"filbertdeck/internal/failure"
)

// DefaultLimit bounds one event, in bytes. A token's event has some hundred
// bytes; 64 KiB leaves room for targets that send many tokens at once.
const DefaultLimit = 64 << 10

// Event is one event or one comment. Its slices belong to the reader and are
// valid until the next call.
type Event struct {
	ID   []byte
	Name []byte
	Data []byte
	// Comment is set when this is a comment line (a keep-alive); the other
	// fields are then empty.
	Comment bool
}

// Reader splits a stream into events.
type Reader struct {
	in    *bufio.Reader
	limit int
	buf   []byte // the event's bytes; the spans below point into it
	id    span
	name  span
	data  span
	any   bool
}

type span struct{ from, to int }

func (s span) of(b []byte) []byte { return b[s.from:s.to:s.to] }

// readBuffer holds a few token events; a longer line is collected piecewise.
const readBuffer = 2 << 10

// NewReader returns a reader of events of at most limit bytes; 0 means
// DefaultLimit.
func NewReader(r io.Reader, limit int) *Reader {
	if limit <= 0 {
		limit = DefaultLimit
	}
	return &Reader{in: bufio.NewReaderSize(r, readBuffer), limit: limit}
}

// Reset makes the reader read another stream, with its buffers kept.
func (r *Reader) Reset(in io.Reader) {
	r.in.Reset(in)
	r.clear()
}

// Next reads the next event or comment into ev. It returns io.EOF when the
// stream ended between two events, a failure of KindTargetLost when it ended
// within one or the connection broke, and KindTargetFailed when an event is
// longer than the limit.
func (r *Reader) Next(ev *Event) error {
	*ev = Event{}
	r.clear()
	for {
		start := len(r.buf)
		if err := r.readLine(); err != nil {
			return err
		}
		line := trimLineEnd(r.buf[start:])
		switch {
		case len(line) == 0 && r.any:
			ev.ID, ev.Name, ev.Data = r.id.of(r.buf), r.name.of(r.buf), r.data.of(r.buf)
			return nil
		case len(line) == 0:
			r.buf = r.buf[:start]
		case line[0] == ':' && !r.any:
			ev.Comment = true
			return nil
		case line[0] == ':':
			r.buf = r.buf[:start] // a comment within an event
		default:
			r.field(start, start+len(line))
		}
	}
}

func (r *Reader) clear() {
	r.buf = r.buf[:0]
	r.id, r.name, r.data = span{}, span{}, span{}
	r.any = false
}

// readLine appends one line with its end to buf.
func (r *Reader) readLine() error {
	for {
		piece, err := r.in.ReadSlice('\n')
		if len(r.buf)+len(piece) > r.limit {
			return failure.New(failure.KindTargetFailed, "event exceeds %d bytes", r.limit).WithExecutionUnknown()
		}
		r.buf = append(r.buf, piece...)
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
			return failure.Wrap(err, failure.KindTargetLost, "stream broke").WithExecutionUnknown()
		}
	}
}

// field notes what the line buf[from:to] says. Unknown fields are left out, as
// the standard asks.
func (r *Reader) field(from, to int) {
	line := r.buf[from:to]
	colon := bytes.IndexByte(line, ':')
	name, value := line, span{to, to}
	if colon >= 0 {
		name, value = line[:colon], span{from + colon + 1, to}
	}
	if value.from < value.to && r.buf[value.from] == ' ' {
		value.from++
	}
	r.any = true
	switch string(name) {
	case "data":
		r.addData(value)
	case "id":
		r.id = value
	case "event":
		r.name = value
	}
}

// addData joins the data lines of one event with a line feed, in place: the
// earlier data always ends before the new value begins, with at least the line
// end and the field's name between them.
func (r *Reader) addData(value span) {
	if r.data == (span{}) {
		r.data = value
		return
	}
	if r.id.from >= r.data.to || r.name.from >= r.data.to {
		// Another field lies between the two; moving would overwrite it, so
		// the data goes to the end instead.
		joined := append([]byte(nil), r.data.of(r.buf)...)
		joined = append(joined, '\n')
		joined = append(joined, value.of(r.buf)...)
		from := len(r.buf)
		r.buf = append(r.buf, joined...)
		r.data = span{from, len(r.buf)}
		return
	}
	r.buf[r.data.to] = '\n'
	n := copy(r.buf[r.data.to+1:], value.of(r.buf))
	r.data.to += 1 + n
}

func trimLineEnd(line []byte) []byte {
	line = bytes.TrimSuffix(line, []byte("\n"))
	return bytes.TrimSuffix(line, []byte("\r"))
}
