package sse

import "bytes"

// ContentType is the media type of a stream of events.
const ContentType = "text/event-stream"

// KeepAlive is a comment that shows a quiet stream to be alive.
const KeepAlive = ": keep-alive\n\n"

// AppendEvent appends one event. An empty id or name is left out. Data with
// line feeds becomes several data lines; id and name must hold none.
func AppendEvent(dst []byte, id, name string, data []byte) []byte {
	if id != "" {
		dst = append(dst, "id: "...)
		dst = append(dst, id...)
		dst = append(dst, '\n')
	}
	return appendRest(dst, name, data)
}

// AppendEventWithID appends one event whose id is written by appendID, so that
// a sealed handle needs no string of its own.
func AppendEventWithID(dst []byte, appendID func([]byte) []byte, name string, data []byte) []byte {
	dst = append(dst, "id: "...)
	dst = appendID(dst)
	dst = append(dst, '\n')
	return appendRest(dst, name, data)
}

func appendRest(dst []byte, name string, data []byte) []byte {
	if name != "" {
		dst = append(dst, "event: "...)
		dst = append(dst, name...)
		dst = append(dst, '\n')
	}
	for {
		line, rest, more := bytes.Cut(data, []byte("\n"))
		dst = append(dst, "data: "...)
		dst = append(dst, line...)
		dst = append(dst, '\n')
		if !more {
			return append(dst, '\n')
		}
		data = rest
	}
}

// AppendComment appends a comment line; text must hold no line feed.
func AppendComment(dst []byte, text string) []byte {
	dst = append(dst, ": "...)
	dst = append(dst, text...)
	return append(dst, '\n', '\n')
}
