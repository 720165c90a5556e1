package recordsync

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"

	"filbertdeck/internal/decide/mirror"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
)

func TestPublished(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "published")
}

// fakeStore is an in-memory store.
type fakeStore struct {
	records []directory.Record
	// changes holds all changes ever made, in order.
	changes []directory.Record
	// newestOnly makes a watch return only the newest record of each key.
	newestOnly bool
	revision   uint64
	// era counts the restores; eraError is the fault that is reported instead if
	// it is set.
	era       uint64
	eraError  string
	watched   []uint64
	snapshots int
	// onCall is called before each call when it is set.
	onCall func()
}

func (s *fakeStore) recordCall() {
	if s.onCall != nil {
		s.onCall()
	}
}

func (s *fakeStore) ReadAll(context.Context) (directory.Reading, error) {
	s.recordCall()
	s.snapshots++
	present := slices.DeleteFunc(slices.Clone(s.records), func(r directory.Record) bool { return r.Deleted })
	return directory.Reading{Records: present, At: s.position(), EraError: s.eraError}, nil
}

// position returns the newest position; its era is 0 if it can't be read.
func (s *fakeStore) position() directory.Position {
	if s.eraError != "" {
		return directory.Position{Revision: s.revision}
	}
	return directory.Position{Era: s.era, Revision: s.revision}
}

// copied returns a copy of the store's content.
func (s *fakeStore) copied() fakeStore {
	return fakeStore{records: slices.Clone(s.records), changes: slices.Clone(s.changes), revision: s.revision}
}

// restore replaces the content by that of a copy.
func (s *fakeStore) restore(content fakeStore) {
	s.era++
	s.records, s.changes, s.revision = slices.Clone(content.records), slices.Clone(content.changes), content.revision
}

func (s *fakeStore) Watch(_ context.Context, after uint64, _ time.Duration) (directory.Reading, error) {
	s.recordCall()
	s.watched = append(s.watched, after)
	if after > s.revision {
		return directory.Reading{}, failure.New(failure.KindHistoryGone, "revision %d is not known", after)
	}
	var changed []directory.Record
	candidates := s.changes
	if s.newestOnly {
		candidates = s.records
	}
	for _, r := range candidates {
		if r.Revision > after {
			changed = append(changed, r)
		}
	}
	return directory.Reading{Records: slices.Clone(changed), At: s.position(), EraError: s.eraError}, nil
}

// silentStore is a store that accepts calls but does not answer them.
type silentStore struct{ *fakeStore }

func (s *silentStore) Watch(ctx context.Context, _ uint64, _ time.Duration) (directory.Reading, error) {
	<-ctx.Done()
	return directory.Reading{}, ctx.Err()
}

// testHost is a controller with a clock that the test sets.
type testHost struct {
	*Controller
	source *fakeStore
	board  *Board
	now    time.Duration
}

func newTestHost(s *fakeStore) *testHost {
	h := &testHost{source: s, board: &Board{}}
	c, err := New(Config{
		Source: s, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
		Now: func() time.Duration { return h.now },
	}, h.board)
	Expect(err).NotTo(HaveOccurred())
	h.Controller = c
	return h
}

// readStore makes one call to the store.
func (h *testHost) readStore() {
	Expect(h.readOnce(context.Background(), h.Position() == (directory.Position{}))).To(Succeed())
}

func (h *testHost) routeCount() int {
	view := h.board.View.Get()
	if view == nil || view.Config == nil {
		return 0
	}
	return len(view.Config.Routes)
}

func newConfig(version uint64, routes int) *directory.Config {
	c := &directory.Config{
		Version: version, Services: []directory.Service{{Name: "app", Engine: &directory.Engine{Slots: 4}}},
		Accounts: []directory.Account{{Name: "a-1", Keys: []string{"k-1"}}},
	}
	for i := range routes {
		c.Routes = append(c.Routes, directory.Route{
			Name: fmt.Sprint("r-", i), Host: "a.example", Prefix: fmt.Sprintf("/%d/", i), Kind: directory.AtMostOnce,
			Timeout: time.Second, MaxAttempts: 2, Backends: []directory.Backend{{Service: "app", Weight: 1}},
		})
	}
	return c
}

func (s *fakeStore) putConfig(revision, version uint64, routes int) {
	s.put(directory.Record{Key: directory.ConfigKey, Revision: revision, Config: newConfig(version, routes)})
}

