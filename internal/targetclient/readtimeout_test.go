package targetclient_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/targetclient"
)

var suiteT *testing.T

// inFakeTime runs f, and then what f has started, with a clock that advances when all
// goroutines wait. Expectations belong after it.
func inFakeTime(f func()) {
	synctest.Test(suiteT, func(*testing.T) {
		f()
		time.Sleep(24 * time.Hour)
	})
}

// slowTarget answers each request of its connections after a time of its own.
type slowTarget struct {
	answersAfter []time.Duration
	connections  int
}

func (t *slowTarget) connect(context.Context, string, string, time.Duration) (net.Conn, error) {
	t.connections++
	client, server := net.Pipe()
	go t.serve(server)
	return client, nil
}

func (t *slowTarget) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		after := t.answersAfter[0]
		t.answersAfter = t.answersAfter[1:]
		time.Sleep(after)
		if _, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
			return
		}
	}
}

var _ = Describe("the read idle timeout of a connection", func() {
	settings := targetclient.Settings{ResponseHeaderTimeout: 10 * time.Second, ReadIdleTimeout: 5 * time.Second}
	post := func(client *targetclient.Client) error {
		req, err := http.NewRequest(http.MethodPost, "http://127.0.0.1:1/", http.NoBody)
		if err != nil {
			return err
		}
		return drainBody(client.Do(req))
	}

	// Guards against a request on a connection that was idle: the time in which nothing was
	// asked for would count as silence of the target, which would have failed with an
	// unknown outcome.
	It("begins with a request on a reused connection", func() {
		target := &slowTarget{answersAfter: []time.Duration{0, time.Second}}
		var first, second error
		inFakeTime(func() {
			s := settings
			s.Connect = target.connect
			client := targetclient.New(s)
			first = post(client)
			time.Sleep(settings.ResponseHeaderTimeout + settings.ReadIdleTimeout - time.Millisecond)
			second = post(client)
			client.CloseIdle()
		})
		Expect(first).NotTo(HaveOccurred())
		Expect(second).NotTo(HaveOccurred())
		Expect(target.connections).To(Equal(1))
	})

	// Guards against a target that accepts requests and is silent for good.
	It("ends a request on a reused connection that is not answered", func() {
		target := &slowTarget{answersAfter: []time.Duration{0, time.Hour}}
		var first, second error
		var took time.Duration
		inFakeTime(func() {
			s := settings
			s.Connect = target.connect
			client := targetclient.New(s)
			first = post(client)
			time.Sleep(time.Second)
			asked := time.Now()
			second = post(client)
			took = time.Since(asked)
			client.CloseIdle()
		})
		Expect(first).NotTo(HaveOccurred())
		Expect(failure.KindOf(second)).To(Equal(failure.KindTargetTimeout))
		Expect(failure.FromError(second).Executed).To(Equal(failure.ExecutedUnknown))
		Expect(took).To(Equal(settings.ResponseHeaderTimeout))
	})
})
