package sse

import "bytes"

// ContentType is the media type of an event stream.
const ContentType = "text/event-stream"

// KeepAlive is a comment that is sent on an idle stream to show that its
// connection still works.
const KeepAlive = ": keep-alive\n\n"

// AppendEvent appends one event. An empty id or name is omitted. Data with line
// feeds is written as several data lines; id and name must not contain any.
func AppendEvent(dst []byte, id, name string, data []byte) []byte {
	if id != "" {
		dst = append(dst, "id: "...)
		dst = append(dst, id...)
		dst = append(dst, '\n')
	}
	return appendNameAndData(dst, name, data)
}

// AppendEventWithID appends one event whose id appendID writes, which avoids
// allocating a string for a sealed handle.
func AppendEventWithID(dst []byte, appendID func([]byte) []byte, name string, data []byte) []byte {
	dst = append(dst, "id: "...)
	dst = appendID(dst)
	dst = append(dst, '\n')
	return appendNameAndData(dst, name, data)
}

func appendNameAndData(dst []byte, name string, data []byte) []byte {
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

// AppendComment appends a comment line. text must not contain a line feed.
func AppendComment(dst []byte, text string) []byte {
	dst = append(dst, ": "...)
	dst = append(dst, text...)
	return append(dst, '\n', '\n')
}
