package recordsync

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/mirror"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
)

// sync makes the calls to the store that bring a host up to date: a watch, and a
// full read if the watch can't be continued.
func (h *testHost) sync() {
	err := h.readOnce(context.Background(), !h.canWatch())
	if failure.KindOf(err) == failure.KindHistoryGone {
		err = h.readOnce(context.Background(), true)
	}
	Expect(err).NotTo(HaveOccurred())
}

func appTarget(id string, started int64, leaving bool) *directory.Target {
	return &directory.Target{ID: id, Service: "app", Address: "10.0.0.1:80", DataCentre: "dc-1", Slots: 4, StartedUnixMilli: started, Leaving: leaving}
}

func (h *testHost) accepts(id string) bool {
	view := h.board.View.Get()
	if view == nil {
		return false
	}
	t, known := view.Target(id)
	return known && view.AcceptsNewRequests(t)
}

var _ = Describe("a host that reads a restored store", func() {
	var store *fakeStore
	var h *testHost
	var content fakeStore
	BeforeEach(func() {
		store = &fakeStore{era: 1}
		store.putConfig(2, 1, 1)
		h = newTestHost(store)
		h.sync()
		content = store.copied()
		store.putConfig(3, 2, 2)
		h.sync()
	})

	// Guards against changes that are missed because the store's revision has
	// passed the one held when it answers again, so that it answers the watch.
	It("reads everything when a watch of one era is answered in the next", func() {
		store.restore(content)
		store.put(directory.Record{Key: directory.TargetKey("i-1"), Revision: 3, Target: appTarget("i-1", 1, false)})
		store.putConfig(4, 5, 5)
		store.snapshots = 0
		h.sync()
		Expect(store.snapshots).To(Equal(1))
		Expect(h.accepts("i-1")).To(BeTrue())
		Expect(h.routeCount()).To(Equal(5))
		h.sync()
		Expect(store.snapshots).To(Equal(1))
	})

	// Guards against changes that are skipped because a peer told the host of the
	// restore while its watch was waiting.
	It("reads everything when it entered the era of the answer during the watch", func() {
		reader := newTestHost(store)
		store.onCall = func() {
			store.onCall = nil
			store.restore(content)
			reader.sync()
			updateFrom(reader, h)
			store.put(directory.Record{Key: directory.TargetKey("i-1"), Revision: 3, Target: appTarget("i-1", 1, false)})
			store.put(directory.Record{Key: directory.TargetKey("i-2"), Revision: 4, Target: appTarget("i-2", 1, false)})
		}
		h.sync()
		Expect(h.accepts("i-1")).To(BeTrue())
		Expect(h.accepts("i-2")).To(BeTrue())
	})

	It("keeps its configuration until the store has a newer one", func() {
		store.restore(content)
		h.sync()
		Expect(h.routeCount()).To(Equal(2))
		store.putConfig(3, 3, 3)
		h.sync()
		Expect(h.routeCount()).To(Equal(3))
	})

	// Guards against hosts that send what the copy lacks with each of ten messages
	// a second to each neighbour, and against one lost message that hides it.
	It("tells a peer what the copy lacks once, and again when it may have been lost", func() {
		other := newTestHost(store)
		store.put(directory.Record{Key: directory.TargetKey("i-1"), Revision: 4, Target: appTarget("i-1", 1, true)})
		h.sync()
		store.restore(content)
		h.sync()
		told := 0
		for range 10 {
			h.ApplyNews("other", other.NewsFor("h"), -1)
			told += len(h.NewsFor("other").Amendments)
			h.now += amendmentsTTL / 20
		}
		Expect(told).To(Equal(1))
		h.now += amendmentsTTL
		h.ApplyNews("other", other.NewsFor("h"), -1)
		Expect(h.NewsFor("other").Amendments).To(HaveLen(1))
	})

	// Guards against hosts that serve by different contents of one version.
	DescribeTable("takes one of two contents of a version, whichever came first", func(first, second int) {
		// largerDigest is the number of routes of the content that all hosts take.
		const largerDigest = 5
		other := newTestHost(&fakeStore{era: 1})
		store.putConfig(4, 7, first)
		h.sync()
		store.restore(content)
		store.putConfig(4, 7, second)
		h.sync()
		updateFrom(h, other)
		Expect(h.routeCount()).To(Equal(other.routeCount()))
		Expect(h.routeCount()).To(Equal(largerDigest))
	}, Entry("the other one", 3, 5), Entry("the first one", 5, 3))

	It("is not current before it has read the restored store", func() {
		store.restore(content)
		h.now = time.Minute
		age, _ := h.Age()
		Expect(age).To(Equal(time.Minute))
		h.sync()
		age, _ = h.Age()
		Expect(age).To(BeZero())
	})

	// Guards against an answer from before the restore that arrives after it.
	It("does not take an answer of an era that is over", func() {
		store.restore(content)
		h.sync()
		store.era = 1
		store.put(directory.Record{Key: directory.TargetKey("i-1"), Revision: 9, Target: appTarget("i-1", 1, false)})
		Expect(failure.KindOf(h.readOnce(context.Background(), false))).To(Equal(failure.KindHistoryGone))
		Expect(failure.KindOf(h.readOnce(context.Background(), true))).To(Equal(failure.KindConfigUnreadable))
		Expect(h.accepts("i-1")).To(BeFalse())
	})

	// Guards against a store whose answers name no era, or one that can't be
	// read, and that hosts could no longer read at all.
	DescribeTable("takes an answer without a readable era for one of the era known", func(breakEra func()) {
		breakEra()
		store.putConfig(4, 3, 3)
		h.sync()
		Expect(h.routeCount()).To(Equal(3))
		Expect(h.Position()).To(Equal(directory.Position{Era: 1, Revision: 4}))
	},
		Entry("no era", func() { store.era = 0 }),
		Entry("an era that can't be read", func() { store.eraError = "invalid syntax" }),
	)

	// Guards against a loop of calls while a store keeps refusing the revision of
	// its own full read.
	It("waits longer and longer if full reads do not help", func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		store.onCall = func() { store.changes, store.revision = nil, 0 }
		store.snapshots = 0
		h.Run(ctx)
		Expect(store.snapshots).To(BeNumerically("<=", 5))
	})
})

