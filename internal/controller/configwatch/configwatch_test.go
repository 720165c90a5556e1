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

// fakeService is an in-memory configuration service.
type fakeService struct {
	mu       sync.Mutex
	revision uint64
	values   map[string]configservice.Value
	err      error
	calls    int
	changed  chan struct{}
}

func newFakeService() *fakeService {
	return &fakeService{values: map[string]configservice.Value{}, changed: make(chan struct{})}
}

func (s *fakeService) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeService) put(key, text string) {
	s.update(func() {
		s.revision++
		s.values[key] = configservice.Value{Key: key, Revision: s.revision, Content: text}
	})
}

func (s *fakeService) remove(key string) {
	s.update(func() { s.revision++; delete(s.values, key) })
}

// backup returns a function that restores the current state.
func (s *fakeService) backup() func() {
	revision, values := s.revision, maps.Clone(s.values)
	return func() { s.update(func() { s.revision, s.values = revision, maps.Clone(values) }) }
}

func (s *fakeService) setError(err error) { s.update(func() { s.err = err }) }

func (s *fakeService) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (configservice.Response, error) {
	s.mu.Lock()
	changed := s.changed
	if s.revision == after && s.err == nil && wait > 0 {
		s.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(min(wait, 50*time.Millisecond)):
		case <-ctx.Done():
			return configservice.Response{}, failure.Wrap(ctx.Err(), failure.KindConfigUnreadable, "watch cancelled")
		}
		s.mu.Lock()
	}
	defer s.mu.Unlock()
	s.calls++
	if s.err != nil {
		return configservice.Response{}, s.err
	}
	answer := configservice.Response{Revision: s.revision, Keys: slices.Sorted(maps.Keys(s.values))}
	for _, v := range s.values {
		if v.Revision > after && strings.HasPrefix(v.Key, prefix) {
			answer.Values = append(answer.Values, v)
		}
	}
	return answer, nil
}

const tableHeader = "kind,name,weight,type\n"

func tableWithWeight(weight int) string {
	return fmt.Sprintf("%sservice,reports,,generation\naccount,clinic,%d,\n", tableHeader, weight)
}

func hostsJSON(names ...string) string {
	var list []string
	for i, n := range names {
		list = append(list, fmt.Sprintf(`{"name":%q,"data_centre":"north","entry":"10.0.0.%d:80","control":"10.0.0.%d:81","state":"live"}`, n, i+1, i+1))
	}
	return `{"revision":1,"hosts":[` + strings.Join(list, ",") + `]}`
}