func (s *fakeStore) put(r directory.Record) {
	remaining := s.records[:0]
	for _, old := range s.records {
		if old.Key != r.Key {
			remaining = append(remaining, old)
		}
	}
	s.records, s.revision = append(remaining, r), r.Revision
	s.changes = append(s.changes, r)
}

// remove deletes a record as the store does: a watch from an earlier revision
// returns the removal, and a full read omits the record.
func (s *fakeStore) remove(key string) {
	s.put(directory.Record{Key: key, Revision: s.revision + 1, Deleted: true})
}

// exchangeNews updates one host from another until it lacks nothing.
func exchangeNews(from, to *testHost) {
	from.ApplyNews("to", to.NewsFor("from"), -1)
	to.ApplyNews("from", from.NewsFor("to"), -1)
	fetchFrom(from, to)
}

func newsBytes(n News) int {
	total := 0
	for _, r := range n.Records {
		total += len(r)
	}
	if n.Delta != nil {
		for _, r := range n.Delta.Rows {
			total += len(r.Key) + len(r.Text)
		}
	}
	return total
}

var _ = Describe("news between hosts", func() {
	// Guards against probes that repeat a large change: when operators add 880
	// routes at once and each probe carried all of them until the answer
	// arrives, with ten probes a second to each neighbour, the links and small
	// hosts would be saturated.
	It("carries no large configuration, however often it is sent", func() {
		reader, other := newTestHost(&fakeStore{}), newTestHost(&fakeStore{})
		reader.source.putConfig(3, 1, 4)
		reader.readStore()
		reader.ApplyNews("other", other.NewsFor("reader"), -1)
		reader.source.putConfig(4, 2, 884)
		reader.readStore()
		total := 0
		for range 20 {
			total += newsBytes(reader.NewsFor("other"))
			reader.now += 100 * time.Millisecond
		}
		Expect(total).To(BeNumerically("<=", 20*maxInlineDeltaBytes))
	})

	It("carries a small edit once until an answer arrives", func() {
		reader, other := newTestHost(&fakeStore{}), newTestHost(&fakeStore{})
		reader.source.putConfig(3, 1, 4)
		reader.readStore()
		fetchFrom(reader, other)
		reader.ApplyNews("other", other.NewsFor("reader"), -1)
		reader.source.putConfig(4, 2, 5)
		reader.readStore()
		news := reader.NewsFor("other")
		Expect(newsBytes(news)).To(BeNumerically(">", 0))
		Expect(newsBytes(reader.NewsFor("other"))).To(BeZero())
		other.ApplyNews("reader", news, -1)
		Expect(other.routeCount()).To(Equal(5))
	})

	// Guards against answers that carry the records of thousands of targets:
	// when a whole fleet starts, each host lacks all of them and asks several
	// others five times a second, which would saturate the links of the hosts
	// that have them.
	It("does not carry thousands of records, which are fetched instead", func() {
		reader, other := newTestHost(&fakeStore{}), newTestHost(&fakeStore{})
		for i := range 3000 {
			id := fmt.Sprint("i-", i)
			reader.source.put(directory.Record{Key: directory.TargetKey(id), Revision: uint64(i + 1), Target: &directory.Target{ID: id, Service: "llm", Address: "10.0.0.1:80", Slots: 4}})
		}
		reader.readStore()
		reader.ApplyNews("other", other.NewsFor("reader"), -1)
		news := reader.NewsFor("other")
		Expect(news.RecordsWithheld).To(BeTrue())
		Expect(newsBytes(news)).To(BeZero())
		other.ApplyNews("reader", news, 0)
		Expect(other.Position()).To(BeZero())
		_, known := other.Age()
		Expect(known).To(BeFalse())
		fetchFrom(reader, other)
		Expect(other.Position()).To(Equal(reader.Position()))
		Expect(other.board.View.Get().ServiceTargets("llm")).To(HaveLen(3000))
	})

	// Guards against a lost message: a neighbour that counted as updated
	// permanently would never receive the edit.
	It("is sent again when no answer arrives", func() {
		reader, other := newTestHost(&fakeStore{}), newTestHost(&fakeStore{})
		reader.source.putConfig(3, 1, 4)
		reader.readStore()
		fetchFrom(reader, other)
		reader.ApplyNews("other", other.NewsFor("reader"), -1)
		reader.source.putConfig(4, 2, 5)
		reader.readStore()
		reader.NewsFor("other")
		reader.now += sentTTL
		other.ApplyNews("reader", reader.NewsFor("other"), -1)
		Expect(other.routeCount()).To(Equal(5))
	})

	// Guards against a host that claims to be current while it lacks a
	// configuration known to be in force elsewhere: it would reject requests
	// with a new key.
	It("does not confirm the records while an announced configuration is missing", func() {
		reader, other := newTestHost(&fakeStore{}), newTestHost(&fakeStore{})
		reader.source.putConfig(3, 1, 880)
		reader.readStore()
		reader.ApplyNews("other", other.NewsFor("reader"), -1)
		other.ApplyNews("reader", reader.NewsFor("other"), 0)
		_, known := other.Age()
		Expect(known).To(BeFalse())
		fetchFrom(reader, other)
		other.ApplyNews("reader", reader.NewsFor("other"), 0)
		_, known = other.Age()
		Expect(known).To(BeTrue())
	})

	// Guards against a host that hears of a configuration from a peer, becomes
	// a reader of the store before it has fetched it, and then loses the peer:
	// a watch from the announced revision would never return that
	// configuration.
	// Guards against a host that reads all pages of the store each time that the role
	// of a reader comes to it.
	It("is where a host watches from that then becomes a reader of the store", func() {
		source := &fakeStore{}
		source.putConfig(4, 1, 3)
		reader, successor := newTestHost(source), newTestHost(source)
		reader.readStore()
		exchangeNews(reader, successor)
		Expect(successor.Position()).To(Equal(directory.Position{Revision: 4}))
		source.snapshots = 0
		ctx, cancel := context.WithCancel(context.Background())
		source.onCall = cancel
		successor.Run(ctx)
		Expect(source.snapshots).To(BeZero())
		Expect(source.watched).To(Equal([]uint64{4}))
	})

	It("leaves no gap for a host that then becomes a reader of the store", func() {
		store := &fakeStore{}
		reader, other := newTestHost(store), newTestHost(store)
		store.putConfig(3, 1, 4)
		reader.readStore()
		other.readStore()
		store.putConfig(5, 2, 900)
		store.put(directory.Record{Key: directory.TargetKey("i-1"), Revision: 6, Deleted: true})
		reader.readStore()
		other.ApplyNews("reader", reader.NewsFor("other"), -1)
		Expect(other.routeCount()).To(Equal(4))
		other.readStore()
		Expect(other.routeCount()).To(Equal(900))
	})
})

