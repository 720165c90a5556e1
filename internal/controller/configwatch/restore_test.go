package configwatch_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/controller/configwatch"
	"filbertdeck/internal/decide/rollout"
)

// weights is the operators' table as a map.
type weights map[string]int

func (w weights) csv() string {
	var b strings.Builder
	b.WriteString(head + "service,reports,,generation\n")
	for _, k := range slices.Sorted(maps.Keys(w)) {
		fmt.Fprintf(&b, "account,%s,%d,\n", k, w[k])
	}
	return b.String()
}

// reader is one reader with its own store, driven call by call.
type reader struct {
	board   configwatch.Board
	store   *configwatch.Store
	session *configwatch.Session
}

func newReader(svc *service) *reader {
	r := &reader{}
	var err error
	r.store, err = configwatch.NewStore(&r.board, configwatch.StoreConfig{})
	Expect(err).NotTo(HaveOccurred())
	r.session = configwatch.NewSession(configwatch.NewWatcher(svc, r.store))
	return r
}

func (r *reader) step() { Expect(r.session.Step()).To(Succeed()) }

func (r *reader) weights() weights {
	out := weights{}
	for name, a := range r.board.Table.Get().Accounts {
		out[name] = int(a.Weight)
	}
	return out
}

// bring gives another store everything that r's holds, as gossip would.
func (r *reader) bring(to *configwatch.Store) {
	for _, s := range configwatch.Sections {
		to.Offer(s, r.store.Since(s, to.Head(s).Version))
	}
}

var _ = Describe("a restored service on which operators go on editing", func() {
	var svc *service
	var r *reader
	var restore func()

	// The table holds clinic and radio; after the backup, clinic was cut to 9
	// and the data centre south was taken out.
	BeforeEach(func() {
		svc = newService()
		svc.put("hosts", hosts("h1"))
		svc.put("table/0001", weights{"clinic": 1, "radio": 1}.csv())
		r = newReader(svc)
		r.step()
		restore = svc.backup()
		svc.put("table/0001", weights{"clinic": 9, "radio": 1}.csv())
		r.step()
		svc.put("drain", "south\n")
		r.step()
		restore()
		r.step()
		Expect(r.weights()).To(Equal(weights{"clinic": 9, "radio": 1}))
	})

	// The operator edits another row of the restored table, not knowing that
	// the earlier edit is lost. Both edits were accepted: both must be in force,
	// and the data centre must stay out.
	It("takes the new edit and keeps the lost ones", func() {
		svc.put("table/0001", weights{"clinic": 1, "radio": 4}.csv())
		r.step()
		Expect(r.weights()).To(Equal(weights{"clinic": 9, "radio": 4}))
		Expect(r.board.Table.Get().Drained).To(HaveKey("south"))
		Expect(r.store.Head(configwatch.SectionTable).Version.String()).To(Equal("0+1.3"))
		svc.put("table/0001", weights{"clinic": 2, "radio": 4}.csv())
		r.step()
		svc.put("table/0001", weights{"clinic": 1, "radio": 4}.csv())
		r.step()
		Expect(r.weights()["clinic"]).To(Equal(1), "once edited, the row is no longer kept")
	})

	It("brings other nodes, readers among them, to the same", func() {
		other := newReader(svc)
		svc.put("table/0001", weights{"clinic": 1, "radio": 4}.csv())
		r.step()
		r.bring(other.store)
		other.step()
		svc.put("table/0001", weights{"clinic": 1, "radio": 5}.csv())
		other.step()
		r.step()
		for _, s := range configwatch.Sections {
			Expect(other.store.Head(s)).To(Equal(r.store.Head(s)), string(s))
		}
		Expect(other.weights()).To(Equal(weights{"clinic": 9, "radio": 5}))
	})

	It("goes by the service's rows alone once the epoch is raised", func() {
		svc.put("table/0001", weights{"clinic": 1, "radio": 4}.csv())
		r.step()
		svc.put("table/0001", weights{"clinic": 1, "radio": 4}.csv()+"epoch,1,,\n")
		r.step()
		Expect(r.weights()).To(Equal(weights{"clinic": 1, "radio": 4}))
		Expect(r.store.Since(configwatch.SectionKept, rollout.Version{}).Rows).To(BeEmpty())
		Expect(r.board.Table.Get().Drained).To(BeEmpty(), "the drain list goes by the service as well")
	})

	// A replica of the service lags and replays old edits one by one. It looks
	// like a restore followed by edits; taking them would revert newer ones.
	It("does not take a lagging replica for a restored service", func() {
		svc.put("table/0001", weights{"clinic": 9, "radio": 1}.csv())
		r.step()
		svc.put("drain", "south\n")
		r.step()
		Expect(r.weights()).To(Equal(weights{"clinic": 9, "radio": 1}))
		Expect(r.store.Head(configwatch.SectionTable).Version).To(Equal(rollout.Version{Revision: 3}))
	})
})

var _ = Describe("the documents in force against perfect knowledge", func() {
	// play makes random edits with one restore among them, and calls check with
	// what the last accepted edit of each row says.
	play := func(seed uint64, check func(r *reader, accepted weights, service weights)) {
		rng := rand.New(rand.NewPCG(seed, 4))
		svc := newService()
		svc.put("hosts", hosts("h1"))
		accepted, saved := weights{}, weights{}
		for i := range 5 {
			accepted[fmt.Sprint("a", i)] = 1
		}
		held := maps.Clone(accepted)
		svc.put("table/0001", held.csv())
		r := newReader(svc)
		r.step()
		var restore func()
		backupAt := rng.IntN(15)
		restoreAt := backupAt + 2 + rng.IntN(10)
		for i := range 40 {
			switch {
			case i == backupAt:
				restore, saved = svc.backup(), maps.Clone(held)
			case i == restoreAt:
				restore()
				held = maps.Clone(saved)
			default:
				key := fmt.Sprint("a", rng.IntN(8))
				if _, there := held[key]; there && rng.IntN(4) == 0 {
					delete(held, key)
					delete(accepted, key)
				} else {
					held[key] = 10 + i
					accepted[key] = 10 + i
				}
				svc.put("table/0001", held.csv())
			}
			r.step()
			check(r, accepted, held)
		}
	}

	It("has in force the last accepted edit of each row, across a restore", func() {
		for seed := range uint64(50) {
			play(seed, func(r *reader, accepted, _ weights) {
				Expect(r.weights()).To(Equal(accepted), "seed %d", seed)
			})
		}
	})

	// The naive reader puts in force what the service shows.
	It("would revert edits if the service's word counted", func() {
		reverted := 0
		play(1, func(_ *reader, accepted, held weights) {
			if !maps.Equal(accepted, held) {
				reverted++
			}
		})
		Expect(reverted).To(BeNumerically(">", 0))
	})
})
