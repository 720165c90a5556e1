package gateway

import (
	"context"
	"net/http/httptest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	gometrics "github.com/rcrowley/go-metrics"

	"filbertdeck/internal/call"
	"filbertdeck/internal/decide/retrybudget"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/sse"
)

var _ = Describe("a generation that is withdrawn as its first event arrives", func() {
	target := &directory.ObservedTarget{Target: directory.Target{ID: "i-1", Service: "llm"}}
	var gen *generation
	var caller *httptest.ResponseRecorder
	var loads *TargetLoads
	var ctx context.Context
	deliver := func() error {
		return gen.deliver(&sse.RawEvent{Bytes: []byte("data: 1\n\n")}, &engineStream{target: target})
	}
	withdraw := func() bool {
		successor := loads.Reserve("i-2", call.Prompt{Tokens: 10})
		withdrawn := gen.withdraw(target, successor, &move{})
		if !withdrawn {
			successor.Release()
		}
		return withdrawn
	}
	BeforeEach(func() {
		caller = httptest.NewRecorder()
		now := func() time.Duration { return 0 }
		loads = NewTargetLoads("host-1", "dc-1", now)
		g := &Gateway{metrics: newGatewayMetrics(gometrics.NewRegistry()), cfg: Config{Loads: loads, Now: now, RetryBudget: retrybudget.New(retrybudget.Config{})}}
		gen = &generation{exchange: &exchange{Request: &call.Request{}, w: caller, route: &directory.Route{}, service: &directory.Service{}}, g: g, headerSent: true}
		var cancel context.CancelCauseFunc
		ctx, cancel = context.WithCancelCause(context.Background())
		gen.beginFreshRun(&Reservation{entry: target}, 1, triedTargets{}, cancel)
	})

	// Guards against a stream that is closed and run again after its caller has an event.
	It("goes on at its engine if the event is first", func() {
		Expect(deliver()).To(Succeed())
		Expect(withdraw()).To(BeFalse())
		Expect(ctx.Err()).NotTo(HaveOccurred())
		Expect(gen.endFreshRun()).To(BeNil())
		Expect(loads.HostsUsing("i-2")).To(BeZero())
	})

	// Guards against an event that the caller gets from both engines.
	It("starts again if the event is late, which is not delivered", func() {
		Expect(withdraw()).To(BeTrue())
		Expect(deliver()).To(MatchError(errGenerationWithdrawn))
		Expect(caller.Body.String()).To(BeEmpty())
		Expect(context.Cause(ctx)).To(Equal(errGenerationWithdrawn))
		run := gen.endFreshRun()
		Expect(run.tried.failed).To(Equal([]string{"i-1"}))
		Expect(run.successor.targetID).To(Equal("i-2"))
	})

	// Guards against an engine that stays reserved for a generation which has gone elsewhere.
	It("is not withdrawn once its run is over, nor twice", func() {
		Expect(withdraw()).To(BeTrue())
		Expect(withdraw()).To(BeFalse())
		gen.endFreshRun().releaseSuccessor()
		Expect(withdraw()).To(BeFalse())
		Expect(loads.HostsUsing("i-2")).To(BeZero())
	})

	// Guards against an engine that takes few requests a second and gets none, because a
	// generation that was not started there after all counts as sent.
	It("does not use up the rate of an engine at which it is not started", func() {
		rate := 0.001
		loads.ObserveRate("i-2", &rate)
		withinRate := func() bool {
			loads.mu.Lock()
			defer loads.mu.Unlock()
			return loads.withinRate("i-2")
		}
		Expect(withinRate()).To(BeTrue())
		Expect(withdraw()).To(BeTrue())
		Expect(withinRate()).To(BeFalse())
		gen.endFreshRun().releaseSuccessor()
		Expect(withinRate()).To(BeTrue())
	})
})
