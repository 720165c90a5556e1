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

// silentListener returns the address of a listener that accepts connections and
// never sends anything.
func silentListener() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(l.Close)
	return l.Addr().String()
}

var _ = Describe("the admission client", func() {
	// Guards against dialling a control process under the client's lock: if its
	// host stops responding without closing connections, every request of the
	// entry would wait for the dial timeout, also those to other control
	// processes.
	It("does not block other requests while a control process does not respond", func() {
		silentControl := silentListener()
		c := New(&filbertv1.Hello{Entry: "127.0.0.1:1"}, rpc.Credentials{}, func(string) []string { return []string{silentControl} }, gometrics.NewRegistry())
		DeferCleanup(c.Close)
		acquireErr := make(chan error, 1)
		go func() {
			_, err := c.Acquire(context.Background(), &filbertv1.Ask{Pool: "p"})
			acquireErr <- err
		}()
		Eventually(func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.pendingDials[silentControl] != nil
		}).Should(BeTrue(), "the lock must be free while the connection is opened")
		Expect(c.ownerSession("p")).To(BeNil())
		var err error
		Eventually(acquireErr).WithTimeout(20 * time.Second).Should(Receive(&err))
		Expect(failure.KindOf(err)).To(Equal(failure.KindControlLost))
		Expect(failure.FromError(err).Executed).To(Equal(failure.ExecutedNo))
	})
})
