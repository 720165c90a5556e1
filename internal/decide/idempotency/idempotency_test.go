package idempotency_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/idempotency"
	"filbertdeck/internal/failure"
)

func TestOnce(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "once")
}

var epoch = time.Unix(1_800_000_000, 0)

// ordered makes a UUIDv7 of the given time.
func ordered(at time.Time, n uint64) string {
	var id uuid.UUID
	ms := uint64(at.UnixMilli())
	for i := range 6 {
		id[i] = byte(ms >> (40 - 8*i))
	}
	id[6], id[8] = 0x70, 0x80
	for i := range 6 {
		id[15-i] = byte(n >> (8 * i))
	}
	return id.String()
}

func callerKey(text string) idempotency.Key {
	key, err := idempotency.CallerKey(text)
	Expect(err).NotTo(HaveOccurred())
	return key
}

// self owns every key while it is alone on the list.
var self = idempotency.Process{Address: "a", Incarnation: 7}

// settled returns a register that has been the only owner for an hour.
func settled(cfg idempotency.Config) (*idempotency.Registry, time.Duration) {
	cfg.Self = self
	r := idempotency.New(cfg)
	now := time.Duration(0)
	for ; now <= time.Hour; now += time.Second {
		r.ConfirmHosts(now, idempotency.HostList{Revision: 1, LiveHosts: []string{"a"}, ConfirmedAt: now})
	}
	return r, now - time.Second
}

func call(key idempotency.Key, now time.Duration) idempotency.Call {
	return idempotency.Call{Account: "park", Key: key, Fingerprint: 1, WallTime: epoch.Add(now)}
}

func freshKey(now time.Duration) idempotency.Key {
	return callerKey(ordered(epoch.Add(now), uint64(now)))
}

// outcome tells a decision in one word.
func outcome(d idempotency.Decision) string {
	switch d.Action {
	case idempotency.Run:
		return "run"
	case idempotency.Replay:
		return "replay"
	case idempotency.Forward:
		return "forward " + d.Owner.Address
	default:
		return string(d.Err.Kind) + " " + string(d.Err.Executed)
	}
}

var _ = Describe("a caller's key", func() {
	DescribeTable("is read in its canonical form",
		func(text string, kind idempotency.KeyKind, id string) {
			key, err := idempotency.CallerKey(text)
			if kind == 0 {
				Expect(failure.KindOf(err)).To(Equal(failure.KindKeyInvalid))
				return
			}
			Expect(err).NotTo(HaveOccurred())
			Expect(key.Kind).To(Equal(kind))
			Expect(key.ID).To(Equal("c/" + id))
		},
		Entry(nil, "order-17", idempotency.KeyOpaque, "order-17"),
		Entry(nil, `"order-17"`, idempotency.KeyOpaque, "order-17"),
		Entry(nil, "0198F0A0-0000-7000-8000-00000000ABCD", idempotency.KeyOrdered, "0198f0a0-0000-7000-8000-00000000abcd"),
		Entry(nil, "0198f0a0-0000-4000-8000-00000000ABCD", idempotency.KeyOpaque, "0198f0a0-0000-4000-8000-00000000abcd"),
		Entry(nil, "", idempotency.KeyKind(0), ""), Entry(nil, `""`, idempotency.KeyKind(0), ""), Entry(nil, "a b", idempotency.KeyKind(0), ""),
		Entry(nil, "é", idempotency.KeyKind(0), ""), Entry(nil, strings.Repeat("x", 256), idempotency.KeyKind(0), ""),
	)
	It("carries its time when it is a UUIDv7", func() {
		Expect(callerKey(ordered(epoch, 1)).Stamp.Equal(epoch)).To(BeTrue())
	})
})

