package mirror_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/mirror"
	"filbertdeck/internal/directory"
)

const (
	lostTargetEnd   = mirror.DefaultRecoveryGrace
	copiedTargetEnd = mirror.DefaultCopiedEntryTTL
	operatorEnd     = mirror.DefaultOperatorGrace
	// copyRevision and heldRevision are the revisions of the copy and of the
	// hosts when the store is restored.
	copyRevision, heldRevision = 20, 40
	drainKey                   = "drain/dc-2"
)

// inEra returns a position in an era.
func inEra(era, revision uint64) directory.Position {
	return directory.Position{Era: era, Revision: revision}
}

// of returns records with an era.
func of(era uint64, records ...directory.Record) []directory.Record {
	for i := range records {
		records[i].Era = era
	}
	return records
}

func leaving(t *directory.Target) { t.Leaving = true }

func startedAt(unixMilli int64) func(*directory.Target) {
	return func(t *directory.Target) { t.StartedUnixMilli = unixMilli }
}

func drainRecord(revision uint64) directory.Record {
	return directory.Record{Key: drainKey, Revision: revision, DrainedDataCentre: "dc-2"}
}

// holding returns a mirror that holds records of the first era.
func holding(records ...directory.Record) *mirror.Mirror {
	m := mirror.New(mirror.Config{})
	m.ApplyChanges(0, of(1, records...), inEra(1, heldRevision))
	return m
}

// restore gives a mirror the copy of a store that was restored at a time.
func restore(m *mirror.Mirror, now time.Duration, records ...directory.Record) {
	m.ApplySnapshot(now, of(2, records...), inEra(2, copyRevision))
}

// write gives a mirror a record that was written after the restore.
func write(m *mirror.Mirror, now time.Duration, r directory.Record) {
	m.ApplyChanges(now, of(2, r), inEra(2, r.Revision))
}

func isDrained(m *mirror.Mirror, now time.Duration) bool {
	return m.View(now).IsDrained("dc-2")
}

