package gateway

import (
	"context"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a switch in progress", func() {
	// Guards against a complete answer that waits for an engine which has nothing to add: the
	// switch began after the last event had been relayed.
	It("is abandoned when its generation has ended", func() {
		gen := &generation{ctx: context.Background()}
		end := sync.OnceFunc(func() { gen.endSwitch(nil) })
		DeferCleanup(end)
		Expect(gen.beginSwitch(func() { go end() })).To(BeTrue())
		closed := make(chan struct{})
		go func() { defer close(closed); gen.closeNextStream() }()
		Eventually(closed).Should(BeClosed())
	})
})