var _ = Describe("a call's record", func() {
	// A technician's phone sends the booking again while the first one is on
	// its way, after its answer was lost, and after the target fell silent.
	// Each time the second must not drive a crew out.
	DescribeTable("answers a repeated call by what happened to the first",
		func(act func(*idempotency.Registry, time.Duration, idempotency.Key), want string) {
			r, now := settled(idempotency.Config{})
			key := freshKey(now)
			Expect(outcome(r.Begin(now, call(key, now)))).To(Equal("run"))
			act(r, now, key)
			Expect(outcome(r.Begin(now, call(key, now)))).To(Equal(want))
			other := call(key, now)
			other.Fingerprint++
			if want != "run" {
				Expect(outcome(r.Begin(now, other))).To(Equal("idempotency-key-reused no"))
			}
			other.Account = "other park"
			Expect(outcome(r.Begin(now, other))).To(Equal("run"), "accounts don't share keys")
		},
		Entry("queued", func(*idempotency.Registry, time.Duration, idempotency.Key) {}, "in-progress unknown"),
		Entry("refused in the queue", func(r *idempotency.Registry, _ time.Duration, k idempotency.Key) { r.MarkNotRun("park", k) }, "run"),
		Entry("sent", send, "in-progress unknown"),
		Entry("answered", func(r *idempotency.Registry, now time.Duration, k idempotency.Key) {
			send(r, now, k)
			r.MarkFinished("park", k, &idempotency.Answer{Status: 200, Body: []byte("booked")})
			r.MarkLost("park", k)
			r.MarkNotRun("park", k)
		}, "replay"),
		Entry("answered at length", func(r *idempotency.Registry, now time.Duration, k idempotency.Key) {
			send(r, now, k)
			r.MarkFinished("park", k, &idempotency.Answer{Body: make([]byte, idempotency.DefaultMaxAnswer+1)})
		}, "outcome-unknown yes"),
		Entry("sent, no answer", func(r *idempotency.Registry, now time.Duration, k idempotency.Key) {
			send(r, now, k)
			r.MarkLost("park", k)
		}, "outcome-unknown unknown"),
		Entry("the target did not run it", func(r *idempotency.Registry, now time.Duration, k idempotency.Key) {
			send(r, now, k)
			r.MarkNotRun("park", k)
		}, "run"),
	)

	It("checks a call once, and only one that was begun", func() {
		r, now := settled(idempotency.Config{})
		key := freshKey(now)
		_, err := r.Check(now, "park", key)
		Expect(err).NotTo(BeNil())
		r.Begin(now, call(key, now))
		until, err := r.Check(now, "park", key)
		Expect(err).To(BeNil())
		Expect(until - now).To(BeNumerically(">=", idempotency.DefaultMargin))
		_, err = r.Check(now, "park", key)
		Expect(err).NotTo(BeNil())
		Expect(outcome(r.Begin(now, call(key, now)))).To(Equal("in-progress unknown"), "the failed check forgets nothing")
	})

	// Clients book faster than keys expire, or with answers that are large. A
	// record that forgot the oldest key would run that booking again.
	It("refuses new keys when it is full rather than forget", func() {
		r, now := settled(idempotency.Config{MaxKeys: 3})
		first := freshKey(now)
		for i := range 3 {
			key := freshKey(now + time.Duration(i)*time.Millisecond)
			Expect(outcome(r.Begin(now, call(key, now)))).To(Equal("run"))
			send(r, now, key)
			r.MarkFinished("park", key, &idempotency.Answer{Body: make([]byte, 100)})
		}
		Expect(r.Len()).To(Equal(3))
		Expect(r.AnswerBytes()).To(Equal(300))
		d := r.Begin(now, call(callerKey("opaque"), now))
		Expect(outcome(d)).To(Equal("overloaded no"))
		Expect(d.Err.RetryAfter).To(BeNumerically("~", idempotency.DefaultLife, 2*time.Second))
		Expect(outcome(r.Begin(now, call(first, now)))).To(Equal("replay"))

		bytes, now := settled(idempotency.Config{MaxAnswerBytes: idempotency.DefaultMaxAnswer})
		Expect(outcome(bytes.Begin(now, call(freshKey(now), now)))).To(Equal("run"))
		Expect(outcome(bytes.Begin(now, call(callerKey("x"), now)))).To(Equal("overloaded no"))
	})

	// A caller comes back hours later with a key whose record is gone.
	It("refuses expired keys, and remembers opaque ones while there is room", func() {
		r, now := settled(idempotency.Config{MaxKeys: 2})
		keys := map[string]idempotency.Key{"ordered": freshKey(now), "opaque": callerKey("order-17")}
		for _, key := range keys {
			r.Begin(now, call(key, now))
			send(r, now, key)
			r.MarkFinished("park", key, &idempotency.Answer{})
		}
		for end := now + 20*time.Minute; now < end; now += time.Second {
			r.ConfirmHosts(now, idempotency.HostList{Revision: 1, LiveHosts: []string{"a"}, ConfirmedAt: now})
		}
		for name, key := range keys {
			Expect(outcome(r.Begin(now, call(key, now)))).To(Equal("idempotency-key-expired unknown"), name)
		}
		Expect(r.Len()).To(Equal(1))
		for i := range 2 {
			Expect(outcome(r.Begin(now, call(freshKey(now+time.Duration(i)*time.Millisecond), now)))).To(Equal("run"))
		}
		Expect(r.Len()).To(Equal(2), "the expired key made room")
	})

	It("keeps a call that is on its way past its key's life", func() {
		r, now := settled(idempotency.Config{})
		key := callerKey("slow")
		r.Begin(now, call(key, now))
		send(r, now, key)
		now += time.Hour
		Expect(outcome(r.Begin(now, call(key, now)))).To(Equal("in-progress unknown"))
	})
})

