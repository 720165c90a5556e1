// Package explain reads the logs of several hosts and says how a request
// ended and which line decided it.
//
// It knows the gateway's lines by their message and fields; docs/OPERATIONS.md
// lists them. It only reads.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"filbertdeck/internal/failure"
)

// Line is one line of a log.
type Line struct {
	Time    time.Time `json:"time"`
	Level   string    `json:"level"`
	Message string    `json:"msg"`
	Host    string    `json:"host"`
	// Request is the id of the request that the line is about, empty for lines
	// about the process.
	Request string `json:"request,omitempty"`
	// Target is the target that the line is about, From the one that a copy
	// left.
	Target string `json:"target,omitempty"`
	From   string `json:"from,omitempty"`
	// Cause, Kind and Error say why, where the line does.
	Cause string `json:"cause,omitempty"`
	Kind  string `json:"kind,omitempty"`
	Error string `json:"error,omitempty"`
	// Status is the target's own, 0 where the line has none.
	Status int `json:"status,omitempty"`
	// CallerLeft says that the caller, or its host, was gone first.
	CallerLeft bool `json:"caller_left,omitempty"`
	// Remote says that a copy went to another data centre.
	Remote bool `json:"remote,omitempty"`
	// Text is the line as it was written.
	Text string `json:"-"`
}

// Log holds the lines of one or more hosts.
type Log struct {
	// requests holds the lines of each request, process those about processes,
	// both in the order in which they were read.
	requests map[string][]Line
	process  []Line
	// Unread counts lines that are none of ours, such as those of other
	// programs in the same file.
	Unread int
}

// maxLine bounds a line in bytes; ours are below 2 KB.
const maxLine = 1 << 20

// Read adds the lines of one file. What stands before a line's opening brace,
// such as a collector's own time stamp, is passed over.
func (l *Log) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		l.add(scanner.Bytes())
	}
	if err := scanner.Err(); err != nil {
		return failure.Wrap(err, failure.KindBadRequest, "a log can't be read to its end")
	}
	return nil
}

func (l *Log) add(text []byte) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		l.Unread++
		return
	}
	var line Line
	if err := json.Unmarshal(text[start:], &line); err != nil || line.Message == "" {
		l.Unread++
		return
	}
	line.Text = string(text[start:])
	if line.Request == "" {
		l.process = append(l.process, line)
		return
	}
	if l.requests == nil {
		l.requests = map[string][]Line{}
	}
	l.requests[line.Request] = append(l.requests[line.Request], line)
}
