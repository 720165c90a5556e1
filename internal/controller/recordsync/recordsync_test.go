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

// source is a store that holds what a spec puts into it.
type source struct {
	records []directory.Record
	// changes are all that were ever made, in their order.
	changes []directory.Record
	// newestOnly has a watch give the newest record of each key alone.
	newestOnly bool
	at         uint64
	watched    []uint64
}

func (s *source) ReadAll(context.Context) ([]directory.Record, uint64, error) {
	live := slices.DeleteFunc(slices.Clone(s.records), func(r directory.Record) bool { return r.Deleted })
	return live, s.at, nil
}

func (s *source) Watch(_ context.Context, after uint64, _ time.Duration) ([]directory.Record, uint64, error) {
	s.watched = append(s.watched, after)
	var out []directory.Record
	given := s.changes
	if s.newestOnly {
		given = s.records
	}
	for _, r := range given {
		if r.Revision > after {
			out = append(out, r)
		}
	}
	return out, s.at, nil
}

// silentSource is a store that takes calls and answers none.
type silentSource struct{ *source }

func (s *silentSource) Watch(ctx context.Context, _ uint64, _ time.Duration) ([]directory.Record, uint64, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

// host is a controller with a clock that a spec sets.
type host struct {
	*Controller
	source *source
	board  *Board
	now    time.Duration
}

func newHost(s *source) *host {
	h := &host{source: s, board: &Board{}}
	c, err := New(Config{
		Source: s, Log: slog.New(slog.DiscardHandler), Metrics: metrics.NewRegistry(),
		Now: func() time.Duration { return h.now },
	}, h.board)
	Expect(err).NotTo(HaveOccurred())
	h.Controller = c
	return h
}

// read has the host read its store.
func (h *host) read() { Expect(h.step(context.Background(), h.Revision() == 0)).To(Succeed()) }

func (h *host) routes() int {
	view := h.board.View.Get()
	if view == nil || view.Config == nil {
		return 0
	}
	return len(view.Config.Routes)
}

func configOf(version uint64, routes int) *directory.Config {
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

func (s *source) configure(revision, version uint64, routes int) {
	s.put(directory.Record{Key: directory.ConfigKey, Revision: revision, Config: configOf(version, routes)})
}

func (s *source) put(r directory.Record) {
	kept := s.records[:0]
	for _, old := range s.records {
		if old.Key != r.Key {
			kept = append(kept, old)
		}
	}
	s.records, s.at = append(kept, r), r.Revision
	s.changes = append(s.changes, r)
}

// remove takes a record away, as the store does: a watch from before hears of it,
// a whole reading lacks it.
func (s *source) remove(key string) {
	s.put(directory.Record{Key: key, Revision: s.at + 1, Deleted: true})
}

// tellAll tells a host what another one knows, until it lacks nothing.
func tellAll(from, to *host) {
	from.ApplyNews("to", to.NewsFor("from"), -1)
	to.ApplyNews("from", from.NewsFor("to"), -1)
	fetchFrom(from, to)
}

func size(n News) int {
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
	// Operators add 880 routes at once. While its answer is on the way, each
	// neighbour is probed ten times a second; if every probe carried all routes,
	// links would be full of them and a small host would do nothing else.
	It("carry no large configuration, however often they are told", func() {
		reader, other := newHost(&source{}), newHost(&source{})
		reader.source.configure(3, 1, 4)
		reader.read()
		reader.ApplyNews("other", other.NewsFor("reader"), -1)
		reader.source.configure(4, 2, 884)
		reader.read()
		total := 0
		for range 20 {
			total += size(reader.NewsFor("other"))
			reader.now += 100 * time.Millisecond
		}
		Expect(total).To(BeNumerically("<=", 20*shortDelta))
	})

	It("carry a short edit along, once while no answer has come", func() {
		reader, other := newHost(&source{}), newHost(&source{})
		reader.source.configure(3, 1, 4)
		reader.read()
		fetchFrom(reader, other)
		reader.ApplyNews("other", other.NewsFor("reader"), -1)
		reader.source.configure(4, 2, 5)
		reader.read()
		news := reader.NewsFor("other")
		Expect(size(news)).To(BeNumerically(">", 0))
		Expect(size(reader.NewsFor("other"))).To(BeZero())
		other.ApplyNews("reader", news, -1)
		Expect(other.routes()).To(Equal(5))
	})

	// A whole fleet starts before thousands of targets. Each host lacks the records
	// of all of them, and asks several others five times a second; sent with each
	// answer they would fill the links of those that know them.
	It("carry no thousands of records, which are fetched", func() {
		reader, other := newHost(&source{}), newHost(&source{})
		for i := range 3000 {
			id := fmt.Sprint("i-", i)
			reader.source.put(directory.Record{Key: directory.TargetKey(id), Revision: uint64(i + 1), Target: &directory.Target{ID: id, Service: "llm", Address: "10.0.0.1:80", Slots: 4}})
		}
		reader.read()
		reader.ApplyNews("other", other.NewsFor("reader"), -1)
		news := reader.NewsFor("other")
		Expect(news.RecordsWithheld).To(BeTrue())
		Expect(size(news)).To(BeZero())
		other.ApplyNews("reader", news, 0)
		Expect(other.Revision()).To(BeZero())
		_, known := other.Age()
		Expect(known).To(BeFalse())
		fetchFrom(reader, other)
		Expect(other.Revision()).To(Equal(reader.Revision()))
		Expect(other.board.View.Get().ServiceTargets("llm")).To(HaveLen(3000))
	})

	// The message with the news was lost. A neighbour that counted as told for
	// good would never hear of the edit.
	It("are told again when no answer comes", func() {
		reader, other := newHost(&source{}), newHost(&source{})
		reader.source.configure(3, 1, 4)
		reader.read()
		fetchFrom(reader, other)
		reader.ApplyNews("other", other.NewsFor("reader"), -1)
		reader.source.configure(4, 2, 5)
		reader.read()
		reader.NewsFor("other")
		reader.now += toldFor
		other.ApplyNews("reader", reader.NewsFor("other"), -1)
		Expect(other.routes()).To(Equal(5))
	})

	// A host that lacks a configuration which it knows to be in force elsewhere
	// must not vouch that what it holds is current: it would deny a new key for
	// good reason, as it believes.
	It("prove nothing current while an announced configuration is missing", func() {
		reader, other := newHost(&source{}), newHost(&source{})
		reader.source.configure(3, 1, 880)
		reader.read()
		reader.ApplyNews("other", other.NewsFor("reader"), -1)
		other.ApplyNews("reader", reader.NewsFor("other"), 0)
		_, known := other.Age()
		Expect(known).To(BeFalse())
		fetchFrom(reader, other)
		other.ApplyNews("reader", reader.NewsFor("other"), 0)
		_, known = other.Age()
		Expect(known).To(BeTrue())
	})

	// A host hears of a configuration from a peer and becomes a reader of the
	// store before it got it; the peer dies. Watching from the revision that it
	// heard of, it would never be given that configuration.
	It("leave no gap for a host that reads the store from then on", func() {
		store := &source{}
		reader, other := newHost(store), newHost(store)
		store.configure(3, 1, 4)
		reader.read()
		other.read()
		store.configure(5, 2, 900)
		store.put(directory.Record{Key: directory.TargetKey("i-1"), Revision: 6, Deleted: true})
		reader.read()
		other.ApplyNews("reader", reader.NewsFor("other"), -1)
		Expect(other.routes()).To(Equal(4))
		other.read()
		Expect(other.routes()).To(Equal(900))
	})
})

// fetchFrom has one host fetch another's configuration.
func fetchFrom(from, to *host) {
	config, records, _ := to.HeldRevisions()
	bulk, err := from.BuildBundle(config, records)
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
	// listed gives the targets that a host takes for ready.
	listed := func(h *host) []string {
		var out []string
		for _, t := range h.board.View.Get().ServiceTargets("app") {
			if h.board.View.Get().AcceptsNewRequests(t) {
				out = append(out, t.ID)
			}
		}
		return out
	}

	// Guards against targets that stay ready for good on hosts that learn the
	// newest revision from a process which never saw their entries.
	DescribeTable("take away the targets that left before it read the store", func(targets int) {
		store := &source{}
		store.configure(1, 1, 1)
		for i := range targets {
			store.put(targetRecord(fmt.Sprint("i-", i), uint64(2+i)))
		}
		old := newHost(store)
		old.read()
		Expect(listed(old)).To(HaveLen(targets))

		store.remove(directory.TargetKey("i-0"))
		fresh := newHost(store)
		fresh.read()
		tellAll(fresh, old)
		Expect(old.Revision()).To(Equal(fresh.Revision()))
		Expect(listed(old)).To(HaveLen(targets - 1))
		Expect(listed(old)).NotTo(ContainElement("i-0"))
	}, Entry("a few targets", 3), Entry("more than go along with other news", 3*mostRecords))

	// Guards against any order of starts, readings and news after which a host
	// counts a revision as known and lacks a removal before it.
	DescribeTable("leave no host with a target that is gone at the revision that it knows", func(newestOnly bool) {
		const hosts, targets, steps = 4, 6, 60
		seeds := []uint64{1158, 4087}
		for seed := range uint64(300) {
			seeds = append(seeds, seed)
		}
		for _, seed := range seeds {
			draw := rand.New(rand.NewPCG(seed, 1))
			store := &source{newestOnly: newestOnly}
			store.configure(1, 1, 1)
			fleet := make([]*host, hosts)
			for i := range fleet {
				fleet[i] = newHost(store)
			}
			for range steps {
				h, other := fleet[draw.IntN(hosts)], fleet[draw.IntN(hosts)]
				switch id := fmt.Sprint("i-", draw.IntN(targets)); draw.IntN(6) {
				case 0:
					store.put(targetRecord(id, store.at+1))
				case 1:
					store.remove(directory.TargetKey(id))
				case 2:
					fleet[draw.IntN(hosts)] = newHost(store)
				case 3:
					h.read()
				default:
					if h != other {
						tellAll(h, other)
					}
				}
				for _, h := range fleet {
					if h.board.View.Get() == nil || h.Revision() < store.at {
						continue
					}
					for _, r := range store.records {
						if r.Deleted {
							Expect(listed(h)).NotTo(ContainElement(directory.TargetID(r.Key)), "seed %d", seed)
						}
					}
				}
			}
		}
	}, Entry("a watch that gives every change", false), Entry("a watch that gives the newest of each key", true))
})