var _ = Describe("the mirror of a store that is restored from a copy", func() {
	now := time.Minute
	target := targetRecord("i-1", 5, nil)
	key := directory.TargetKey("i-1")

	// Guards against an older configuration of the copy in force, and against a
	// newer one that is ignored because of its revision.
	It("orders configurations by their own versions", func() {
		m := holding(configRecord(9, 30))
		restore(m, now, configRecord(4, 10))
		Expect(m.View(now).Config.Version).To(Equal(uint64(9)))
		write(m, now, configRecord(11, 21))
		Expect(m.View(now).Config.Version).To(Equal(uint64(11)))
	})

	// Guards against live targets without requests until they have written their
	// entries again, and against ended ones that stay in use.
	It("uses a target whose entry the copy lacks until it had time to write it again", func() {
		m := holding(target)
		restore(m, now)
		Expect(acceptsRequests(m, now+lostTargetEnd-1, "i-1")).To(BeTrue())
		Expect(m.NextViewChange(now)).To(Equal(now + lostTargetEnd))
		Expect(acceptsRequests(m, now+lostTargetEnd, "i-1")).To(BeFalse())
		Expect(m.TakeSettled().Gone).To(ConsistOf(key))
		Expect(m.TakeDeparted()).To(ConsistOf("i-1"))
	})

	It("keeps a target in use that writes its entry again", func() {
		m := holding(target)
		restore(m, now)
		write(m, now+time.Second, targetRecord("i-1", 21, nil))
		Expect(acceptsRequests(m, now+time.Hour, "i-1")).To(BeTrue())
		Expect(m.ChangedSince(inEra(2, copyRevision))).To(HaveLen(1))
	})

	// Guards against requests to a target that has left, as long as its entry in
	// the copy has not expired.
	It("does not use a target that was removed and is in the copy", func() {
		m := holding(target, removalRecord(key, 30))
		restore(m, now, target)
		Expect(acceptsRequests(m, now+copiedTargetEnd-1, "i-1")).To(BeFalse())
		Expect(acceptsRequests(m, now+copiedTargetEnd, "i-1")).To(BeTrue())
		Expect(m.TakeSettled().Adopted).To(ConsistOf(key))
	})

	DescribeTable("uses a target at once that was removed and starts or writes again", func(written directory.Record) {
		m := holding(target, removalRecord(key, 30))
		restore(m, now, target)
		write(m, now, written)
		Expect(acceptsRequests(m, now, "i-1")).To(BeTrue())
	}, Entry("the same start", targetRecord("i-1", 21, nil)), Entry("a later start", targetRecord("i-1", 22, startedAt(2))))

	// Guards against a new target that is taken for the removed one because the
	// first read of the restored store finds it there.
	It("uses a target that started under the id of a removed one before the store was read", func() {
		m := holding(target, removalRecord(key, 30))
		restore(m, now, targetRecord("i-1", 19, startedAt(2)))
		Expect(acceptsRequests(m, now, "i-1")).To(BeTrue())
	})

	// Guards against requests to a target whose notice of leaving was lost.
	It("takes a target for leaving that is ready in the copy, until it starts again", func() {
		m := holding(targetRecord("i-1", 30, leaving))
		restore(m, now, target)
		Expect(acceptsRequests(m, now+time.Hour, "i-1")).To(BeFalse())
		write(m, now, targetRecord("i-1", 21, startedAt(2)))
		Expect(acceptsRequests(m, now, "i-1")).To(BeTrue())
	})

	It("prefers the later start of a target to the earlier one in the copy", func() {
		m := holding(targetRecord("i-1", 30, startedAt(2)))
		restore(m, now, targetRecord("i-1", 5, startedAt(1)))
		t, known := m.View(now).Target("i-1")
		Expect(known).To(BeTrue())
		Expect(t.StartedUnixMilli).To(Equal(int64(2)))
		Expect(acceptsRequests(m, now, "i-1")).To(BeTrue())
		Expect(acceptsRequests(m, now+lostTargetEnd, "i-1")).To(BeFalse())
	})

	// Guards against new requests to a data centre that operators drained.
	It("keeps a data centre drained whose drain the copy lacks, until operators had time to repeat it", func() {
		m := holding(drainRecord(30))
		restore(m, now)
		Expect(isDrained(m, now+operatorEnd-1)).To(BeTrue())
		Expect(isDrained(m, now+operatorEnd)).To(BeFalse())
	})

	It("frees a drained data centre when operators free it after the restore", func() {
		m := holding(drainRecord(30))
		restore(m, now)
		write(m, now, drainRecord(21))
		Expect(isDrained(m, now)).To(BeTrue())
		write(m, now, removalRecord(drainKey, 22))
		Expect(isDrained(m, now)).To(BeFalse())
	})

	// Guards against a data centre without requests that operators had freed.
	It("takes a data centre for free whose drain is in the copy, until operators had time to free it again", func() {
		m := holding(drainRecord(10), removalRecord(drainKey, 30))
		restore(m, now, drainRecord(10))
		Expect(isDrained(m, now+operatorEnd-1)).To(BeFalse())
		Expect(isDrained(m, now+operatorEnd)).To(BeTrue())
	})

	It("drains a freed data centre when operators drain it after the restore", func() {
		m := holding(drainRecord(10), removalRecord(drainKey, 30))
		restore(m, now, drainRecord(10))
		write(m, now, drainRecord(21))
		Expect(isDrained(m, now)).To(BeTrue())
	})

	// Guards against a change of the earlier era that is taken for newer because
	// its revision is higher.
	It("ignores records of an earlier era that arrive late", func() {
		m := holding(target)
		restore(m, now, target)
		write(m, now, targetRecord("i-1", 21, leaving))
		m.MergeFromPeer(now, of(1, targetRecord("i-1", 60, nil)), inEra(1, 60))
		Expect(acceptsRequests(m, now, "i-1")).To(BeFalse())
		Expect(m.Position()).To(Equal(inEra(2, 21)))
	})

	It("keeps what it knows over a second restore within the time to repeat it", func() {
		m := holding(target, drainRecord(30), targetRecord("i-2", 31, nil), removalRecord(directory.TargetKey("i-2"), 32))
		copied := targetRecord("i-2", 6, nil)
		restore(m, now, copied)
		second := now + time.Second
		m.ApplySnapshot(second, of(5, copied), inEra(5, copyRevision))
		Expect(acceptsRequests(m, second+lostTargetEnd-1, "i-1")).To(BeTrue())
		Expect(acceptsRequests(m, second+lostTargetEnd-1, "i-2")).To(BeFalse())
		Expect(isDrained(m, second)).To(BeTrue())
		Expect(acceptsRequests(m, second+lostTargetEnd, "i-1")).To(BeFalse())
	})

	// Guards against a host that wakes long after the restore and still uses what
	// the store has lacked ever since.
	It("settles at once what the store has lacked since a restore long ago", func() {
		m := holding(target, drainRecord(30))
		m.RecordRestore(mirror.Restore{Era: 2, CopyRevision: copyRevision, SeenAt: now - time.Hour})
		restore(m, now)
		Expect(acceptsRequests(m, now, "i-1")).To(BeFalse())
		Expect(isDrained(m, now)).To(BeFalse())
	})

	It("treats the copy as all there is if it knows nothing", func() {
		m := mirror.New(mirror.Config{})
		restore(m, now, target, configRecord(4, 10))
		Expect(acceptsRequests(m, now, "i-1")).To(BeTrue())
		Expect(m.View(now).Config.Version).To(Equal(uint64(4)))
		Expect(m.Restore().Era).To(BeZero())
	})
})