// fetchFrom makes one host fetch what it lacks from another.
func fetchFrom(from, to *testHost) {
	bulk, err := from.BuildBundle(to.Held())
	Expect(err).NotTo(HaveOccurred())
	gap, err := to.ApplyBundle("peer", bulk)
	Expect(err).NotTo(HaveOccurred())
	Expect(gap).To(BeFalse())
}

var _ = Describe("news of a process that has just started", func() {
	targetRecord := func(id string, revision uint64) directory.Record {
		t := &directory.Target{ID: id, Service: "app", Address: "10.0.0.1:80", DataCentre: "dc-1", Slots: 4, StartedUnixMilli: 1}
		return directory.Record{Key: directory.TargetKey(id), Revision: revision, Target: t}
	}
	// readyTargets returns the targets that a host considers ready.
	readyTargets := func(h *testHost) []string {
		var ids []string
		for _, t := range h.board.View.Get().ServiceTargets("app") {
			if h.board.View.Get().AcceptsNewRequests(t) {
				ids = append(ids, t.ID)
			}
		}
		return ids
	}

	// Guards against targets that stay ready permanently on hosts that learn
	// the newest revision from a process which never saw their entries.
	DescribeTable("removes the targets that left before it read the store", func(targets int) {
		store := &fakeStore{}
		store.putConfig(1, 1, 1)
		for i := range targets {
			store.put(targetRecord(fmt.Sprint("i-", i), uint64(2+i)))
		}
		oldHost := newTestHost(store)
		oldHost.readStore()
		Expect(readyTargets(oldHost)).To(HaveLen(targets))

		store.remove(directory.TargetKey("i-0"))
		newHost := newTestHost(store)
		newHost.readStore()
		exchangeNews(newHost, oldHost)
		Expect(oldHost.Position()).To(Equal(newHost.Position()))
		Expect(readyTargets(oldHost)).To(HaveLen(targets - 1))
		Expect(readyTargets(oldHost)).NotTo(ContainElement("i-0"))
	}, Entry("a few targets", 3), Entry("more than are sent with other news", 3*maxInlineRecords))

	// Guards against any order of starts, reads and news after which a host
	// counts a revision as known but lacks a removal before it.
	DescribeTable("leaves no host with a target that was removed up to the revision that it holds", func(newestOnly bool) {
		const hostCount, targetCount, steps = 4, 6, 60
		seeds := []uint64{1158, 4087}
		for seed := range uint64(300) {
			seeds = append(seeds, seed)
		}
		for _, seed := range seeds {
			rng := rand.New(rand.NewPCG(seed, 1))
			store := &fakeStore{newestOnly: newestOnly}
			store.putConfig(1, 1, 1)
			fleet := make([]*testHost, hostCount)
			for i := range fleet {
				fleet[i] = newTestHost(store)
			}
			for range steps {
				h, other := fleet[rng.IntN(hostCount)], fleet[rng.IntN(hostCount)]
				switch id := fmt.Sprint("i-", rng.IntN(targetCount)); rng.IntN(6) {
				case 0:
					store.put(targetRecord(id, store.revision+1))
				case 1:
					store.remove(directory.TargetKey(id))
				case 2:
					fleet[rng.IntN(hostCount)] = newTestHost(store)
				case 3:
					h.readStore()
				default:
					if h != other {
						exchangeNews(h, other)
					}
				}
				for _, h := range fleet {
					if h.board.View.Get() == nil || h.Position().Revision < store.revision {
						continue
					}
					for _, r := range store.records {
						if r.Deleted {
							Expect(readyTargets(h)).NotTo(ContainElement(directory.TargetID(r.Key)), "seed %d", seed)
						}
					}
				}
			}
		}
	}, Entry("a watch that returns every change", false), Entry("a watch that returns the newest of each key", true))
})