var _ = Describe("a configuration as rows", func() {
	It("comes out as it went in, whatever changed in between", func() {
		draw := rand.New(rand.NewPCG(3, 4))
		reader, other := newHost(&source{}), newHost(&source{})
		for version := uint64(1); version <= 40; version++ {
			reader.source.configure(2*version, version, draw.IntN(60))
			reader.read()
			if draw.IntN(3) == 0 {
				fetchFrom(reader, other)
				Expect(other.board.View.Get().Config).To(Equal(reader.board.View.Get().Config))
			}
		}
	})

	It("keeps routes that operators named alike apart", func() {
		c := configOf(1, 2)
		c.Routes[1] = c.Routes[0]
		d := newDocument()
		taken, err := d.replace(c, 1)
		Expect(err).NotTo(HaveOccurred())
		Expect(taken.Routes).To(HaveLen(2))
	})

	It("tells no accounts from an empty list of them", func() {
		for _, accounts := range [][]directory.Account{nil, {}} {
			c := configOf(1, 1)
			c.Accounts = accounts
			taken, err := newDocument().replace(c, 1)
			Expect(err).NotTo(HaveOccurred())
			Expect(taken.Accounts == nil).To(Equal(accounts == nil))
		}
	})

	It("costs what changed, compressed once for all that ask", func() {
		reader := newHost(&source{})
		reader.source.configure(3, 1, 880)
		reader.read()
		reader.source.configure(4, 2, 881)
		reader.read()
		whole, err := reader.BuildBundle(0, reader.Revision())
		Expect(err).NotTo(HaveOccurred())
		change, err := reader.BuildBundle(3, reader.Revision())
		Expect(err).NotTo(HaveOccurred())
		Expect(change.Size()).To(BeNumerically("<", whole.Size()/10))
		again, err := reader.BuildBundle(3, reader.Revision())
		Expect(err).NotTo(HaveOccurred())
		Expect(&again.Config[0]).To(BeIdenticalTo(&change.Config[0]))
	})

	DescribeTable("refuses bytes that it can't read and keeps what it has", func(packed []byte) {
		h := newHost(&source{})
		h.source.configure(3, 1, 4)
		h.read()
		_, err := h.ApplyBundle("peer", DeltaBundle{Config: packed})
		Expect(err).To(HaveOccurred())
		_, err = h.ApplyBundle("peer", DeltaBundle{Records: packed})
		Expect(err).To(HaveOccurred())
		Expect(h.routes()).To(Equal(4))
	},
		Entry("no archive", []byte("x")), Entry("cut archive", mustCompress([]byte("abc"))[:12]), Entry("no document", mustCompress([]byte{0xff})))
})

