package httpcheck

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"

	"filbertdeck/internal/failure"
)

// Part is a part of a response.
type Part string

// The parts of a response that are checked.
const (
	// PartVersion is the version in the status line.
	PartVersion Part = "version"
	// PartStatus is the status code.
	PartStatus Part = "status"
	// PartFieldLine is a line of the header that is no field.
	PartFieldLine Part = "field_line"
	// PartFieldName is the name of a field.
	PartFieldName Part = "field_name"
	// PartFieldValue is the value of a field.
	PartFieldValue Part = "field_value"
	// PartFraming is what determines the length of the body.
	PartFraming Part = "framing"
	// PartTrailer is a field after the last chunk.
	PartTrailer Part = "trailer"
)

// Parts returns all parts that are checked.
func Parts() []Part {
	return []Part{PartVersion, PartStatus, PartFieldLine, PartFieldName, PartFieldValue, PartFraming, PartTrailer}
}

// maxQuotedBytes bounds the text of a response that an Error quotes.
const maxQuotedBytes = 64

// Error says which part of a response is invalid.
type Error struct {
	Part Part
	// Text is the invalid part: a status, a version, or the name of a field. It never holds the
	// value of a field, and is empty for a line that is no field.
	Text string
}

func newError(part Part, text string) *Error {
	return &Error{Part: part, Text: strings.Clone(text[:min(len(text), maxQuotedBytes)])}
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("invalid response: %s %q", strings.ReplaceAll(string(e.Part), "_", " "), e.Text)
}

// Failure returns the failure of a request whose response is invalid. The target answered, so
// the request may have run.
func (e *Error) Failure() *failure.Error {
	return failure.Wrap(e, failure.KindTargetFailed, "the target's answer is invalid").WithExecutionUnknown()
}

// The status codes of RFC 9110, section 15, and the first one that is final.
const (
	minStatus, minFinalStatus, maxStatus = 100, 200, 599
	statusDigits                         = 3
)

// parseStatus returns a status code.
func parseStatus(text string) (int, *Error) {
	status, err := strconv.ParseUint(text, 10, 16)
	if err != nil || len(text) != statusDigits {
		return 0, newError(PartStatus, text)
	}
	return int(status), checkStatus(int(status))
}

// checkStatus checks a status code. No request asks for another protocol, so that none may be
// switched to (RFC 9110, section 15.2.2).
func checkStatus(status int) *Error {
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return newError(PartStatus, fmt.Sprintf("%03d", status))
	}
	return nil
}

// checkVersion checks the version of a status line. A later minor version is handled like the
// latest one known (RFC 9110, section 2.5).
func checkVersion(text string) (minor int, _ *Error) {
	major, minor, ok := http.ParseHTTPVersion(text)
	if !ok || major != 1 {
		return 0, newError(PartVersion, text)
	}
	return minor, nil
}

func checkField(name, value string) *Error {
	switch {
	case !httpguts.ValidHeaderFieldName(name):
		return newError(PartFieldName, name)
	case !httpguts.ValidHeaderFieldValue(value):
		return newError(PartFieldValue, name)
	}
	return nil
}

func checkFields(header http.Header) *Error {
	for name, values := range header {
		for _, value := range values {
			if err := checkField(name, value); err != nil {
				return err
			}
		}
	}
	return nil
}

// framing is what determines the length of a body (RFC 9112, section 6).
type framing struct {
	codings, lengths []string
}

const (
	transferEncoding = "Transfer-Encoding"
	contentLength    = "Content-Length"
)

// check checks the framing in a minor version of HTTP/1. A length beside chunks, and one that is
// repeated, are allowed: the chunks count, and the length once.
func (f framing) check(minor int) *Error {
	// Section 6.1: in HTTP/1.0 the framing is faulty. No coding but chunks was asked for.
	if len(f.codings) > 0 && (minor == 0 || len(f.codings) > 1 || !strings.EqualFold(f.codings[0], "chunked")) {
		return newError(PartFraming, transferEncoding)
	}
	for _, length := range f.lengths {
		if _, err := strconv.ParseUint(length, 10, 63); err != nil || length != f.lengths[0] {
			return newError(PartFraming, contentLength)
		}
	}
	return nil
}

// Response checks a final response that was not read with a Transport, such as one that another
// process read and whose version may not check it.
func Response(resp *http.Response) *Error {
	if resp.StatusCode < minFinalStatus {
		return newError(PartStatus, fmt.Sprintf("%03d", resp.StatusCode))
	}
	if err := checkStatus(resp.StatusCode); err != nil {
		return err
	}
	return checkFields(resp.Header)
}
