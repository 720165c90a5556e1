package process_test

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/process"
)

func TestProcess(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "process")
}

// blockedWriter blocks writes until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.unblock
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.written.Write(p)
}

func (b *blockedWriter) text() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.written.String()
}

var _ = Describe("the log writer", func() {
	It("writes every line in order", func() {
		reader, writer := io.Pipe()
		w := process.NewLogWriter(writer)
		for i := range 3 {
			_, _ = fmt.Fprintf(w, "line %d\n", i)
		}
		buf := make([]byte, 21)
		_, err := io.ReadFull(reader, buf)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(buf)).To(Equal("line 0\nline 1\nline 2\n"))
	})

	// Guards against long lines that fill the memory of a host while the output is slow.
	It("drops lines beyond the bytes that it may queue", func() {
		out := &blockedWriter{unblock: make(chan struct{})}
		w := process.NewLogWriter(out)
		long := bytes.Repeat([]byte("x"), 90<<10)
		for range 100 {
			_, _ = w.Write(append(long, '\n'))
		}
		close(out.unblock)
		Expect(w.Close()).To(Succeed())
		Expect(len(out.text())).To(BeNumerically("<", 1<<20))
		_, _ = w.Write([]byte("later\n"))
	})

	// If logging blocked while the consumer of the output has stopped reading,
	// every request would stall.
	It("drops and counts lines instead of blocking", func() {
		out := &blockedWriter{unblock: make(chan struct{})}
		w := process.NewLogWriter(out)
		for range 5000 {
			_, err := w.Write([]byte("line\n"))
			Expect(err).NotTo(HaveOccurred())
		}
		close(out.unblock)
		Eventually(out.text).Should(ContainSubstring("log lines dropped"))
		Expect(w.Close()).To(Succeed())
	})
})