func send(r *idempotency.Registry, now time.Duration, key idempotency.Key) {
	_, err := r.Check(now, "park", key)
	Expect(err).To(BeNil())
}

var _ = Describe("a minted key", func() {
	key := func(owner idempotency.Process, at time.Duration) idempotency.Key {
		return idempotency.MintedKey("1", owner, at)
	}

	// The call reaches the wrong entry, a process that was restarted, or comes
	// after the key's life. Only the very process that made it may ever run it,
	// whatever lists and clocks say.
	DescribeTable("runs only in the process that made it",
		func(owner idempotency.Process, forwarded bool, want string) {
			r := idempotency.New(idempotency.Config{Self: self}) // no host list at all
			c := call(key(owner, time.Minute), 2*time.Minute)
			c.Forwarded = forwarded
			Expect(outcome(r.Begin(2*time.Minute, c))).To(Equal(want))
		},
		Entry("here", self, false, "run"),
		Entry("here, forwarded", self, true, "run"),
		Entry("elsewhere", idempotency.Process{Address: "b", Incarnation: 1}, false, "forward b"),
		Entry("elsewhere, forwarded", idempotency.Process{Address: "b", Incarnation: 1}, true, "idempotency-owner-lost unknown"),
		Entry("an earlier process here", idempotency.Process{Address: "a", Incarnation: 6}, false, "idempotency-owner-lost unknown"),
	)
	It("ends", func() {
		r := idempotency.New(idempotency.Config{Self: self})
		k := key(self, 0)
		Expect(outcome(r.Begin(0, call(k, 0)))).To(Equal("run"))
		send(r, 0, k)
		r.MarkFinished("park", k, &idempotency.Answer{})
		Expect(outcome(r.Begin(time.Minute, call(k, 0)))).To(Equal("replay"))
		Expect(outcome(r.Begin(time.Hour, call(k, 0)))).To(Equal("idempotency-key-expired unknown"))
		Expect(r.NextSequence()).To(BeNumerically("<", r.NextSequence()))
		Expect(idempotency.OwnerUnreachable(fmt.Errorf("refused")).Executed).To(Equal(failure.ExecutedUnknown))
	})
})

