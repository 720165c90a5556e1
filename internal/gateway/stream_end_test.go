package gateway_test

import (
	"context"
	"encoding/json"
	"log/slog"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	gometrics "github.com/rcrowley/go-metrics"
)

// logged returns the lines with a message that were logged as JSON.
func logged(logs *lockedBuffer, message string) []map[string]any {
	var lines []map[string]any
	for text := range strings.Lines(logs.String()) {
		var line map[string]any
		Expect(json.Unmarshal([]byte(text), &line)).To(Succeed())
		if line["msg"] == message {
			lines = append(lines, line)
		}
	}
	return lines
}

var _ = Describe("the line of a generation that broke off", func() {
	// Guards against broken answers of which nobody can tell who ended them.
	DescribeTable("says who ended the stream", func(breakAfter int, timeout, leaveAfter time.Duration, endedBy, level string) {
		engine := startEngine("i-1", 1000, 5*time.Millisecond)
		engine.breakAfter = breakAfter
		logs := &lockedBuffer{}
		gw := startGatewayWithLogs(slog.NewJSONHandler(logs, nil))
		for i := range gw.cfg.Routes {
			gw.cfg.Routes[i].Timeout = timeout
		}
		gw.publish(engine.directoryEntry("llm", "dc-1"))
		ctx, cancel := context.WithTimeout(context.Background(), leaveAfter)
		defer cancel()
		Expect(gw.do(gw.request("POST", "/report/").WithContext(ctx)).err).To(HaveOccurred())
		broken := func() []map[string]any { return logged(logs, "generation broke") }
		Eventually(broken, "5s").Should(HaveLen(1))
		Expect(broken()[0]).To(And(HaveKeyWithValue("ended_by", endedBy), HaveKeyWithValue("level", level), HaveKeyWithValue("request", "r-1")))
	},
		Entry("the engine", 3, time.Minute, time.Minute, "engine", "WARN"),
		Entry("the caller", 0, time.Minute, 200*time.Millisecond, "caller", "INFO"),
		Entry("the deadline", 0, 300*time.Millisecond, time.Minute, "deadline", "INFO"),
	)
})

var _ = Describe("a switch to another engine", func() {
	// Guards against moves of which nobody can tell how much of their time they used.
	It("is logged and measured", func() {
		first, second := startEngine("i-1", 40, 5*time.Millisecond), startEngine("i-2", 40, 5*time.Millisecond)
		logs := &lockedBuffer{}
		gw := startGatewayWithLogs(slog.NewJSONHandler(logs, nil), first.directoryEntry("llm", "dc-1"))
		done := make(chan result, 1)
		go func() { done <- gw.do(gw.request("POST", "/report/")) }()
		Eventually(first.eventsSent.Load).Should(BeNumerically(">", 5))
		gw.publish(asLeaving(first.directoryEntry("llm", "dc-1")), second.directoryEntry("llm", "dc-1"))
		var got result
		Eventually(done, "5s").Should(Receive(&got))
		Expect(got.body).To(Equal(eventStream(40)))
		Expect(logged(logs, "generation switched")).To(ConsistOf(And(HaveKeyWithValue("from", "i-1"), HaveKeyWithValue("to", "i-2"), HaveKey("header_after"))))
		for _, name := range []string{"gateway.switch_header_us", "gateway.switch_first_event_us"} {
			Expect(gw.metrics.Get(name).(gometrics.Histogram).Count()).To(Equal(int64(1)), name)
		}
	})
})
