package callerconn

import "bytes"

// headCounter counts the bytes and lines of a request head up to the empty line that ends it, as
// net/http finds it.
type headCounter struct {
	bytes, lines int
	// lineBytes is the length of the present line, lastByte its last byte.
	lineBytes int
	lastByte  byte
	// begun is set once a line was not empty: empty ones before a request don't end its head.
	begun, ended bool
}

// count adds what was read next.
func (h *headCounter) count(p []byte) {
	for len(p) > 0 && !h.ended {
		line, rest, complete := bytes.Cut(p, []byte{'\n'})
		h.bytes += len(p) - len(rest)
		if len(line) > 0 {
			h.lineBytes += len(line)
			h.lastByte = line[len(line)-1]
		}
		if complete {
			h.endLine()
		}
		p = rest
	}
}

func (h *headCounter) endLine() {
	h.lines++
	empty := h.lineBytes == 0 || (h.lineBytes == 1 && h.lastByte == '\r')
	h.ended = empty && h.begun
	h.begun = h.begun || !empty
	h.lineBytes = 0
}
