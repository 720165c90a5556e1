package httpcheck

import (
	"bytes"
	"strings"
)

// headChecker checks the heads of one response, the interim ones included, as their bytes arrive.
// Its user bounds the length of a head.
type headChecker struct {
	// line is the part of a line that has arrived.
	line []byte
	// hasStatus is set once the status line of a head is read.
	hasStatus bool
	interim   bool
	// field is the name of the last field, whose value may go on in the next line.
	field string
	// done is set once the final head was checked.
	done bool
}

// check checks further bytes of the response. It returns the number of those that may be passed
// on: all of them without an error, else those before the end of the invalid line, so that no
// reader takes the head as complete.
func (h *headChecker) check(p []byte) (int, *Error) {
	checked := 0
	for !h.done {
		end := bytes.IndexByte(p[checked:], '\n')
		if end < 0 {
			h.line = append(h.line, p[checked:]...)
			return len(p), nil
		}
		h.line = append(h.line, p[checked:checked+end]...)
		checked += end
		if err := h.checkLine(string(bytes.TrimSuffix(h.line, []byte("\r")))); err != nil {
			return checked, err
		}
		h.line = h.line[:0]
		checked++
	}
	h.line = nil
	return len(p), nil
}

func (h *headChecker) checkLine(line string) *Error {
	switch {
	case !h.hasStatus:
		return h.checkStatusLine(line)
	case line == "":
		h.end()
		return nil
	case line[0] == ' ' || line[0] == '\t':
		return h.continueField(line)
	}
	name, value, found := strings.Cut(line, ":")
	if !found {
		return newError(PartFieldLine, "")
	}
	h.field = name
	return checkField(name, trimBlanks(value))
}

// checkStatusLine checks the line's status, before which there may be several blanks (RFC 9112,
// section 4). A line that does not begin like a response is left to the reader,
// for which it is none.
func (h *headChecker) checkStatusLine(line string) *Error {
	version, rest, _ := strings.Cut(line, " ")
	if !strings.HasPrefix(version, "HTTP/") {
		h.done = true
		return nil
	}
	text, _, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	status, err := parseStatus(text)
	if err != nil {
		return err
	}
	h.hasStatus, h.interim = true, status < minFinalStatus
	return nil
}

// continueField adds a line to the value of the last field (RFC 9112, section 5.2).
func (h *headChecker) continueField(line string) *Error {
	if h.field == "" {
		return newError(PartFieldLine, "")
	}
	return checkField(h.field, trimBlanks(line))
}

// end ends a head. Another one follows that of an interim response.
func (h *headChecker) end() {
	*h = headChecker{line: h.line, done: !h.interim}
}

// trimBlanks removes the optional white space around a value (RFC 9110, section 5.6.3).
func trimBlanks(text string) string { return strings.Trim(text, " \t") }