var _ = Describe("mirrors of a restored store that exchange records", func() {
	now := time.Minute
	key := directory.TargetKey("i-1")
	target := targetRecord("i-1", 5, nil)

	// update brings a mirror to the state of another one.
	update := func(to, from *mirror.Mirror) {
		base, records := from.DeltaBase(to.Position()), from.Delta(to.Position())
		to.RecordRestore(from.Restore())
		if base == unknown {
			to.ApplySnapshot(now, records, from.Position())
		} else {
			to.MergeFromPeer(now, records, from.Position())
		}
		to.MergeFromPeer(now, from.Amendments(now), unknown)
	}

	// Guards against a whole fleet that transfers all records after a restore.
	It("send a host of the earlier era only what changed", func() {
		records := []directory.Record{target}
		for _, id := range []string{"i-2", "i-3", "i-4"} {
			records = append(records, targetRecord(id, 6, nil))
		}
		reader, other := holding(records...), holding(records...)
		restore(reader, now, records...)
		write(reader, now, targetRecord("i-2", 21, leaving))
		Expect(reader.Delta(other.Position())).To(HaveLen(1))
		update(other, reader)
		Expect(other.Position()).To(Equal(inEra(2, 21)))
		Expect(acceptsRequests(other, now, "i-2")).To(BeFalse())
		Expect(acceptsRequests(other, now, "i-3")).To(BeTrue())
	})

	// Guards against lost entries that stay in force at hosts that do not read
	// the store.
	It("tell a host of the earlier era what the copy lacks", func() {
		reader, other := holding(target, drainRecord(30)), holding(target, drainRecord(30))
		restore(reader, now)
		update(other, reader)
		Expect(acceptsRequests(other, now, "i-1")).To(BeTrue())
		Expect(isDrained(other, now)).To(BeTrue())
		Expect(acceptsRequests(other, now+lostTargetEnd, "i-1")).To(BeFalse())
		Expect(isDrained(other, now+operatorEnd)).To(BeFalse())
	})

	// Guards against knowledge that is lost with the copy because the host that
	// reads the restored store was the one that lacked it.
	DescribeTable("learn from a host that knew more of the earlier era", func(known []directory.Record, copied directory.Record) {
		reader, other := holding(target), holding(append([]directory.Record{target}, known...)...)
		restore(reader, now, copied)
		restore(other, now, copied)
		started := mirror.New(mirror.Config{})
		restore(started, now, copied)
		Expect(acceptsRequests(reader, now, "i-1")).To(BeTrue())
		update(reader, other)
		update(started, reader)
		for _, m := range []*mirror.Mirror{reader, other, started} {
			Expect(acceptsRequests(m, now, "i-1")).To(BeFalse())
		}
	},
		Entry("a target that leaves", []directory.Record{targetRecord("i-1", 30, leaving)}, target),
		Entry("a target that was removed", []directory.Record{removalRecord(key, 30)}, target),
	)

	It("replace what a host knew beyond them of the earlier era", func() {
		reader, other := holding(target), mirror.New(mirror.Config{})
		other.ApplyChanges(0, of(1, target, targetRecord("i-2", 45, nil)), inEra(1, 45))
		restore(reader, now, target)
		Expect(reader.DeltaBase(other.Position())).To(Equal(unknown))
		update(other, reader)
		Expect(acceptsRequests(other, now, "i-2")).To(BeTrue())
		Expect(acceptsRequests(other, now+lostTargetEnd, "i-2")).To(BeFalse())
		Expect(acceptsRequests(other, now+lostTargetEnd, "i-1")).To(BeTrue())
	})
})
