package process

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// logQueue bounds the lines that wait to be written: some 400 KB.
	logQueue = 2048
	// logFlush bounds how long the end of a process waits for its last lines.
	logFlush = 200 * time.Millisecond
)

// LogWriter passes lines on to a writer without ever blocking who logs. A
// reader of our output that falls behind would otherwise stop every request
// that logs a line. What doesn't fit into the queue is dropped and counted, and
// the count is written once there is room.
type LogWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
	closing chan struct{}
}

// NewLogWriter returns a writer of lines to out; close it to have the last
// ones written.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{
		out: out, lines: make(chan []byte, logQueue), done: make(chan struct{}), closing: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write implements io.Writer. It never fails: a lost log line must not become
// the failure of a request.
func (w *LogWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what waits, as long as that takes no time to speak of.
func (w *LogWriter) Close() error {
	w.once.Do(func() { close(w.closing) })
	select {
	case <-w.done:
	case <-time.After(logFlush):
	}
	return nil
}

func (w *LogWriter) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.closing:
			w.drain()
			return
		}
	}
}

func (w *LogWriter) drain() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			return
		}
	}
}

func (w *LogWriter) write(line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", n)
	}
	_, _ = w.out.Write(line)
}
