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

// tableWeights maps account names to the weights in the operators' table.
type tableWeights map[string]int

func (w tableWeights) csv() string {
	var b strings.Builder
	b.WriteString(tableHeader + "service,reports,,generation\n")
	for _, account := range slices.Sorted(maps.Keys(w)) {
		fmt.Fprintf(&b, "account,%s,%d,\n", account, w[account])
	}
	return b.String()
}

// testReader is a reader with its own store. Each call is made explicitly.
type testReader struct {
	board   configwatch.Board
	store   *configwatch.Store
	session *configwatch.ReadSession
}

func newTestReader(svc *fakeService) *testReader {
	r := &testReader{}
	var err error
	r.store, err = configwatch.NewStore(&r.board, configwatch.StoreConfig{})
	Expect(err).NotTo(HaveOccurred())
	r.session = configwatch.NewReadSession(configwatch.NewWatcher(svc, r.store))
	return r
}

func (r *testReader) readOnce() { Expect(r.session.ReadOnce()).To(Succeed()) }

func (r *testReader) weights() tableWeights {
	weights := tableWeights{}
	for name, a := range r.board.Table.Get().Accounts {
		weights[name] = int(a.Weight)
	}
	return weights
}

// copyTo applies everything that r's store holds to another store, as gossip
// does.
func (r *testReader) copyTo(dst *configwatch.Store) {
	for _, s := range configwatch.Sections {
		dst.Apply(s, r.store.DeltaSince(s, dst.Head(s).Version))
	}
}

var _ = Describe("a restored service that operators continue to edit", func() {
	var svc *fakeService
	var r *testReader
	var restore func()

	// The table holds the accounts clinic and radio. After the backup, the
	// weight of clinic is set to 9 and the data centre south is drained.
	BeforeEach(func() {
		svc = newFakeService()
		svc.put("hosts", hostsJSON("h1"))
		svc.put("table/0001", tableWeights{"clinic": 1, "radio": 1}.csv())
		r = newTestReader(svc)
		r.readOnce()
		restore = svc.backup()
		svc.put("table/0001", tableWeights{"clinic": 9, "radio": 1}.csv())
		r.readOnce()
		svc.put("drain", "south\n")
		r.readOnce()
		restore()
		r.readOnce()
		Expect(r.weights()).To(Equal(tableWeights{"clinic": 9, "radio": 1}))
	})

	// Guards against the loss of accepted edits when an operator edits another
	// row of the restored table without knowing that the earlier edit is lost.
	// Both edits must be in force, and the data centre must stay drained.
	It("applies the new edit and keeps the lost ones in force", func() {
		svc.put("table/0001", tableWeights{"clinic": 1, "radio": 4}.csv())
		r.readOnce()
		Expect(r.weights()).To(Equal(tableWeights{"clinic": 9, "radio": 4}))
		Expect(r.board.Table.Get().Drained).To(HaveKey("south"))
		Expect(r.store.Head(configwatch.SectionTable).Version.String()).To(Equal("0+1.3"))
		svc.put("table/0001", tableWeights{"clinic": 2, "radio": 4}.csv())
		r.readOnce()
		svc.put("table/0001", tableWeights{"clinic": 1, "radio": 4}.csv())
		r.readOnce()
		Expect(r.weights()["clinic"]).To(Equal(1), "once edited, the row is no longer kept")
	})

	It("brings other nodes, including readers, to the same state", func() {
		other := newTestReader(svc)
		svc.put("table/0001", tableWeights{"clinic": 1, "radio": 4}.csv())
		r.readOnce()
		r.copyTo(other.store)
		other.readOnce()
		svc.put("table/0001", tableWeights{"clinic": 1, "radio": 5}.csv())
		other.readOnce()
		r.readOnce()
		for _, s := range configwatch.Sections {
			Expect(other.store.Head(s)).To(Equal(r.store.Head(s)), string(s))
		}
		Expect(other.weights()).To(Equal(tableWeights{"clinic": 9, "radio": 5}))
	})

	It("drops the kept rows once the epoch is raised", func() {
		svc.put("table/0001", tableWeights{"clinic": 1, "radio": 4}.csv())
		r.readOnce()
		svc.put("table/0001", tableWeights{"clinic": 1, "radio": 4}.csv()+"epoch,1,,\n")
		r.readOnce()
		Expect(r.weights()).To(Equal(tableWeights{"clinic": 1, "radio": 4}))
		Expect(r.store.DeltaSince(configwatch.SectionKept, rollout.Version{}).Rows).To(BeEmpty())
		Expect(r.board.Table.Get().Drained).To(BeEmpty(), "the drain list follows the service as well")
	})

	// Guards against taking a lagging replica that replays old edits one by one
	// for a restored service with new edits, which would revert newer edits.
	It("does not mistake a lagging replica for a restored service", func() {
		svc.put("table/0001", tableWeights{"clinic": 9, "radio": 1}.csv())
		r.readOnce()
		svc.put("drain", "south\n")
		r.readOnce()
		Expect(r.weights()).To(Equal(tableWeights{"clinic": 9, "radio": 1}))
		Expect(r.store.Head(configwatch.SectionTable).Version).To(Equal(rollout.Version{Revision: 3}))
	})
})

var _ = Describe("the documents in force compared with the accepted edits", func() {
	// runRandomEdits makes random edits with one restore among them. After each
	// step it calls check with the weights of the last accepted edit of each
	// row and the weights that the service holds.
	runRandomEdits := func(seed uint64, check func(r *testReader, accepted tableWeights, served tableWeights)) {
		rng := rand.New(rand.NewPCG(seed, 4))
		svc := newFakeService()
		svc.put("hosts", hostsJSON("h1"))
		accepted, backup := tableWeights{}, tableWeights{}
		for i := range 5 {
			accepted[fmt.Sprint("a", i)] = 1
		}
		served := maps.Clone(accepted)
		svc.put("table/0001", served.csv())
		r := newTestReader(svc)
		r.readOnce()
		var restore func()
		backupStep := rng.IntN(15)
		restoreStep := backupStep + 2 + rng.IntN(10)
		for i := range 40 {
			switch {
			case i == backupStep:
				restore, backup = svc.backup(), maps.Clone(served)
			case i == restoreStep:
				restore()
				served = maps.Clone(backup)
			default:
				key := fmt.Sprint("a", rng.IntN(8))
				if _, exists := served[key]; exists && rng.IntN(4) == 0 {
					delete(served, key)
					delete(accepted, key)
				} else {
					served[key] = 10 + i
					accepted[key] = 10 + i
				}
				svc.put("table/0001", served.csv())
			}
			r.readOnce()
			check(r, accepted, served)
		}
	}

	It("has in force the last accepted edit of each row, across a restore", func() {
		for seed := range uint64(50) {
			runRandomEdits(seed, func(r *testReader, accepted, _ tableWeights) {
				Expect(r.weights()).To(Equal(accepted), "seed %d", seed)
			})
		}
	})

	// Shows that the check above can fail: a reader that applied the service's
	// state as it is would revert edits.
	It("would revert edits if the service's state were applied as it is", func() {
		reverted := 0
		runRandomEdits(1, func(_ *testReader, accepted, served tableWeights) {
			if !maps.Equal(accepted, served) {
				reverted++
			}
		})
		Expect(reverted).To(BeNumerically(">", 0))
	})
})
