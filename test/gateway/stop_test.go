package gateway_test

import (
	"net/http"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/platform/standin"
)

var _ = Describe("a gateway process that stops", func() {
	// Guards against a closed connection without an answer, which does not tell the
	// caller that its booking may have run.
	It("answers a request that outlasts its grace period with an unknown outcome", func() {
		env := newEnvironment()
		DeferCleanup(func() { close(env.release) })
		h := startHostWith(standin.ProcessSettings{StoreAddress: serveStore(env.store), StopGrace: 2 * time.Second})
		Eventually(h.isReady, stepTimeout).Should(BeTrue())
		status := make(chan int, 1)
		go func() { status <- h.post("/b/held", "key-1") }()
		Eventually(env.heldCalls, stepTimeout).Should(Receive())
		Expect(h.cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Eventually(status, stepTimeout).Should(Receive(Equal(http.StatusBadGateway)))
		Eventually(h.exited, stepTimeout).Should(BeClosed())
		Expect(h.logText()).To(ContainSubstring("request cut off by the exit of the process"))
	})
})
