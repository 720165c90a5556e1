package configwatch_test

import (
	"context"
	"fmt"
	"maps"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/configservice"
	"filbertdeck/internal/controller/configwatch"
	"filbertdeck/internal/decide/rollout"
	"filbertdeck/internal/failure"
)

func TestConfigwatch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "configwatch")
}

// service is a configuration service in memory.
type service struct {
	mu       sync.Mutex
	revision uint64
	values   map[string]configservice.Value
	err      error
	calls    int
	changed  chan struct{}
}

func newService() *service {
	return &service{values: map[string]configservice.Value{}, changed: make(chan struct{})}
}

func (s *service) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *service) put(key, text string) {
	s.set(func() {
		s.revision++
		s.values[key] = configservice.Value{Key: key, Revision: s.revision, Text: text}
	})
}

func (s *service) remove(key string) {
	s.set(func() { s.revision++; delete(s.values, key) })
}

// backup gives a function that restores the present state.
func (s *service) backup() func() {
	revision, values := s.revision, maps.Clone(s.values)
	return func() { s.set(func() { s.revision, s.values = revision, maps.Clone(values) }) }
}

func (s *service) fail(err error) { s.set(func() { s.err = err }) }

func (s *service) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (configservice.Answer, error) {
	s.mu.Lock()
	changed := s.changed
	if s.revision == after && s.err == nil && wait > 0 {
		s.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(min(wait, 50*time.Millisecond)):
		case <-ctx.Done():
			return configservice.Answer{}, failure.Wrap(ctx.Err(), failure.KindConfigUnreadable, "cut")
		}
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	s.calls++
	if s.err != nil {
		return configservice.Answer{}, s.err
	}
	a := configservice.Answer{Revision: s.revision, Keys: slices.Sorted(maps.Keys(s.values))}
	for _, v := range s.values {
		if v.Revision > after && strings.HasPrefix(v.Key, prefix) {
			a.Values = append(a.Values, v)
		}
	}
	return a, nil
}

const head = "kind,name,weight,type\n"

func weight(w int) string {
	return fmt.Sprintf("%sservice,reports,,generation\naccount,clinic,%d,\n", head, w)
}

func hosts(names ...string) string {
	var list []string
	for i, n := range names {
		list = append(list, fmt.Sprintf(`{"name":%q,"data_centre":"north","entry":"10.0.0.%d:80","control":"10.0.0.%d:81","state":"live"}`, n, i+1, i+1))
	}
	return `{"revision":1,"hosts":[` + strings.Join(list, ",") + `]}`
}

var _ = Describe("a reader", func() {
	var (
		svc   *service
		board *configwatch.Board
		store *configwatch.Store
		watch *configwatch.Watcher
	)
	inForce := func() float64 {
		if t := board.Table.Get(); t != nil && t.Accounts["clinic"] != nil {
			return t.Accounts["clinic"].Weight
		}
		return 0
	}
	tableState := func() configwatch.DocumentState {
		docs := board.Rollout.Get().Documents
		return docs[slices.Index(configwatch.Sections, configwatch.SectionTable)]
	}
	behind := func() bool { return board.Rollout.Get().Service.Behind }

	BeforeEach(func() {
		svc, board = newService(), &configwatch.Board{}
		svc.put("hosts", hosts("h1", "h2"))
		svc.put("table/0001", weight(1))
		svc.put("targets", `{"targets":[{"service":"reports","address":"10.1.0.1:1","data_centre":"north","state":"leaving"}]}`)
		var err error
		store, err = configwatch.NewStore(board, configwatch.StoreConfig{})
		Expect(err).NotTo(HaveOccurred())
		watch = configwatch.NewWatcher(svc, store)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); watch.Run(ctx) }()
		DeferCleanup(func() { cancel(); <-done })
		watch.SetReader(true)
		Eventually(inForce, "5s", "5ms").Should(Equal(1.0))
	})

	It("publishes table, targets, drain list and hosts as one state", func() {
		svc.put("drain", "south\n")
		Eventually(func() bool { return board.Table.Get().Drained["south"] }, "5s", "5ms").Should(BeTrue())
		Expect(board.Table.Get().Services["reports"].Targets[0].Leaving).To(BeTrue())
		Expect(board.Hosts.Get().List).To(HaveLen(2))
		Expect(board.Targets.Get().ByService["reports"]).To(HaveLen(1))
		Expect(store.IsReady()).To(BeTrue())
		svc.remove("drain")
		Eventually(func() bool { return board.Table.Get().Drained["south"] }, "5s", "5ms").Should(BeFalse())
	})

	It("keeps the table in force when an edit has faults, and tells why", func() {
		svc.put("table/0001", weight(-1))
		refused := func() string { return tableState().LatestRefusal.Reason }
		Eventually(refused, "5s", "5ms").Should(ContainSubstring("weight"))
		Expect(inForce()).To(Equal(1.0))
		svc.put("table/0001", weight(3))
		Eventually(inForce, "5s", "5ms").Should(Equal(3.0))
		Expect(refused()).To(BeEmpty())
	})

	It("does not take every table away when its pages vanish", func() {
		svc.remove("table/0001")
		Eventually(func() uint64 { return tableState().LatestRefusal.Version.Revision }, "5s", "5ms").Should(Equal(svc.revision))
		Expect(inForce()).To(Equal(1.0))
	})

	// The platform restores its service from a backup. The edit that cut an
	// account's weight is not in it; the operator would see it undone, and
	// later edits of other values would carry the old table along.
	It("outlives a restore, and takes up edits again once the epoch is raised", func() {
		restore := svc.backup()
		svc.put("table/0001", weight(5))
		Eventually(inForce, "5s", "5ms").Should(Equal(5.0))
		restore()
		Eventually(behind, "5s", "5ms").Should(BeTrue())
		for range 5 {
			svc.put("targets", `{"targets":[]}`)
		}
		confirmed := store.ConfirmedAt()
		Consistently(inForce, "200ms", "5ms").Should(Equal(5.0))
		Expect(store.ConfirmedAt()).To(Equal(confirmed), "a restored service confirms nothing")
		svc.put("table/0001", weight(7)+"epoch,1,,\n")
		Eventually(inForce, "5s", "5ms").Should(Equal(7.0))
		Eventually(behind, "5s", "5ms").Should(BeFalse())
	})

	It("keeps serving while the service is down, and reads it whole afterwards", func() {
		confirmed := store.ConfirmedAt()
		svc.fail(failure.New(failure.KindConfigUnreadable, "down"))
		Eventually(func() string { return board.Rollout.Get().Service.LastFailure }, "5s", "5ms").Should(Equal("configuration-unreadable"))
		Expect(inForce()).To(Equal(1.0))
		svc.put("table/0001", weight(2))
		svc.fail(nil)
		Eventually(inForce, "10s", "5ms").Should(Equal(2.0))
		Eventually(store.ConfirmedAt, "5s", "5ms").Should(BeTemporally(">", confirmed))
	})

	It("stops calling when the role goes", func() {
		watch.SetReader(false)
		time.Sleep(100 * time.Millisecond)
		svc.mu.Lock()
		before := svc.calls
		svc.mu.Unlock()
		svc.put("table/0001", weight(9))
		Consistently(inForce, "200ms", "10ms").Should(Equal(1.0))
		Expect(svc.calls).To(Equal(before))
	})

	It("takes the same from a peer's delta as from the service", func() {
		otherBoard := &configwatch.Board{}
		other, err := configwatch.NewStore(otherBoard, configwatch.StoreConfig{})
		Expect(err).NotTo(HaveOccurred())
		for _, s := range configwatch.Sections {
			want := rollout.VerdictApply
			if s == configwatch.SectionDrain || s == configwatch.SectionKept {
				want = rollout.VerdictCurrent
			}
			Expect(other.Offer(s, store.Since(s, rollout.Version{}))).To(Equal(want), string(s))
		}
		Expect(otherBoard.Table.Get()).To(Equal(board.Table.Get()))
		svc.put("table/0001", weight(4))
		Eventually(inForce, "5s", "5ms").Should(Equal(4.0))
		delta := store.Since(configwatch.SectionTable, other.Head(configwatch.SectionTable).Version)
		Expect(delta.Rows).To(HaveLen(1))
		Expect(other.Offer(configwatch.SectionTable, delta)).To(Equal(rollout.VerdictApply))
		Expect(otherBoard.Table.Get().Accounts["clinic"].Weight).To(Equal(4.0))
	})
})