// restorableWorld is a store with operators and targets that write to it, and
// hosts that read it. What is true is what was written last; it is written again
// after a restore.
type restorableWorld struct {
	rng     *rand.Rand
	store   *fakeStore
	hosts   []*testHost
	now     time.Duration
	targets map[string]*directory.Target
	// ended is where the end of each lifetime was written.
	ended   map[directory.Lifetime]directory.Position
	version uint64
	drained bool
	// copies are those of the last seconds; rewriteAt is when each key is written
	// again.
	copies    []fakeStore
	rewriteAt map[string]time.Duration
	// over holds, for each host, the lifetimes that it knew to leave or to have
	// ended, and configVersion the version that it served last.
	over          map[*testHost]map[directory.Lifetime]bool
	configVersion map[*testHost]uint64
}

const (
	worldTargets     = 5
	worldHosts       = 4
	worldStep        = 50 * time.Millisecond
	worldDrainKey    = "drain/dc-2"
	maxRewriteDelay  = 1500 * time.Millisecond
	maxCopies        = 60
	worldSettleSteps = int((mirror.DefaultOperatorGrace + 5*time.Second) / worldStep)
)

func newRestorableWorld(seed uint64) *restorableWorld {
	w := &restorableWorld{
		rng: rand.New(rand.NewPCG(seed, 53)), store: &fakeStore{era: 1}, targets: map[string]*directory.Target{}, ended: map[directory.Lifetime]directory.Position{},
		rewriteAt: map[string]time.Duration{}, over: map[*testHost]map[directory.Lifetime]bool{}, configVersion: map[*testHost]uint64{},
	}
	for range worldHosts {
		w.hosts = append(w.hosts, newTestHost(w.store))
	}
	w.publishConfig()
	return w
}

func (w *restorableWorld) publishConfig() {
	w.version += 1 + w.rng.Uint64N(3)
	w.writeConfig()
}

func (w *restorableWorld) writeConfig() {
	w.store.putConfig(w.store.revision+1, w.version, int(w.version%7))
}

// writeTarget writes what is true of a target.
func (w *restorableWorld) writeTarget(id string) {
	key := directory.TargetKey(id)
	if t := w.targets[id]; t != nil {
		written := *t
		w.store.put(directory.Record{Key: key, Revision: w.store.revision + 1, Target: &written})
	} else {
		w.store.remove(key)
	}
}

func (w *restorableWorld) writeDrain() {
	if w.drained {
		w.store.put(directory.Record{Key: worldDrainKey, Revision: w.store.revision + 1, DrainedDataCentre: "dc-2"})
	} else {
		w.store.remove(worldDrainKey)
	}
}

func (w *restorableWorld) changeTarget() {
	id := fmt.Sprint("i-", w.rng.IntN(worldTargets))
	switch t := w.targets[id]; {
	case t == nil:
		w.targets[id] = appTarget(id, int64(w.now/time.Millisecond)+1, false)
	case !t.Leaving && w.rng.IntN(2) == 0:
		t.Leaving = true
	default:
		w.ended[t.Lifetime()] = directory.Position{Era: w.store.era, Revision: w.store.revision + 1}
		delete(w.targets, id)
	}
	w.writeTarget(id)
}

// knowsEnd reports whether a host has the end of a lifetime from the store, and
// did not just give up a target whose entry it missed.
func (w *restorableWorld) knowsEnd(h *testHost, life directory.Lifetime) bool {
	at, ended := w.ended[life]
	held := h.Position()
	return ended && held.Era == at.Era && held.Revision >= at.Revision
}

func (w *restorableWorld) restore() {
	w.store.restore(w.copies[w.rng.IntN(len(w.copies))])
	w.copies = nil
	keys := []string{directory.ConfigKey, worldDrainKey}
	for i := range worldTargets {
		keys = append(keys, fmt.Sprint("i-", i))
	}
	for _, key := range keys {
		w.rewriteAt[key] = w.now + time.Duration(w.rng.Int64N(int64(maxRewriteDelay)))
	}
}

