package gateway_test

import (
	"net"
	"net/http"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/directory"
)

// crashing runs a target that dies of the body "poison" and answers all else.
func crashing(id string) (*directory.ObservedTarget, func() int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = l.Close() })
	t := &target{id: id, address: l.Addr().String()}
	var once sync.Once
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go t.serve(conn, func(conn net.Conn, r *http.Request) {
				if strings.Contains(r.URL.Path, "poison") {
					once.Do(func() { _ = l.Close() })
					return
				}
				say(goodPlain)(conn, r)
			})
		}
	}()
	return t.entry("app", "dc-1"), func() int { return len(t.requests()) }
}

var _ = Describe("a request that crashes each target that runs it", func() {
	// Its caller sends it again and again. Each time another target dies with
	// everyone else's calls, until none is left.
	It("is refused at once after its third crash, and others are not", func() {
		d := startDeck()
		for _, id := range []string{"i-1", "i-2", "i-3"} {
			t, _ := crashing(id)
			d.publish(t)
			Expect(d.do(d.request("POST", "/book/poison")).status).To(Equal(http.StatusBadGateway))
			Eventually(d.crashes).Should(Equal(int(id[2] - '0')))
		}
		last, seen := crashing("i-4")
		d.publish(last)
		got := d.do(d.request("POST", "/book/poison"))
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(seen()).To(BeZero())
		Expect(d.do(d.request("POST", "/book/")).status).To(Equal(http.StatusOK))
	})

	// A target breaks off one answer and lives. That says nothing of the
	// request, which many callers may send.
	It("is not found in answers that merely broke off", func() {
		t := startTarget("i-1", say(""))
		d := startDeck(t.entry("app", "dc-1"))
		for range 5 {
			Expect(d.do(d.request("POST", "/book/")).status).To(Equal(http.StatusBadGateway))
		}
		Consistently(d.crashes, "200ms").Should(BeZero())
	})
})
