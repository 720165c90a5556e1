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

func targetRecord(id string, revision uint64, modify func(*directory.Target)) directory.Record {
	t := &directory.Target{ID: id, Service: "llm", Address: "10.0.0.1:80", DataCentre: "dc-1", Slots: 4, StartedUnixMilli: 1}
	if modify != nil {
		modify(t)
	}
	return directory.Record{Key: directory.TargetKey(id), Revision: revision, Target: t}
}

// at returns a position in the store's first era.
func at(revision uint64) directory.Position { return directory.Position{Revision: revision} }

// unknown is the position of a sender that knows none.
var unknown directory.Position

func removalRecord(key string, revision uint64) directory.Record {
	return directory.Record{Key: key, Revision: revision, Deleted: true}
}

func configRecord(version, revision uint64) directory.Record {
	return directory.Record{Key: "config", Revision: revision, Config: &directory.Config{Version: version}}
}

func acceptsRequests(m *mirror.Mirror, now time.Duration, id string) bool {
	v := m.View(now)
	t, ok := v.Target(id)
	return ok && v.AcceptsNewRequests(t)
}

var _ = Describe("the mirror", func() {
	It("keeps the newest record of each key whatever the order of arrival", func() {
		records := []directory.Record{
			configRecord(3, 2), configRecord(9, 8), targetRecord("i-1", 3, nil), targetRecord("i-2", 4, nil),
			targetRecord("i-1", 6, func(t *directory.Target) { t.Leaving = true }), removalRecord(directory.TargetKey("i-2"), 7),
		}
		for range 50 {
			m := mirror.New(mirror.Config{})
			rand.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
			for _, r := range records {
				m.ApplyChanges(0, []directory.Record{r}, unknown)
			}
			Expect(m.View(0).Config.Version).To(Equal(uint64(9)))
			Expect(acceptsRequests(m, 0, "i-1")).To(BeFalse())
			Expect(acceptsRequests(m, 0, "i-2")).To(BeFalse())
		}
	})

	// A target writes a heartbeat every second. If each heartbeat rebuilt the
	// view and were sent to all other hosts, the hosts would do nothing else.
	It("does not report a heartbeat as a change", func() {
		m := mirror.New(mirror.Config{})
		Expect(m.ApplyChanges(0, []directory.Record{targetRecord("i-1", 3, nil)}, at(3))).To(BeTrue())
		Expect(m.ApplyChanges(0, []directory.Record{targetRecord("i-1", 5, nil)}, at(5))).To(BeFalse())
		Expect(m.ChangedSince(at(3))).To(BeEmpty())
		Expect(m.ChangedSince(at(2))).To(HaveLen(1))
	})

	It("removes what a full snapshot lacks, but not what was published after it", func() {
		m := mirror.New(mirror.Config{})
		m.ApplyChanges(0, []directory.Record{targetRecord("i-1", 3, nil), targetRecord("i-2", 9, nil)}, at(9))
		m.ApplySnapshot(0, nil, at(5))
		Expect(acceptsRequests(m, 0, "i-1")).To(BeFalse())
		Expect(acceptsRequests(m, 0, "i-2")).To(BeTrue())
	})

	// The store was down and the entries of live targets expired meanwhile. If
	// they counted as removed at once, no target would be available for two
	// seconds.
	It("considers targets alive during the grace period if their entries expired while the store was down", func() {
		m := mirror.New(mirror.Config{})
		m.ApplyChanges(0, []directory.Record{targetRecord("i-1", 3, nil), targetRecord("i-2", 4, nil)}, at(4))
		m.RecordStoreFailure()
		m.RecordStoreAnswer(10 * time.Second)
		m.ApplySnapshot(10*time.Second, nil, at(9))
		Expect(acceptsRequests(m, 11*time.Second, "i-1")).To(BeTrue())
		m.ApplyChanges(11*time.Second, []directory.Record{targetRecord("i-1", 12, nil)}, at(12))
		Expect(acceptsRequests(m, 13*time.Second, "i-1")).To(BeTrue())
		Expect(acceptsRequests(m, 13*time.Second, "i-2")).To(BeFalse())
	})

	// Guards against a removal that is not passed on by a process that never
	// knew the target.
	It("passes on the removal of a target that it never knew", func() {
		m := mirror.New(mirror.Config{})
		m.ApplyChanges(0, []directory.Record{targetRecord("i-1", 3, nil)}, at(10))
		m.MergeFromPeer(0, []directory.Record{removalRecord(directory.TargetKey("i-2"), 15)}, at(15))
		Expect(m.ChangedSince(at(13))).To(HaveLen(1))
	})

	// Guards against a removed target that comes back with a peer's old list.
	DescribeTable("does not restore what was removed by the known revision", func(before ...directory.Record) {
		m := mirror.New(mirror.Config{})
		m.ApplyChanges(0, before, at(3))
		m.ApplySnapshot(0, nil, at(11))
		m.MergeFromPeer(0, []directory.Record{targetRecord("i-1", 7, nil)}, unknown)
		Expect(acceptsRequests(m, 0, "i-1")).To(BeFalse())
	}, Entry("a target that it never knew"),
		Entry("a target whose removal it knew", targetRecord("i-1", 2, nil), removalRecord(directory.TargetKey("i-1"), 3)))

	// Guards against a delayed write of a target's earlier state that makes a
	// leaving target ready again, here and at peers.
	It("takes a leaving target for leaving until it restarts", func() {
		m, peer := mirror.New(mirror.Config{}), mirror.New(mirror.Config{})
		leaving := targetRecord("i-1", 5, func(t *directory.Target) { t.Leaving = true })
		m.ApplyChanges(0, []directory.Record{targetRecord("i-1", 3, nil), leaving}, at(5))
		m.ApplyChanges(0, []directory.Record{targetRecord("i-1", 7, nil)}, at(7))
		Expect(acceptsRequests(m, 0, "i-1")).To(BeFalse())
		peer.ApplySnapshot(0, m.Delta(unknown), m.Position())
		Expect(acceptsRequests(peer, 0, "i-1")).To(BeFalse())

		m.ApplyChanges(0, []directory.Record{targetRecord("i-1", 9, func(t *directory.Target) { t.StartedUnixMilli = 2 })}, at(9))
		Expect(acceptsRequests(m, 0, "i-1")).To(BeTrue())
	})

	// Another writer leaves an entry that can't be read. An unreadable target
	// is not used; an unreadable configuration does not revoke the last one.
	It("keeps the last readable configuration and uses no unreadable target", func() {
		m := mirror.New(mirror.Config{})
		m.ApplyChanges(0, []directory.Record{configRecord(3, 2), targetRecord("i-1", 3, nil)}, at(3))
		m.ApplyChanges(0, []directory.Record{
			{Key: "config", Revision: 4, ReadError: "no JSON"}, {Key: directory.TargetKey("i-1"), Revision: 5, ReadError: "no JSON"},
		}, at(5))
		Expect(m.View(0).Config.Version).To(Equal(uint64(3)))
		Expect(acceptsRequests(m, 0, "i-1")).To(BeFalse())
	})
})
