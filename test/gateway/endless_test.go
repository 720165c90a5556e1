package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/platform/standin"
)

const (
	// endlessCalls is the number of requests at a time whose answers have no end, endlessRounds
	// how often each of their callers asks.
	endlessCalls, endlessRounds = 48, 3
	// mostGrowth is what a process may grow by, on a host with 134 MB.
	mostGrowth = 80 << 20
	// endlessDeadline is the callers' time budget in milliseconds.
	endlessDeadline = 3000
	// longAnswer is the length of a sound answer beside them.
	longAnswer = 1 << 20
)

// serveEndless serves answers without end for paths that contain "endless", whole ones
// otherwise.
func serveEndless(write func(conn net.Conn, id string)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go answerEndless(conn, write)
		}
	}()
	return l.Addr().String()
}

func answerEndless(conn net.Conn, write func(conn net.Conn, id string)) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get(standin.HeaderRequestID)
		if strings.Contains(r.URL.Path, "endless") {
			write(conn, id)
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s-1\r\nContent-Length: %d\r\n\r\n", standin.HeaderRequestID, id, standin.HeaderSeal, longAnswer)
		if _, err := conn.Write(make([]byte, longAnswer)); err != nil {
			return
		}
	}
}

// residentBytes returns a line of the process's status, in bytes.
func (h *host) residentBytes(field string) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	Expect(err).NotTo(HaveOccurred())
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, field+":"); ok {
			kib, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			Expect(err).NotTo(HaveOccurred())
			return kib << 10
		}
	}
	Fail("no " + field)
	return 0
}

// get sends a request and returns the status and the length of the answer; 0 without a
// complete one.
func (h *host) get(path, id string) (status, length int) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*endlessDeadline*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.clientAddress+path, strings.NewReader("x"))
	if err != nil {
		return 0, 0
	}
	req.Host, req.Close = "a.example", true
	req.Header.Set("Authorization", "Bearer key-1")
	req.Header.Set(standin.HeaderRequestID, id)
	req.Header.Set(standin.HeaderDeadline, strconv.Itoa(endlessDeadline))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = resp.Body.Close() }()
	n, err := io.Copy(io.Discard, resp.Body)
	if err != nil {
		return 0, 0
	}
	return resp.StatusCode, int(n)
}

var _ = Describe("a gateway process before targets whose answers have no end", func() {
	sealed := func(conn net.Conn, id, rest string) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s-1\r\n%s\r\n", standin.HeaderRequestID, id, standin.HeaderSeal, rest)
	}
	forever := func(conn net.Conn, piece []byte) {
		for {
			if _, err := conn.Write(piece); err != nil {
				return
			}
		}
	}
	noise := bytes.Repeat([]byte("x"), 16<<10)

	// Guards against a host that ends since it buffers many answers without end at once.
	DescribeTable("bounds its memory over all of them, and serves sound ones", func(path string, write func(conn net.Conn, id string)) {
		env := newEnvironment()
		env.store.RemoveServer("i-1")
		for i := range 2 {
			env.store.PutServer(fmt.Sprintf("t-%d", i), "app", serveEndless(write), "ready")
		}
		h := startHost(serveStore(env.store))
		Eventually(h.isReady, stepTimeout).Should(BeTrue())
		Eventually(func() int { status, _ := h.get(path, "first"); return status }, stepTimeout).Should(Equal(http.StatusOK))
		before := h.residentBytes("VmRSS")
		var answered, sound, served atomic.Int64
		var calls, endless sync.WaitGroup
		for n := range endlessCalls {
			endless.Go(func() {
				for round := range endlessRounds {
					if status, _ := h.get(path+"endless", fmt.Sprintf("endless-%d-%d", n, round)); status >= http.StatusInternalServerError {
						answered.Add(1)
					}
				}
			})
		}
		done := make(chan struct{})
		go func() { endless.Wait(); close(done) }()
		calls.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				sound.Add(1)
				if status, length := h.get(path, fmt.Sprintf("sound-%d", n)); status == http.StatusOK && length == longAnswer {
					served.Add(1)
				}
			}
		})
		calls.Wait()
		growth := h.residentBytes("VmHWM") - before
		AddReportEntry("growth and answers", fmt.Sprintf("%.1f MB, %d of %d answered with a failure, sound %d of %d", float64(growth)/(1<<20), answered.Load(), endlessCalls*endlessRounds, served.Load(), sound.Load()))
		Expect(growth).To(BeNumerically("<=", mostGrowth))
		Expect(answered.Load()).To(BeNumerically("==", endlessCalls*endlessRounds), "callers with an answer")
		Expect(float64(served.Load())).To(BeNumerically(">=", 0.9*float64(sound.Load())), "sound requests")
	},
		Entry("a body until the connection closes", "/b/", func(conn net.Conn, id string) {
			sealed(conn, id, "")
			forever(conn, noise)
		}),
		Entry("chunks", "/b/", func(conn net.Conn, id string) {
			sealed(conn, id, "Transfer-Encoding: chunked\r\n")
			forever(conn, []byte(fmt.Sprintf("%x\r\n%s\r\n", len(noise), noise)))
		}),
		Entry("a body with a length beyond any answer", "/b/", func(conn net.Conn, id string) {
			sealed(conn, id, "Content-Length: 1000000000000\r\n")
			forever(conn, noise)
		}),
		Entry("head lines", "/b/", func(conn net.Conn, id string) {
			_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n")
			forever(conn, []byte("X-More: "+strings.Repeat("y", 1000)+"\r\n"))
		}),
	)
})
