package poolgossip_test

import (
	"context"
	"log/slog"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/configservice"
	"filbertdeck/internal/control/poolgossip"
	"filbertdeck/internal/control/poolmanager"
	"filbertdeck/internal/control/poolrunner"
	"filbertdeck/internal/controller/configwatch"
	"filbertdeck/internal/decide/admission"
	"filbertdeck/internal/decide/poison"
	"filbertdeck/internal/decide/rollout"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/table"
)

func TestNews(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "news of control processes")
}

// nobody answers no poller.
type nobody struct{}

func (nobody) Do(*http.Request) (*http.Response, error) {
	return nil, failure.New(failure.KindTargetLost, "no target")
}

const self = "127.0.0.1:9"

// twoPools runs a board over a manager with a pool for each of two services.
func twoPools() (*poolgossip.Board, map[string]*poolrunner.Runner, chan admission.Decision) {
	board := &configwatch.Board{}
	tables, _ := board.Table.Claim()
	hosts, _ := board.Hosts.Claim()
	t := &table.Table{Services: map[string]*table.Service{}}
	for name, address := range map[string]string{"reports": "127.0.0.1:1", "sites": "127.0.0.1:2"} {
		t.Services[name] = &table.Service{
			Name: name, Type: table.ServiceLookup, QueueLimit: 10, Targets: []table.Target{{Address: address, DataCentre: "north"}},
		}
	}
	tables.Publish(t)
	hosts.Publish(&configwatch.Hosts{
		Version: rollout.Version{Revision: 1}, ConfirmedAt: time.Now(),
		List: []configservice.Host{{Name: "h", DataCentre: "north", Control: self, State: configservice.StateLive}},
	})
	m := poolmanager.NewManager(self, board, func() bool { return true }, nobody{}, slog.New(slog.DiscardHandler))
	decisions := make(chan admission.Decision, 10)
	m.SetDeliver(func(_ string, d admission.Decision) { decisions <- d })
	b := poolgossip.New(self, m)
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go m.Run(ctx)
	go b.Run(ctx)
	runners := map[string]*poolrunner.Runner{}
	Eventually(func() int {
		m.Each(func(p poolmanager.Plan, r *poolrunner.Runner) { runners[p.Services[0]] = r })
		return len(runners)
	}).Should(Equal(2))
	return b, runners, decisions
}

func evidence(r *poolrunner.Runner) []poison.Crash {
	out := make(chan []poison.Crash, 1)
	r.Do(func(a *admission.Allocator, now time.Duration) { out <- a.PoisonEvidence(now, 8) })
	return <-out
}

var _ = Describe("evidence of a crash", func() {
	// A request crashes a target of one pool, and its caller sends it again at
	// once, to another pool. Without the evidence that pool loses a target too,
	// also when both pools are run by the same process.
	It("reaches the other pools of the process, and peers at once", func() {
		b, runners, decisions := twoPools()
		r := runners["reports"]
		r.Report(admission.Report{Target: "127.0.0.1:1", Incarnation: 1, Capacity: 10})
		r.Ask(admission.Ask{Request: 1, Account: "park", Fingerprint: 7, MaxWait: time.Minute})
		var d admission.Decision
		Eventually(decisions).Should(Receive(&d))
		Expect(d.Granted()).To(BeTrue())
		r.Settle(admission.Settlement{Lease: d.Lease, Outcome: admission.OutcomeTargetCrashed})
		Eventually(b.Urgent()).Should(Receive())
		told := b.SupplyPoison()
		Expect(told).To(HaveLen(1))
		Expect(told[0].Fingerprints).To(Equal([]uint64{7}))
		Eventually(func() []poison.Crash { return evidence(runners["sites"]) }).Should(HaveLen(1))
		b.TakePoison(told)
		Expect(b.Urgent()).NotTo(Receive(), "its own news, echoed")
	})

	It("is passed on at once where it is new, to a bounded number of peers", func() {
		b, runners, _ := twoPools()
		heard := []*filbertv1.PoisonNews{{Id: 3, Fingerprints: []uint64{7}}}
		b.TakePoison(heard)
		Expect(b.Urgent()).To(Receive())
		Expect(evidence(runners["sites"])).To(HaveLen(1))
		b.TakePoison(heard)
		Expect(b.Urgent()).NotTo(Receive())
		sent := 0
		for range 20 {
			sent += len(b.SupplyPoison())
		}
		Expect(sent).To(Equal(8))
	})
})