var _ = Describe("a reader", func() {
	var (
		svc     *fakeService
		board   *configwatch.Board
		store   *configwatch.Store
		watcher *configwatch.Watcher
	)
	weightInForce := func() float64 {
		if t := board.Table.Get(); t != nil && t.Accounts["clinic"] != nil {
			return t.Accounts["clinic"].Weight
		}
		return 0
	}
	tableState := func() configwatch.DocumentState {
		docs := board.Rollout.Get().Documents
		return docs[slices.Index(configwatch.Sections, configwatch.SectionTable)]
	}
	isServiceBehind := func() bool { return board.Rollout.Get().Service.Behind }

	BeforeEach(func() {
		svc, board = newFakeService(), &configwatch.Board{}
		svc.put("hosts", hostsJSON("h1", "h2"))
		svc.put("table/0001", tableWithWeight(1))
		svc.put("targets", `{"targets":[{"service":"reports","address":"10.1.0.1:1","data_centre":"north","state":"leaving"}]}`)
		var err error
		store, err = configwatch.NewStore(board, configwatch.StoreConfig{})
		Expect(err).NotTo(HaveOccurred())
		watcher = configwatch.NewWatcher(svc, store)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); watcher.Run(ctx) }()
		DeferCleanup(func() { cancel(); <-done })
		watcher.SetReader(true)
		Eventually(weightInForce, "5s", "5ms").Should(Equal(1.0))
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

	It("keeps the table in force when an edit is invalid, and reports the reason", func() {
		svc.put("table/0001", tableWithWeight(-1))
		refusalReason := func() string { return tableState().LatestRefusal.Reason }
		Eventually(refusalReason, "5s", "5ms").Should(ContainSubstring("weight"))
		Expect(weightInForce()).To(Equal(1.0))
		svc.put("table/0001", tableWithWeight(3))
		Eventually(weightInForce, "5s", "5ms").Should(Equal(3.0))
		Expect(refusalReason()).To(BeEmpty())
	})

	It("keeps the table in force when all of its pages are removed", func() {
		svc.remove("table/0001")
		Eventually(func() uint64 { return tableState().LatestRefusal.Version.Revision }, "5s", "5ms").Should(Equal(svc.revision))
		Expect(weightInForce()).To(Equal(1.0))
	})

	// Guards against a restore from a backup that lacks an accepted edit: the
	// edit must not be reverted, and later edits of other values must not bring
	// the old table back.
	It("keeps its state across a restore, and applies edits again once the epoch is raised", func() {
		restore := svc.backup()
		svc.put("table/0001", tableWithWeight(5))
		Eventually(weightInForce, "5s", "5ms").Should(Equal(5.0))
		restore()
		Eventually(isServiceBehind, "5s", "5ms").Should(BeTrue())
		for range 5 {
			svc.put("targets", `{"targets":[]}`)
		}
		confirmedAt := store.ConfirmedAt()
		Consistently(weightInForce, "200ms", "5ms").Should(Equal(5.0))
		Expect(store.ConfirmedAt()).To(Equal(confirmedAt), "a restored service must not confirm the host list")
		svc.put("table/0001", tableWithWeight(7)+"epoch,1,,\n")
		Eventually(weightInForce, "5s", "5ms").Should(Equal(7.0))
		Eventually(isServiceBehind, "5s", "5ms").Should(BeFalse())
	})

	It("keeps the table in force while the service is down, and reads the whole state afterwards", func() {
		confirmedAt := store.ConfirmedAt()
		svc.setError(failure.New(failure.KindConfigUnreadable, "down"))
		Eventually(func() string { return board.Rollout.Get().Service.LastFailure }, "5s", "5ms").Should(Equal("configuration-unreadable"))
		Expect(weightInForce()).To(Equal(1.0))
		svc.put("table/0001", tableWithWeight(2))
		svc.setError(nil)
		Eventually(weightInForce, "10s", "5ms").Should(Equal(2.0))
		Eventually(store.ConfirmedAt, "5s", "5ms").Should(BeTemporally(">", confirmedAt))
	})

	It("stops calling when it is no longer a reader", func() {
		watcher.SetReader(false)
		time.Sleep(100 * time.Millisecond)
		svc.mu.Lock()
		callsBefore := svc.calls
		svc.mu.Unlock()
		svc.put("table/0001", tableWithWeight(9))
		Consistently(weightInForce, "200ms", "10ms").Should(Equal(1.0))
		Expect(svc.calls).To(Equal(callsBefore))
	})

	It("publishes the same state from a peer's delta as from the service", func() {
		otherBoard := &configwatch.Board{}
		other, err := configwatch.NewStore(otherBoard, configwatch.StoreConfig{})
		Expect(err).NotTo(HaveOccurred())
		for _, s := range configwatch.Sections {
			expected := rollout.VerdictApply
			if s == configwatch.SectionDrain || s == configwatch.SectionKept {
				expected = rollout.VerdictCurrent
			}
			Expect(other.Apply(s, store.DeltaSince(s, rollout.Version{}))).To(Equal(expected), string(s))
		}
		Expect(otherBoard.Table.Get()).To(Equal(board.Table.Get()))
		svc.put("table/0001", tableWithWeight(4))
		Eventually(weightInForce, "5s", "5ms").Should(Equal(4.0))
		delta := store.DeltaSince(configwatch.SectionTable, other.Head(configwatch.SectionTable).Version)
		Expect(delta.Rows).To(HaveLen(1))
		Expect(other.Apply(configwatch.SectionTable, delta)).To(Equal(rollout.VerdictApply))
		Expect(otherBoard.Table.Get().Accounts["clinic"].Weight).To(Equal(4.0))
	})
})

// BenchmarkStore reports the memory of a node at the target size (11,000
// accounts, 10,000 targets, 3,300 hosts) and the cost of changing one row, from
// the delta to the published snapshot.
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
		store.Apply(name, rollout.Delta{Full: true, Rows: all, Head: rollout.Head{Version: rollout.Version{Revision: 1}, Digest: rollout.ComputeDigest(all)}})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	for name, rowAt := range rows {
		b.Run("one row of "+string(name), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				head, oldRow := store.Head(name), rowAt(7)
				text := oldRow.Text + " "
				if delta := store.DeltaSince(name, rollout.Version{Revision: head.Version.Revision}); delta.Full {
					b.Fatal("the change log does not reach back far enough")
				}
				newRow := rollout.Row{Key: oldRow.Key, Text: text}
				if head.Version.Revision%2 == 0 {
					newRow, oldRow = oldRow, newRow
				}
				delta := rollout.Delta{From: head.Version, Rows: []rollout.Row{newRow}, Head: rollout.Head{
					Version: rollout.Version{Revision: head.Version.Revision + 1},
					Digest:  head.Digest - rollout.ComputeDigest([]rollout.Row{oldRow}) + rollout.ComputeDigest([]rollout.Row{newRow}),
				}}
				if v := store.Apply(name, delta); v != rollout.VerdictApply {
					b.Fatal(v)
				}
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/1024, "KB-held")
		})
	}
}
