package admit

import (
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	gometrics "github.com/rcrowley/go-metrics"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/rpc"
)

func TestAdmit(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admission at an entry")
}

// silent takes connections and never says a word.
func silent() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	return l.Addr().String()
}

var _ = Describe("asking control processes", func() {
	// A control host falls silent without closing anything. Dialled under the
	// client's lock, it makes every request of the entry wait for its timeout,
	// also those that go to other control processes.
	It("keeps nobody else waiting for one that is silent", func() {
		mute := silent()
		c := New(&filbertv1.Hello{Entry: "127.0.0.1:1"}, rpc.Credentials{}, func(string) []string { return []string{mute} }, gometrics.NewRegistry())
		DeferCleanup(c.Close)
		asked := make(chan error, 1)
		go func() {
			_, err := c.Acquire(context.Background(), &filbertv1.Ask{Pool: "p"})
			asked <- err
		}()
		Eventually(func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.opening[mute] != nil
		}).Should(BeTrue(), "the lock is free while the connection is made")
		Expect(c.ownerSession("p")).To(BeNil())
		var err error
		Eventually(asked).WithTimeout(20 * time.Second).Should(Receive(&err))
		Expect(failure.KindOf(err)).To(Equal(failure.KindControlLost))
		Expect(failure.From(err).Executed).To(Equal(failure.ExecutedNo))
	})
})
