package gateway_test

import (
	"log/slog"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	gometrics "github.com/rcrowley/go-metrics"

	"filbertdeck/internal/directory"
)

var _ = Describe("a request whose handling panics", func() {
	// Guards against connections that are closed without a trace.
	It("is logged with its id, and its connection is closed", func() {
		logs := &lockedBuffer{}
		gw := startGatewayWithLogs(slog.NewJSONHandler(logs, nil))
		gw.cfg.Routes = append(gw.cfg.Routes, directory.Route{Name: "no-backend", Host: "a.example", Prefix: "/nowhere/", Kind: directory.Generation})
		gw.publish()
		got := gw.do(gw.request(http.MethodPost, "/nowhere/"))
		Expect(got.err).To(MatchError(ContainSubstring("EOF")))
		lines := logged(logs, "request handler panicked")
		Expect(lines).To(HaveLen(1))
		Expect(lines[0]).To(And(HaveKeyWithValue("request", "r-1"), HaveKeyWithValue("level", "ERROR"), HaveKeyWithValue("kind", "internal")))
		Expect(lines[0]["cause"]).To(ContainSubstring("index out of range"))
		Expect(lines[0]["stack"]).To(ContainSubstring("PickService"))
		Expect(gometrics.GetOrRegisterCounter("gateway.panics", gw.metrics).Count()).To(Equal(int64(1)))
	})

	// Guards against answers that are broken off on purpose and counted as faults of the program.
	It("does not include an answer that is broken off", func() {
		logs := &lockedBuffer{}
		dying := startDyingEngine("i-1")
		gw := startGatewayWithLogs(slog.NewJSONHandler(logs, nil), dying.directoryEntry("llm", "dc-1"))
		req := gw.request(http.MethodPost, "/report/")
		Expect(gw.do(req).err).To(HaveOccurred())
		Expect(logged(logs, "generation broke")).To(HaveLen(1))
		Expect(logged(logs, "request handler panicked")).To(BeEmpty())
		Expect(gometrics.GetOrRegisterCounter("gateway.panics", gw.metrics).Count()).To(BeZero())
	})
})
