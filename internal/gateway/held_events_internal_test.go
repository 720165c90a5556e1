package gateway

import (
	"context"
	"net/http/httptest"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/call"
	"filbertdeck/internal/sse"
)

var _ = Describe("a switch in progress", func() {
	// Guards against a complete answer that waits for an engine which has nothing to add: the
	// switch began after the last event had been relayed.
	It("is abandoned when its generation has ended", func() {
		gen := &generation{ctx: context.Background()}
		end := sync.OnceFunc(func() { gen.endSwitch(nil, nil) })
		DeferCleanup(end)
		Expect(gen.beginSwitch(nil, func() { go end() })).To(BeTrue())
		closed := make(chan struct{})
		go func() { defer close(closed); gen.closeNextStream() }()
		Eventually(closed).Should(BeClosed())
	})

	// Guards against a copy that is offered after it has expired, and may run as a new request:
	// events that were held do not show that the copy was kept up to date since.
	It("does not make the generation's last event later by passing on held ones", func() {
		gen := &generation{ctx: context.Background(), exchange: &exchange{Request: &call.Request{ArrivedAt: time.Now()}, w: httptest.NewRecorder()}}
		Expect(gen.beginSwitch(nil, func() {})).To(BeTrue())
		Expect(gen.deliver(&sse.RawEvent{Bytes: []byte("data: a\n\n")}, nil)).To(Succeed())
		time.Sleep(50 * time.Millisecond)
		gen.endSwitch(nil, nil)
		Expect(gen.progress.Load()).NotTo(BeNil())
		Expect(gen.sinceLastEvent()).To(BeNumerically(">=", 50*time.Millisecond))
	})

	// Guards against a second move whose switch replaces the one in progress: whoever waits for
	// the first would wait for ever, and its end would end the process.
	It("is the only one of its generation", func() {
		gen := &generation{ctx: context.Background()}
		Expect(gen.beginSwitch(nil, func() {})).To(BeTrue())
		Expect(gen.beginSwitch(nil, func() {})).To(BeFalse())
	})
})
