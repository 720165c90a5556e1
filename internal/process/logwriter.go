package process

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// logQueueLines and logQueueBytes bound the queued lines.
	logQueueLines = 2048
	logQueueBytes = 512 << 10
	// logFlushTimeout is how long Close waits for the queued lines to be written.
	logFlushTimeout = 200 * time.Millisecond
)

// LogWriter writes lines to a writer asynchronously and never blocks the
// goroutine that logs. Otherwise a slow consumer of the output would stall
// every request that logs a line. Lines that don't fit into the queue are
// dropped and counted; the count is written before the next line.
type LogWriter struct {
	out       io.Writer
	lines     chan []byte
	queued    atomic.Int64
	dropped   atomic.Int64
	done      chan struct{}
	closeOnce sync.Once
	closing   chan struct{}
}

// NewLogWriter returns a writer of lines to out. Close writes the lines that
// are still queued.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{
		out: out, lines: make(chan []byte, logQueueLines), done: make(chan struct{}), closing: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write implements io.Writer. It never fails, since a dropped log line must not
// fail a request.
func (w *LogWriter) Write(line []byte) (int, error) {
	if !w.enqueue(line) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// enqueue adds a line to the queue, unless the queue is full.
func (w *LogWriter) enqueue(line []byte) bool {
	if w.queued.Add(int64(len(line))) <= logQueueBytes {
		select {
		case w.lines <- append([]byte(nil), line...):
			return true
		default:
		}
	}
	w.queued.Add(-int64(len(line)))
	return false
}

// Close writes the queued lines and returns after a timeout at the latest. It
// never fails.
func (w *LogWriter) Close() error {
	w.closeOnce.Do(func() { close(w.closing) })
	select {
	case <-w.done:
	case <-time.After(logFlushTimeout):
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
	w.queued.Add(-int64(len(line)))
}
