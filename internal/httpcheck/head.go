package httpcheck

import (
	"bytes"
	"net/http"
	"strings"
)

// headChecker checks the heads of one response, the interim ones included, as their bytes arrive.
// Its user bounds the length of a head.
type headChecker struct {
	// line is the part of a line that has arrived.
	line []byte
	// hasStatus is set once the status line of a head is read.
	hasStatus bool
	minor     int
	interim   bool
	// field is the name of the last field, whose value may go on in the next line.
	field string
	// value is the value of that field if it belongs to the framing.
	value   []byte
	framing framing
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
		return h.end()
	case line[0] == ' ' || line[0] == '\t':
		return h.continueField(line)
	}
	h.endField()
	name, value, found := strings.Cut(line, ":")
	if !found {
		return newError(PartFieldLine, "")
	}
	h.field = http.CanonicalHeaderKey(name)
	h.keepFraming(value)
	return checkField(name, trimBlanks(value))
}

// checkStatusLine checks the line's version and status, between which there may be several
// blanks (RFC 9112, section 4). A line that does not begin like a response is left to the reader,
// for which it is none.
func (h *headChecker) checkStatusLine(line string) *Error {
	version, rest, _ := strings.Cut(line, " ")
	if !strings.HasPrefix(version, "HTTP/") {
		h.done = true
		return nil
	}
	var err *Error
	if h.minor, err = checkVersion(version); err != nil {
		return err
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
	h.keepFraming(line)
	return checkField(h.field, trimBlanks(line))
}

// keepFraming keeps a part of the last field's value if it belongs to the framing.
func (h *headChecker) keepFraming(value string) {
	if h.field == transferEncoding || h.field == contentLength {
		h.value = append(append(h.value, ' '), trimBlanks(value)...)
	}
}

// endField notes the last field, whose value is complete.
func (h *headChecker) endField() {
	switch h.field {
	case transferEncoding:
		h.framing.codings = append(h.framing.codings, trimBlanks(string(h.value)))
	case contentLength:
		h.framing.lengths = append(h.framing.lengths, trimBlanks(string(h.value)))
	}
	h.value = h.value[:0]
}

// end ends a head. Another one follows that of an interim response.
func (h *headChecker) end() *Error {
	h.endField()
	if err := h.framing.check(h.minor); err != nil {
		return err
	}
	*h = headChecker{line: h.line, done: !h.interim}
	return nil
}

// trimBlanks removes the optional white space around a value (RFC 9110, section 5.6.3).
func trimBlanks(text string) string { return strings.Trim(text, " \t") }
