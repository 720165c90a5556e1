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
	RunSpecs(t, "exchange of backlogs and crashes between control processes")
}

// unreachableClient fails every request.
type unreachableClient struct{}

func (unreachableClient) Do(*http.Request) (*http.Response, error) {
	return nil, failure.New(failure.KindTargetLost, "no target")
}

const self = "127.0.0.1:9"

// startTwoPools starts a store over a manager with one pool for each of two
// services.
func startTwoPools() (*poolgossip.Store, map[string]*poolrunner.Runner, chan admission.Decision) {
	board := &configwatch.Board{}
	tableWriter, _ := board.Table.Claim()
	hostsWriter, _ := board.Hosts.Claim()
	t := &table.Table{Services: map[string]*table.Service{}}
	for name, address := range map[string]string{"reports": "127.0.0.1:1", "sites": "127.0.0.1:2"} {
		t.Services[name] = &table.Service{
			Name: name, Type: table.ServiceLookup, QueueLimit: 10, Targets: []table.Target{{Address: address, DataCentre: "north"}},
		}
	}
	tableWriter.Publish(t)
	hostsWriter.Publish(&configwatch.Hosts{
		Version: rollout.Version{Revision: 1}, ConfirmedAt: time.Now(),
		List: []configservice.Host{{Name: "h", DataCentre: "north", Control: self, State: configservice.StateLive}},
	})
	m := poolmanager.NewManager(self, board, func() bool { return true }, unreachableClient{}, slog.New(slog.DiscardHandler))
	decisions := make(chan admission.Decision, 10)
	m.SetDeliver(func(_ string, d admission.Decision) { decisions <- d })
	store := poolgossip.New(self, m)
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go m.Run(ctx)
	go store.Run(ctx)
	runners := map[string]*poolrunner.Runner{}
	Eventually(func() int {
		m.ForEach(func(p poolmanager.Plan, r *poolrunner.Runner) { runners[p.Services[0]] = r })
		return len(runners)
	}).Should(Equal(2))
	return store, runners, decisions
}

func evidence(r *poolrunner.Runner) []poison.Crash {
	out := make(chan []poison.Crash, 1)
	r.Do(func(a *admission.Allocator, now time.Duration) { out <- a.PoisonEvidence(now, 8) })
	return <-out
}

var _ = Describe("evidence of a crash", func() {
	// A request crashes a target of one pool, and its caller retries it at once
	// in another pool. Without the evidence that pool loses a target too, even if
	// the same process runs both pools.
	It("reaches the other pools of the process, and peers immediately", func() {
		store, runners, decisions := startTwoPools()
		r := runners["reports"]
		r.Report(admission.Report{Target: "127.0.0.1:1", Incarnation: 1, Capacity: 10})
		r.Ask(admission.Ask{RequestID: 1, Account: "park", Fingerprint: 7, MaxWait: time.Minute})
		var d admission.Decision
		Eventually(decisions).Should(Receive(&d))
		Expect(d.Granted()).To(BeTrue())
		r.Settle(admission.Settlement{Lease: d.Lease, Outcome: admission.OutcomeTargetCrashed})
		Eventually(store.Urgent()).Should(Receive())
		supplied := store.SupplyPoison()
		Expect(supplied).To(HaveLen(1))
		Expect(supplied[0].Fingerprints).To(Equal([]uint64{7}))
		Eventually(func() []poison.Crash { return evidence(runners["sites"]) }).Should(HaveLen(1))
		store.ReceivePoison(supplied)
		Expect(store.Urgent()).NotTo(Receive(), "a local crash that a peer sends back")
	})

	It("is passed on immediately if it is new, and a bounded number of times", func() {
		store, runners, _ := startTwoPools()
		received := []*filbertv1.PoisonNews{{Id: 3, Fingerprints: []uint64{7}}}
		store.ReceivePoison(received)
		Expect(store.Urgent()).To(Receive())
		Expect(evidence(runners["sites"])).To(HaveLen(1))
		store.ReceivePoison(received)
		Expect(store.Urgent()).NotTo(Receive())
		sent := 0
		for range 20 {
			sent += len(store.SupplyPoison())
		}
		Expect(sent).To(Equal(8))
	})
})
