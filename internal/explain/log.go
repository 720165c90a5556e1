// Package explain reads the logs of several hosts and determines how a request
// ended and which log line was decisive.
//
// It recognises the gateway's lines by message and fields; docs/OPERATIONS.md
// lists them. It is read-only.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"filbertdeck/internal/failure"
)

// Line is one log line.
type Line struct {
	Time    time.Time `json:"time"`
	Level   string    `json:"level"`
	Message string    `json:"msg"`
	Host    string    `json:"host"`
	// Request is the id of the request that the line concerns; it is empty for
	// lines about the process.
	Request string `json:"request,omitempty"`
	// Target is the target that the line concerns, From the source target of a
	// copy.
	Target string `json:"target,omitempty"`
	From   string `json:"from,omitempty"`
	// Cause, Kind and Error give the reason if the line contains one.
	Cause string `json:"cause,omitempty"`
	Kind  string `json:"kind,omitempty"`
	Error string `json:"error,omitempty"`
	// Status is the HTTP status of the target, 0 if the line has none.
	Status int `json:"status,omitempty"`
	// CallerLeft reports that the caller, or its host, disconnected first.
	CallerLeft bool `json:"caller_left,omitempty"`
	// Remote reports that a copy went to another data centre.
	Remote bool `json:"remote,omitempty"`
	// Text is the unmodified line.
	Text string `json:"-"`
}

// Log holds the log lines of one or more hosts.
type Log struct {
	// requestLines holds the lines of each request, processLines those about
	// processes, both in the order in which they were read.
	requestLines map[string][]Line
	processLines []Line
	// SkippedLines counts lines that are not from the gateway, such as those of
	// other programs in the same file.
	SkippedLines int
}

// maxLineBytes limits the length of a line; the gateway's lines are below 2 KB.
const maxLineBytes = 1 << 20

// Read adds the lines of one file. Text before the opening brace of a line,
// such as a log collector's timestamp, is ignored.
func (l *Log) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		l.addLine(scanner.Bytes())
	}
	if err := scanner.Err(); err != nil {
		return failure.Wrap(err, failure.KindBadRequest, "a log can't be read to its end")
	}
	return nil
}

func (l *Log) addLine(text []byte) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		l.SkippedLines++
		return
	}
	var line Line
	if err := json.Unmarshal(text[start:], &line); err != nil || line.Message == "" {
		l.SkippedLines++
		return
	}
	line.Text = string(text[start:])
	if line.Request == "" {
		l.processLines = append(l.processLines, line)
		return
	}
	if l.requestLines == nil {
		l.requestLines = map[string][]Line{}
	}
	l.requestLines[line.Request] = append(l.requestLines[line.Request], line)
}
