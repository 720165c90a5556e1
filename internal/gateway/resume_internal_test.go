package gateway

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/blackboard"
	"filbertdeck/internal/call"
	"filbertdeck/internal/controller/recordsync"
	"filbertdeck/internal/directory"
)

var _ = Describe("a move that completes just after its generation ended", func() {
	// Guards against a copy that completes after the generation's last event:
	// switching to it would start work that no caller waits for and keep its
	// reservation counted permanently.
	It("is cancelled and releases its reservation", func() {
		loads := NewTargetLoads("host-1", "dc-1", func() time.Duration { return 0 })
		target := &directory.ObservedTarget{Published: true, Target: directory.Target{ID: "i-1", Service: "llm", Address: "127.0.0.1:1"}}
		board := &recordsync.Board{}
		var views *blackboard.Writer[directory.View]
		views, err := board.View.Claim()
		Expect(err).NotTo(HaveOccurred())
		views.Publish(directory.NewView(1, nil, map[string]*directory.ObservedTarget{"i-1": target}, nil))
		gen := &generation{ctx: context.Background(), exchange: &exchange{Request: &call.Request{}}, g: &Gateway{cfg: Config{Loads: loads, Board: board}}}
		reservation := loads.Reserve("i-1", call.Prompt{Tokens: 10})
		gen.closeNextStream()
		Expect(gen.switchTo(nil, &memoryCopy{target: target}, reservation, nil)).To(MatchError(errStreamEnded))
		Expect(loads.HostsUsing("i-1")).To(BeZero())
	})
})