// BenchmarkStore reports what a node holds at the target size (11,000
// accounts, 10,000 targets, 3,300 hosts) and what one row's change costs it,
// from the delta to the published snapshot.
func BenchmarkStore(b *testing.B) {
	rows := map[configwatch.Section]func(i int) rollout.Row{
		configwatch.SectionTable: func(i int) rollout.Row {
			return rollout.Row{Key: fmt.Sprintf("account/member-%05d", i), Text: fmt.Sprintf("account,member-%05d,1,20,500,0,%064x,,,,,,", i, i+1)}
		},
		configwatch.SectionTargets: func(i int) rollout.Row {
			t := configservice.Target{Service: "reports", Address: fmt.Sprintf("10.1.%d.%d:9000", i/250, i%250), DataCentre: fmt.Sprint("dc", i%10), State: configservice.StateLive}
			return rollout.Row{Key: t.Key(), Text: t.Row()}
		},
		configwatch.SectionHosts: func(i int) rollout.Row {
			a := fmt.Sprintf("10.0.%d.%d", i/250, i%250)
			h := configservice.Host{Name: fmt.Sprint("host-", i), DataCentre: fmt.Sprint("dc", i%10), Entry: a + ":80", Control: a + ":81", State: configservice.StateLive}
			return rollout.Row{Key: h.Key(), Text: h.Row()}
		},
	}
	sizes := map[configwatch.Section]int{configwatch.SectionTable: 11_000, configwatch.SectionTargets: 10_000, configwatch.SectionHosts: 3300}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	store, err := configwatch.NewStore(&configwatch.Board{}, configwatch.StoreConfig{})
	if err != nil {
		b.Fatal(err)
	}
	for name, n := range sizes {
		all := make([]rollout.Row, n)
		for i := range all {
			all[i] = rows[name](i)
		}
		store.Offer(name, rollout.Delta{Full: true, Rows: all, Head: rollout.Head{Version: rollout.Version{Revision: 1}, Digest: rollout.ComputeDigest(all)}})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	for name, row := range rows {
		b.Run("one row of "+string(name), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				head, old := store.Head(name), row(7)
				text := old.Text + " "
				if held := store.Since(name, rollout.Version{Revision: head.Version.Revision}); held.Full {
					b.Fatal("the log does not reach back")
				}
				next := rollout.Row{Key: old.Key, Text: text}
				if head.Version.Revision%2 == 0 {
					next, old = old, next
				}
				delta := rollout.Delta{From: head.Version, Rows: []rollout.Row{next}, Head: rollout.Head{
					Version: rollout.Version{Revision: head.Version.Revision + 1},
					Digest:  head.Digest - rollout.ComputeDigest([]rollout.Row{old}) + rollout.ComputeDigest([]rollout.Row{next}),
				}}
				if v := store.Offer(name, delta); v != rollout.VerdictApply {
					b.Fatal(v)
				}
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024, "KB-held")
		})
	}
}