func mustCompress(plain []byte) []byte {
	packed, err := compress(plain)
	if err != nil {
		panic(err)
	}
	return packed
}

var _ = Describe("a target's entry that goes", func() {
	lookAt := func(h *host) bool {
		view := h.board.View.Get()
		t, known := view.Target("i-0")
		return known && view.AcceptsNewRequests(t)
	}
	lose := func(h *host) { h.note(failure.New(failure.KindConfigUnreadable, "the store answered 503")) }
	var h *host
	BeforeEach(func() {
		store := &source{}
		store.put(directory.Record{Key: directory.TargetKey("i-0"), Revision: 1, Target: &directory.Target{ID: "i-0", Service: "app", Slots: 1}})
		h = newHost(store)
		h.read()
	})

	// Guards against a target that left and stays ready because one call to the
	// store had failed just before.
	It("is not taken for one that lapsed when the store was away for a moment", func() {
		h.now = 500 * time.Millisecond
		lose(h)
		h.now = 700 * time.Millisecond
		h.read()
		h.source.remove(directory.TargetKey("i-0"))
		h.now = time.Second
		h.read()
		Expect(lookAt(h)).To(BeFalse())
	})

	// Guards against the same at a host that read the store long ago, in vain, and
	// was told by others since.
	It("is not taken for one that lapsed when others could read the store", func() {
		lose(h)
		other := newHost(h.source)
		for range 100 {
			h.now, other.now = h.now+100*time.Millisecond, other.now+100*time.Millisecond
			other.read()
			h.ApplyNews("other", other.NewsFor("h"), h.now)
		}
		h.read()
		h.source.remove(directory.TargetKey("i-0"))
		h.read()
		Expect(lookAt(h)).To(BeFalse())
	})

	// Guards against a target that stays ready until something else changes.
	It("counts as gone once it could be back, if nothing else changes", func() {
		h.now = time.Second
		lose(h)
		h.now = 10 * time.Second
		h.source.remove(directory.TargetKey("i-0"))
		h.read()
		Expect(lookAt(h)).To(BeTrue())
		h.now += mirror.DefaultRecoveryGrace
		h.read()
		Expect(lookAt(h)).To(BeFalse())
	})
})