var _ = Describe("a configuration as rows", func() {
	It("is rebuilt unchanged, whatever changed in between", func() {
		rng := rand.New(rand.NewPCG(3, 4))
		reader, other := newTestHost(&fakeStore{}), newTestHost(&fakeStore{})
		for version := uint64(1); version <= 40; version++ {
			reader.source.putConfig(2*version, version, rng.IntN(60))
			reader.readStore()
			if rng.IntN(3) == 0 {
				fetchFrom(reader, other)
				Expect(other.board.View.Get().Config).To(Equal(reader.board.View.Get().Config))
			}
		}
	})

	It("keeps routes with the same name apart", func() {
		c := newConfig(1, 2)
		c.Routes[1] = c.Routes[0]
		doc := newDocument()
		inForce, err := doc.replaceConfig(c)
		Expect(err).NotTo(HaveOccurred())
		Expect(inForce.Routes).To(HaveLen(2))
	})

	It("distinguishes no accounts from an empty list of accounts", func() {
		for _, accounts := range [][]directory.Account{nil, {}} {
			c := newConfig(1, 1)
			c.Accounts = accounts
			inForce, err := newDocument().replaceConfig(c)
			Expect(err).NotTo(HaveOccurred())
			Expect(inForce.Accounts == nil).To(Equal(accounts == nil))
		}
	})

	It("transfers only what changed, compressed once for all requests", func() {
		reader := newTestHost(&fakeStore{})
		reader.source.putConfig(3, 1, 880)
		reader.readStore()
		reader.source.putConfig(4, 2, 881)
		reader.readStore()
		fullBulk, err := reader.BuildBundle(Holding{Records: reader.Position()})
		Expect(err).NotTo(HaveOccurred())
		deltaBulk, err := reader.BuildBundle(Holding{Config: 1, Records: reader.Position()})
		Expect(err).NotTo(HaveOccurred())
		Expect(deltaBulk.Size()).To(BeNumerically("<", fullBulk.Size()/10))
		cachedBulk, err := reader.BuildBundle(Holding{Config: 1, Records: reader.Position()})
		Expect(err).NotTo(HaveOccurred())
		Expect(&cachedBulk.Config[0]).To(BeIdenticalTo(&deltaBulk.Config[0]))
	})

	DescribeTable("rejects bytes that it can't decode and keeps its configuration", func(compressed []byte) {
		h := newTestHost(&fakeStore{})
		h.source.putConfig(3, 1, 4)
		h.readStore()
		_, err := h.ApplyBundle("peer", DeltaBundle{Config: compressed})
		Expect(err).To(HaveOccurred())
		_, err = h.ApplyBundle("peer", DeltaBundle{Records: compressed})
		Expect(err).To(HaveOccurred())
		Expect(h.routeCount()).To(Equal(4))
	},
		Entry("no archive", []byte("x")), Entry("truncated archive", mustCompress([]byte("abc"))[:12]), Entry("no document", mustCompress([]byte{0xff})))
})

