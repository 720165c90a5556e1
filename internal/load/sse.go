package load

import (
	"bufio"
	"io"
	"strings"
)

// maxEventLine bounds one line of a stream in bytes.
const maxEventLine = 1 << 20

// event is one server-sent event.
type event struct {
	name, id, data string
}

// eventReader reads server-sent events.
type eventReader struct {
	lines *bufio.Scanner
	// heard is called for each line, comments included.
	heard func()
}

func newEventReader(r io.Reader, heard func()) *eventReader {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, 4096), maxEventLine)
	return &eventReader{lines: lines, heard: heard}
}

// next gives the next event, and false at the end of the stream.
func (r *eventReader) next() (event, bool) {
	var e event
	for r.lines.Scan() {
		r.heard()
		line := r.lines.Text()
		if line == "" {
			if e.data != "" {
				return e, true
			}
			continue
		}
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "event":
			e.name = value
		case "id":
			e.id = value
		case "data":
			e.data += value
		}
	}
	return event{}, false
}
