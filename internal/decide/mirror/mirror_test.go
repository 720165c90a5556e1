package mirror_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/mirror"
	"filbertdeck/internal/directory"
)

func TestMirror(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "mirror")
}

func target(id string, revision uint64, change func(*directory.Target)) directory.Record {
	t := &directory.Target{ID: id, Service: "llm", Address: "10.0.0.1:80", DataCentre: "dc-1", Slots: 4, Started: 1}
	if change != nil {
		change(t)
	}
	return directory.Record{Key: directory.TargetKey(id), Revision: revision, Target: t}
}

func gone(key string, revision uint64) directory.Record {
	return directory.Record{Key: key, Revision: revision, Gone: true}
}

func config(version, revision uint64) directory.Record {
	return directory.Record{Key: "config", Revision: revision, Config: &directory.Config{Version: version}}
}

func takesNew(m *mirror.Mirror, now time.Duration, id string) bool {
	v := m.View(now)
	t, ok := v.Target(id)
	return ok && v.TakesNew(t)
}

var _ = Describe("the mirror", func() {
	It("holds the newest of each record whatever the order in which they come", func() {
		all := []directory.Record{
			config(3, 2), config(9, 8), target("i-1", 3, nil), target("i-2", 4, nil),
			target("i-1", 6, func(t *directory.Target) { t.Leaving = true }), gone(directory.TargetKey("i-2"), 7),
		}
		for range 50 {
			m := mirror.New(mirror.Config{})
			rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
			for _, r := range all {
				m.ApplyChanges(0, []directory.Record{r}, 0)
			}
			Expect(m.View(0).Config.Version).To(Equal(uint64(9)))
			Expect(takesNew(m, 0, "i-1")).To(BeFalse())
			Expect(takesNew(m, 0, "i-2")).To(BeFalse())
		}
	})

	// A target writes every second that it is alive. If each of these writes
	// woke every request's picture, and went to every other host, the hosts
	// would do nothing else.
	It("takes no heartbeat for news", func() {
		m := mirror.New(mirror.Config{})
		Expect(m.ApplyChanges(0, []directory.Record{target("i-1", 3, nil)}, 3)).To(BeTrue())
		Expect(m.ApplyChanges(0, []directory.Record{target("i-1", 5, nil)}, 5)).To(BeFalse())
		Expect(m.Since(3)).To(BeEmpty())
		Expect(m.Since(2)).To(HaveLen(1))
	})

	It("drops what a whole reading lacks, but not what came after it", func() {
		m := mirror.New(mirror.Config{})
		m.ApplyChanges(0, []directory.Record{target("i-1", 3, nil), target("i-2", 9, nil)}, 9)
		m.ApplySnapshot(0, nil, 5)
		Expect(takesNew(m, 0, "i-1")).To(BeFalse())
		Expect(takesNew(m, 0, "i-2")).To(BeTrue())
	})

	// The store was down and the entries of live targets lapsed with it. Taken
	// for gone at once, every target would be lost to callers for two seconds.
	It("takes entries that lapsed with the store for alive until they are back", func() {
		m := mirror.New(mirror.Config{})
		m.ApplyChanges(0, []directory.Record{target("i-1", 3, nil), target("i-2", 4, nil)}, 4)
		m.StoreFailed()
		m.StoreAnswered(10 * time.Second)
		m.ApplySnapshot(10*time.Second, nil, 9)
		Expect(takesNew(m, 11*time.Second, "i-1")).To(BeTrue())
		m.ApplyChanges(11*time.Second, []directory.Record{target("i-1", 12, nil)}, 12)
		Expect(takesNew(m, 13*time.Second, "i-1")).To(BeTrue())
		Expect(takesNew(m, 13*time.Second, "i-2")).To(BeFalse())
	})

	// Guards against a removal that stops at a process which never knew the target.
	It("passes on the removal of a target that it never knew", func() {
		m := mirror.New(mirror.Config{})
		m.ApplyChanges(0, []directory.Record{target("i-1", 3, nil)}, 10)
		m.MergeFromPeer(0, []directory.Record{gone(directory.TargetKey("i-2"), 15)}, 15)
		Expect(m.Since(13)).To(HaveLen(1))
	})

	// Guards against a removed target that comes back with a peer's old list.
	DescribeTable("takes nothing back that was removed by the revision it knows", func(before ...directory.Record) {
		m := mirror.New(mirror.Config{})
		m.ApplyChanges(0, before, 3)
		m.ApplySnapshot(0, nil, 11)
		m.MergeFromPeer(0, []directory.Record{target("i-1", 7, nil)}, 0)
		Expect(takesNew(m, 0, "i-1")).To(BeFalse())
	}, Entry("a target that it never knew"),
		Entry("one that it knew to be gone before", target("i-1", 2, nil), gone(directory.TargetKey("i-1"), 3)))

	// Guards against a delayed write of a target's earlier state that makes a
	// leaving target ready again, here and at peers.
	It("takes a target that leaves for leaving until it starts anew", func() {
		m, peer := mirror.New(mirror.Config{}), mirror.New(mirror.Config{})
		leaving := target("i-1", 5, func(t *directory.Target) { t.Leaving = true })
		m.ApplyChanges(0, []directory.Record{target("i-1", 3, nil), leaving}, 5)
		m.ApplyChanges(0, []directory.Record{target("i-1", 7, nil)}, 7)
		Expect(takesNew(m, 0, "i-1")).To(BeFalse())
		peer.ApplySnapshot(0, m.Delta(0), m.Revision())
		Expect(takesNew(peer, 0, "i-1")).To(BeFalse())

		m.ApplyChanges(0, []directory.Record{target("i-1", 9, func(t *directory.Target) { t.Started = 2 })}, 9)
		Expect(takesNew(m, 0, "i-1")).To(BeTrue())
	})

	// Another writer leaves an entry that can't be read. It names no target to
	// use; an unreadable configuration takes nothing away from the last one.
	It("keeps the last readable configuration and uses no unreadable target", func() {
		m := mirror.New(mirror.Config{})
		m.ApplyChanges(0, []directory.Record{config(3, 2), target("i-1", 3, nil)}, 3)
		m.ApplyChanges(0, []directory.Record{
			{Key: "config", Revision: 4, Fault: "no JSON"}, {Key: directory.TargetKey("i-1"), Revision: 5, Fault: "no JSON"},
		}, 5)
		Expect(m.View(0).Config.Version).To(Equal(uint64(3)))
		Expect(takesNew(m, 0, "i-1")).To(BeFalse())
	})
})
