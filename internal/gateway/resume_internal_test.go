package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/blackboard"
	"filbertdeck/internal/call"
	"filbertdeck/internal/controller/recordsync"
	"filbertdeck/internal/directory"
)

var _ = Describe("a move that is ready just after its generation ended", func() {
	// The last event is out when a copy of the generation becomes whole. Going
	// over to it then would start work that nobody waits for, and keep its
	// place counted for good.
	It("is not made, and gives its place up", func() {
		loads := NewTargetLoads("host-1", "dc-1", func() time.Duration { return 0 })
		target := &directory.ObservedTarget{Published: true, Target: directory.Target{ID: "i-1", Service: "llm", Address: "127.0.0.1:1"}}
		board := &recordsync.Board{}
		var out *blackboard.Writer[directory.View]
		out, err := board.View.Claim()
		Expect(err).NotTo(HaveOccurred())
		out.Publish(directory.NewView(1, nil, map[string]*directory.ObservedTarget{"i-1": target}, nil))
		gen := &generation{exchange: &exchange{Request: &call.Request{}}, g: &Gateway{cfg: Config{Loads: loads, Board: board}}}
		place := loads.Reserve("i-1", call.Prompt{Tokens: 10})
		gen.end()
		Expect(gen.switchTo(&copied{at: target}, place)).To(MatchError(errEnded))
		Expect(loads.Hosts("i-1")).To(BeZero())
	})
})
