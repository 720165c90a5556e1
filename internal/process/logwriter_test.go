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

// slowReader takes nothing until it is let go.
type slowReader struct {
	let chan struct{}
	mu  sync.Mutex
	got bytes.Buffer
}

func (s *slowReader) Write(p []byte) (int, error) {
	<-s.let
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

func (s *slowReader) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.String()
}

var _ = Describe("the log's writer", func() {
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

	// Whoever collects the output has stopped reading. If logging waited for
	// it, every request would stand still with it.
	It("drops and counts lines in place of blocking", func() {
		s := &slowReader{let: make(chan struct{})}
		w := process.NewLogWriter(s)
		for range 5000 {
			_, err := w.Write([]byte("line\n"))
			Expect(err).NotTo(HaveOccurred())
		}
		close(s.let)
		Eventually(s.text).Should(ContainSubstring("log lines dropped"))
		Expect(w.Close()).To(Succeed())
	})
})