// rewrite writes again what is due and differs in the restored store.
func (w *restorableWorld) rewrite() {
	for key, at := range w.rewriteAt {
		if w.now < at {
			continue
		}
		delete(w.rewriteAt, key)
		switch key {
		case directory.ConfigKey:
			w.writeConfig()
		case worldDrainKey:
			w.writeDrain()
		default:
			w.writeTarget(key)
		}
	}
}

func (w *restorableWorld) advance() {
	w.now += worldStep
	for _, h := range w.hosts {
		h.now = w.now
		h.publishIfDue()
	}
	w.rewrite()
	w.copies = append(w.copies, w.store.copied())
	w.copies = w.copies[max(0, len(w.copies)-maxCopies):]
}

func (w *restorableWorld) randomStep() {
	h, other := w.hosts[w.rng.IntN(worldHosts)], w.hosts[w.rng.IntN(worldHosts)]
	switch n := w.rng.IntN(100); {
	case n < 8:
		w.changeTarget()
	case n < 12:
		w.publishConfig()
	case n < 14:
		w.drained = !w.drained
		w.writeDrain()
	case n < 16:
		w.hosts[w.rng.IntN(worldHosts)] = newTestHost(w.store)
	case n < 18:
		w.restore()
	case n < 45:
		h.sync()
	case h != other:
		updateFrom(h, other)
	}
}

// updateFrom updates one host from another as hosts do: by news, a fetch, and a
// fetch of the whole configuration if a change of it does not apply.
func updateFrom(from, to *testHost) {
	from.ApplyNews("to", to.NewsFor("from"), -1)
	to.ApplyNews("from", from.NewsFor("to"), -1)
	held := to.Held()
	for {
		bulk, err := from.BuildBundle(held)
		Expect(err).NotTo(HaveOccurred())
		gap, err := to.ApplyBundle("from", bulk)
		Expect(err).NotTo(HaveOccurred())
		if !gap {
			return
		}
		held.Config = 0
	}
}

func (w *restorableWorld) hasEnded(life directory.Lifetime) bool {
	_, ended := w.ended[life]
	return ended
}

// check fails if a host went back to what it knew to be over.
func (w *restorableWorld) check(seed uint64) {
	for _, h := range w.hosts {
		view := h.board.View.Get()
		if view == nil {
			continue
		}
		if view.Config != nil {
			Expect(view.Config.Version).To(BeNumerically(">=", w.configVersion[h]), "seed %d", seed)
			w.configVersion[h] = view.Config.Version
		}
		if w.over[h] == nil {
			w.over[h] = map[directory.Lifetime]bool{}
		}
		inDoubt := w.now < h.mirror.Restore().SeenAt+mirror.DefaultCopiedEntryTTL
		for _, t := range view.ServiceTargets("app") {
			life := t.Lifetime()
			switch {
			case t.Leaving || !t.Published && w.knowsEnd(h, life):
				w.over[h][life] = true
			case w.over[h][life] && (inDoubt || !w.hasEnded(life)) && view.AcceptsNewRequests(t):
				Fail(fmt.Sprintf("seed %d at %v: target %s started %d is used again", seed, w.now, t.ID, t.StartedUnixMilli))
			}
		}
	}
}

// expectTruth fails if a host does not serve by what was written last.
func (w *restorableWorld) expectTruth(seed uint64) {
	for i, h := range w.hosts {
		view := h.board.View.Get()
		Expect(view.Config.Version).To(Equal(w.version), "seed %d host %d", seed, i)
		Expect(view.IsDrained("dc-2")).To(Equal(w.drained), "seed %d host %d", seed, i)
		for n := range worldTargets {
			id := fmt.Sprint("i-", n)
			t := w.targets[id]
			Expect(h.accepts(id)).To(Equal(t != nil && !t.Leaving), "seed %d host %d target %s", seed, i, id)
		}
	}
}

var _ = Describe("hosts of a store that is restored again and again", func() {
	// Guards against any order of changes, restores, reads, news and starts after
	// which hosts disagree, miss what was written or go back to what was over.
	It("arrive at what was written last, and never go back on the way", func() {
		const firstSeeds, steps = 300, 150
		seeds := []uint64{400, 643, 1505, 1990, 2726, 3633, 4168, 5183, 10839, 14540, 16217}
		for seed := range uint64(firstSeeds) {
			seeds = append(seeds, seed)
		}
		for _, seed := range seeds {
			w := newRestorableWorld(seed)
			for range steps {
				w.advance()
				w.randomStep()
				w.check(seed)
			}
			for step := range worldSettleSteps {
				w.advance()
				reader := w.hosts[step%worldHosts]
				reader.sync()
				updateFrom(reader, w.hosts[(step+1)%worldHosts])
				w.check(seed)
			}
			w.expectTruth(seed)
		}
	})
})