var _ = Describe("a store that falls silent", func() {
	// Guards against hosts that learn of the silence only by the age of what they
	// know, while an engine's notice runs that was given in the same instant.
	It("is suspected by its reader and by the hosts that this one tells, until a later call is answered", func() {
		store := &source{}
		store.configure(1, 1, 1)
		reader, other := newHost(store), newHost(store)
		reader.read()
		fetchFrom(reader, other)
		Expect(reader.SuspectsStoreOutage()).To(BeFalse())

		reader.cfg.Source = &silentSource{store}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- reader.step(ctx, false) }()
		Eventually(reader.SuspectsStoreOutage, "5s").Should(BeTrue())
		Eventually(reader.NewsReady()).Should(Receive())
		reader.now, other.now = time.Second, time.Second
		other.ApplyNews("reader", reader.NewsFor("other"), -1)
		Expect(other.SuspectsStoreOutage()).To(BeTrue())
		cancel()
		Expect(<-done).To(HaveOccurred())

		reader.cfg.Source = store
		reader.now, other.now = 2*time.Second, 2*time.Second
		reader.read()
		Expect(reader.SuspectsStoreOutage()).To(BeFalse())
		Expect(reader.NewsFor("other").AnswerOverdue).To(BeZero())
		other.ApplyNews("reader", reader.NewsFor("other"), other.now)
		Expect(other.SuspectsStoreOutage()).To(BeFalse())
	})
})
