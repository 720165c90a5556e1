package gateway_test

import (
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/gateway"
	"filbertdeck/platform/standin"
)

// startDyingEngine runs an engine that breaks each stream off after its first event.
func startDyingEngine(id string) *fakeTarget {
	return startTarget(id, func(conn net.Conn, r *http.Request) {
		respondStreamHeader(conn, r)
		_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event(1)), event(1))
		time.Sleep(50 * time.Millisecond)
	})
}

var _ = Describe("a generation whose engine is published as leaving when its stream has broken off", func() {
	const events = 40

	// Guards against an answer that is broken off although a move that began meanwhile has
	// continued it at its backup.
	It("goes on where the move has continued it", func() {
		asked := make(chan struct{})
		second := startResumingEngine("i-2", events, nil)
		second.resume = func(conn net.Conn, r *http.Request) {
			close(asked)
			second.serve(conn, r)
		}
		dying := startDyingEngine("i-1")
		var gw *fixture
		var selections atomic.Int64
		// The first selection is for the start, the second one for the backup after the end of
		// the stream.
		publishDuringSecond := func() time.Duration {
			if selections.Add(1) == 2 {
				gw.publish(asLeaving(dying.directoryEntry("llm", "dc-1")), second.directoryEntry("llm", "dc-2"))
				<-asked
			}
			return 0
		}
		gw = startGatewayConfigured(func(cfg *gateway.Config) { cfg.ViewAge = publishDuringSecond }, slog.DiscardHandler)
		gw.loads.RecordFailure("i-2")
		gw.publish(dying.directoryEntry("llm", "dc-1"), second.directoryEntry("llm", "dc-2"))
		got := gw.do(gw.request("POST", "/report/"))
		Expect(dying.requestsToRun()[0].Header.Get(standin.HeaderBackup)).To(Equal(second.address))
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(eventStream(events)))
		Expect(second.resumes.Load()).To(Equal(int64(1)))
	})
})