var _ = Describe("ownership of callers' keys", func() {
	type change struct {
		at   time.Duration // after the settled hour
		list idempotency.HostList
	}
	confirm := func(revision uint64, hosts ...string) idempotency.HostList {
		return idempotency.HostList{Revision: revision, LiveHosts: hosts}
	}
	// Hosts come and go, the list is late, the service stops answering or is
	// restored to an older state. A booking may have run at another entry
	// meanwhile; who can't know must say so instead of running it.
	DescribeTable("vouches only for what it can know",
		func(changes []change, opaque bool, keyAge, after time.Duration, want string) {
			r, start := settled(idempotency.Config{})
			for _, c := range changes {
				c.list.ConfirmedAt = start + c.at
				r.ConfirmHosts(start+c.at, c.list)
			}
			now := start + after
			// Number 3 is a key that c would own, and that e would not.
			key := callerKey(ordered(epoch.Add(now-keyAge), 3))
			if opaque {
				key = callerKey("order-17")
			}
			Expect(outcome(r.Begin(now, call(key, now)))).To(Equal(want))
		},
		Entry("a fresh key", nil, false, time.Duration(0), time.Second, "run"),
		Entry("an opaque key", nil, true, time.Duration(0), time.Second, "run"),
		Entry("a key of tomorrow", nil, false, -3*time.Second, time.Second, "idempotency-key-invalid unknown"),
		Entry("a list without confirmation", nil, false, time.Duration(0), 4*time.Second, "idempotency-key-unvouched unknown"),
		Entry("another owner", []change{{time.Second, confirm(2, "b")}}, false, time.Duration(0), 2*time.Second, "forward b"),
		Entry("no owner", []change{{time.Second, confirm(2)}}, false, time.Duration(0), 2*time.Second, "idempotency-key-unvouched unknown"),
		Entry("an old key, the owner back", []change{{0, confirm(2, "b")}, {time.Second, confirm(3, "a")}}, false, time.Minute, 2*time.Second, "idempotency-key-unvouched unknown"),
		Entry("an opaque key, the owner back", []change{{0, confirm(2, "b")}, {time.Second, confirm(3, "a")}}, true, time.Duration(0), 2*time.Second, "idempotency-key-unvouched unknown"),
		Entry("a fresh key while the old owner may still run", []change{{0, confirm(2, "b")}, {time.Second, confirm(3, "a")}, {3 * time.Second, confirm(3, "a")}, {5 * time.Second, confirm(3, "a")}},
			false, time.Duration(0), 6*time.Second, "idempotency-key-unvouched unknown"),
		Entry("a fresh key later", []change{{0, confirm(2, "b")}, {time.Second, confirm(3, "a")}, {4 * time.Second, confirm(3, "a")}, {7 * time.Second, confirm(3, "a")}, {9 * time.Second, confirm(3, "a")}},
			false, time.Duration(0), 9*time.Second, "run"),
		Entry("a long break of the watch", []change{{10 * time.Second, confirm(1, "a")}}, false, time.Minute, 10*time.Second, "idempotency-key-unvouched unknown"),
		Entry("a short one", []change{{2 * time.Second, confirm(1, "a")}}, false, time.Minute, 3*time.Second, "run"),
		Entry("a list restored", []change{{time.Second, confirm(0, "a")}}, false, time.Minute, 2*time.Second, "idempotency-key-unvouched unknown"),
		Entry("a revision used twice", []change{{time.Second, confirm(1, "b", "a")}, {2 * time.Second, confirm(1, "a")}}, false, time.Minute, 2*time.Second, "idempotency-key-unvouched unknown"),
		Entry("a host that had the key for a while", []change{{time.Second, confirm(2, "a", "c")}, {2 * time.Second, confirm(3, "a")}}, false, time.Minute, 3*time.Second, "idempotency-key-unvouched unknown"),
		Entry("a host that comes and goes and never had it", []change{{time.Second, confirm(2, "a", "e")}, {2 * time.Second, confirm(3, "a")}}, false, time.Minute, 3*time.Second, "run"),
	)

	It("says when an opaque key can be vouched for", func() {
		r := idempotency.New(idempotency.Config{Self: self})
		r.ConfirmHosts(0, idempotency.HostList{Revision: 1, LiveHosts: []string{"a"}})
		d := r.Begin(time.Second, call(callerKey("x"), time.Second))
		want := idempotency.DefaultLife + idempotency.DefaultFreshness + idempotency.DefaultMargin - time.Second
		Expect(d.Err.RetryAfter).To(Equal(want))
		Expect(r.Owner("park", callerKey("x"))).To(Equal("a"))
	})

	// One side of a partition is served an old list as current. A peer of the
	// other side forwards a call and names its newer revision: from then on
	// this entry's list is worth nothing until it catches up.
	It("stops vouching when a peer has a newer list", func() {
		r, now := settled(idempotency.Config{})
		c := call(freshKey(now), now)
		c.Forwarded, c.HostsRevision = true, 9
		Expect(outcome(r.Begin(now, c))).To(Equal("idempotency-key-unvouched unknown"))
		now += time.Second
		r.ConfirmHosts(now, idempotency.HostList{Revision: 1, LiveHosts: []string{"a"}, ConfirmedAt: now})
		Expect(outcome(r.Begin(now, call(freshKey(now), now)))).To(Equal("idempotency-key-unvouched unknown"), "its ownership began anew")
		caught, now := settled(idempotency.Config{})
		caught.ObservePeerRevision(now, 2)
		caught.ConfirmHosts(now+1, idempotency.HostList{Revision: 2, LiveHosts: []string{"a"}, ConfirmedAt: now + 1})
		Expect(outcome(caught.Begin(now+1, call(callerKey("y"), now)))).To(Equal("run"), "a list that was merely late breaks nothing")
	})

	// The process sleeps between accepting and sending; meanwhile the key was
	// another's, or the list was not confirmed any more.
	DescribeTable("is checked again right before the first byte",
		func(sleep time.Duration, lists ...idempotency.HostList) {
			r, now := settled(idempotency.Config{})
			key := freshKey(now)
			Expect(outcome(r.Begin(now, call(key, now)))).To(Equal("run"))
			for _, list := range lists {
				now += sleep
				list.ConfirmedAt = now
				r.ConfirmHosts(now, list)
			}
			if len(lists) == 0 {
				now += sleep
			}
			_, err := r.Check(now, "park", key)
			Expect(failure.KindOf(err)).To(Equal(failure.KindKeyUnvouched))
			Expect(r.Len()).To(BeZero())
		},
		Entry("no confirmation", 4*time.Second),
		Entry("another owner", time.Second, confirm(2, "b")),
		Entry("another owner for a while", time.Second, confirm(2, "b"), confirm(3, "a")),
	)

	It("moves only the keys of the host that changed, and evenly", func() {
		hosts := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
		before, after := idempotency.New(idempotency.Config{Self: self}), idempotency.New(idempotency.Config{Self: self})
		before.ConfirmHosts(0, idempotency.HostList{Revision: 1, LiveHosts: hosts})
		after.ConfirmHosts(0, idempotency.HostList{Revision: 1, LiveHosts: hosts[:7]})
		owned := map[string]int{}
		for i := range 8000 {
			key := callerKey(fmt.Sprint(i))
			owner := before.Owner("park", key)
			owned[owner]++
			if owner != "h" {
				Expect(after.Owner("park", key)).To(Equal(owner))
			}
		}
		for _, host := range hosts {
			Expect(owned[host]).To(BeNumerically("~", 1000, 120))
		}
	})

	It("counts a confirmation from the time of its request, by clocks that differ", func() {
		cfg := idempotency.Config{ClockError: 500 * time.Millisecond}
		Expect(cfg.ConfirmedAt(time.Minute, epoch.Add(2*time.Second), epoch)).To(Equal(time.Minute - 2500*time.Millisecond))
		Expect(cfg.ConfirmedAt(time.Minute, epoch, epoch.Add(time.Hour))).To(Equal(time.Minute - 500*time.Millisecond))
	})
})

func BenchmarkBegin(b *testing.B) {
	for _, hosts := range []int{8, 3300} {
		b.Run(fmt.Sprint(hosts, " hosts"), func(b *testing.B) {
			r := idempotency.New(idempotency.Config{Self: self})
			list := idempotency.HostList{Revision: 1, LiveHosts: []string{"a"}}
			for i := range hosts - 1 {
				list.LiveHosts = append(list.LiveHosts, fmt.Sprint("10.0.0.1:", i))
			}
			r.ConfirmHosts(0, list)
			key, _ := idempotency.CallerKey("x")
			b.ReportAllocs()
			for b.Loop() {
				r.Begin(time.Second, idempotency.Call{Account: "park", Key: key})
			}
		})
	}
}