func mustCompress(plain []byte) []byte {
	compressed, err := compress(plain)
	if err != nil {
		panic(err)
	}
	return compressed
}

var _ = Describe("a target's entry that is removed", func() {
	isReady := func(h *testHost) bool {
		view := h.board.View.Get()
		t, known := view.Target("i-0")
		return known && view.AcceptsNewRequests(t)
	}
	failStore := func(h *testHost) {
		h.recordCallResult(failure.New(failure.KindConfigUnreadable, "the store answered 503"))
	}
	var h *testHost
	BeforeEach(func() {
		store := &fakeStore{}
		store.put(directory.Record{Key: directory.TargetKey("i-0"), Revision: 1, Target: &directory.Target{ID: "i-0", Service: "app", Slots: 1}})
		h = newTestHost(store)
		h.readStore()
	})

	// Guards against a target that left and stays ready because one call to the
	// store had failed just before.
	It("is not taken for an expired one after a brief failure of the store", func() {
		h.now = 500 * time.Millisecond
		failStore(h)
		h.now = 700 * time.Millisecond
		h.readStore()
		h.source.remove(directory.TargetKey("i-0"))
		h.now = time.Second
		h.readStore()
		Expect(isReady(h)).To(BeFalse())
	})

	// Guards against the same failure on a host whose last own call to the
	// store failed long ago and which has since been updated by other hosts.
	It("is not taken for an expired one when other hosts could read the store", func() {
		failStore(h)
		other := newTestHost(h.source)
		for range 100 {
			h.now, other.now = h.now+100*time.Millisecond, other.now+100*time.Millisecond
			other.readStore()
			h.ApplyNews("other", other.NewsFor("h"), h.now)
		}
		h.readStore()
		h.source.remove(directory.TargetKey("i-0"))
		h.readStore()
		Expect(isReady(h)).To(BeFalse())
	})

	// Guards against a target that stays ready until something else changes.
	It("counts as removed after the time in which it could return, if nothing else changes", func() {
		h.now = time.Second
		failStore(h)
		h.now = 10 * time.Second
		h.source.remove(directory.TargetKey("i-0"))
		h.readStore()
		Expect(isReady(h)).To(BeTrue())
		h.now += mirror.DefaultRecoveryGrace
		h.readStore()
		Expect(isReady(h)).To(BeFalse())
	})
})

var _ = Describe("a store that stops answering", func() {
	// Guards against hosts that detect the outage only by the age of their
	// records, while the notice period of an engine that was told to stop at
	// the same time runs out.
	It("is suspected by its reader and by the hosts that the reader informs, until a later call is answered", func() {
		store := &fakeStore{}
		store.putConfig(1, 1, 1)
		reader, other := newTestHost(store), newTestHost(store)
		reader.readStore()
		fetchFrom(reader, other)
		Expect(reader.SuspectsStoreOutage()).To(BeFalse())

		reader.cfg.Source = &silentStore{store}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- reader.readOnce(ctx, false) }()
		Eventually(reader.SuspectsStoreOutage, "5s").Should(BeTrue())
		Eventually(reader.NewsReady()).Should(Receive())
		reader.now, other.now = time.Second, time.Second
		other.ApplyNews("reader", reader.NewsFor("other"), -1)
		Expect(other.SuspectsStoreOutage()).To(BeTrue())
		cancel()
		Expect(<-done).To(HaveOccurred())

		reader.cfg.Source = store
		reader.now, other.now = 2*time.Second, 2*time.Second
		reader.readStore()
		Expect(reader.SuspectsStoreOutage()).To(BeFalse())
		Expect(reader.NewsFor("other").AnswerOverdue).To(BeZero())
		other.ApplyNews("reader", reader.NewsFor("other"), other.now)
		Expect(other.SuspectsStoreOutage()).To(BeFalse())
	})
})
