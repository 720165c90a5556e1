package gateway_test

import (
	"context"
	"log/slog"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// pausingHandler is a log handler that runs pause before it takes a line with a message, as
// a process does that has no processor for a moment.
type pausingHandler struct {
	slog.Handler
	message string
	pause   func()
}

// Enabled implements slog.Handler.
func (h pausingHandler) Enabled(context.Context, slog.Level) bool { return true }

// Handle implements slog.Handler.
func (h pausingHandler) Handle(_ context.Context, r slog.Record) error {
	if r.Message == h.message {
		h.pause()
	}
	return nil
}

var _ = Describe("a switch to another engine that succeeds as the previous engine completes the answer", func() {
	// Guards against a switch that is given up, since the answer is complete, after it has
	// taken the place of the complete stream.
	It("does not break the answer off", func() {
		const events = 12
		first, second := startEngine("i-1", events, 20*time.Millisecond), startEngine("i-2", events, 5*time.Millisecond)
		first.leavesIn.Store(5000)
		awaitCompletion := func() {
			for first.eventsSent.Load() < events {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(50 * time.Millisecond)
		}
		gw := startGatewayWithLogs(pausingHandler{slog.DiscardHandler, "generation switched", awaitCompletion}, first.directoryEntry("llm", "dc-1"))
		got := gw.generationOn(first, second)
		Expect(second.generationRequests()).To(HaveLen(1))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(eventStream(events)))
	})
})
