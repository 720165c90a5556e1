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

func TestIdempotency(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "idempotency")
}

var epoch = time.Unix(1_800_000_000, 0)

// uuidV7 returns a UUIDv7 with the given timestamp and number.
func uuidV7(at time.Time, n uint64) string {
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

// self owns every key while it is the only host on the list.
var self = idempotency.Process{Address: "a", Incarnation: 7}

// newSoleOwner returns a registry that has been the only owner for an hour, and
// the current time.
func newSoleOwner(cfg idempotency.Config) (*idempotency.Registry, time.Duration) {
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

func newTimeOrderedKey(now time.Duration) idempotency.Key {
	return callerKey(uuidV7(epoch.Add(now), uint64(now)))
}

// decisionText returns a decision as a short string.
func decisionText(d idempotency.Decision) string {
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
		Entry(nil, "0198F0A0-0000-7000-8000-00000000ABCD", idempotency.KeyTimeOrdered, "0198f0a0-0000-7000-8000-00000000abcd"),
		Entry(nil, "0198f0a0-0000-4000-8000-00000000ABCD", idempotency.KeyOpaque, "0198f0a0-0000-4000-8000-00000000abcd"),
		Entry(nil, "", idempotency.KeyKind(0), ""), Entry(nil, `""`, idempotency.KeyKind(0), ""), Entry(nil, "a b", idempotency.KeyKind(0), ""),
		Entry(nil, "é", idempotency.KeyKind(0), ""), Entry(nil, strings.Repeat("x", 256), idempotency.KeyKind(0), ""),
	)
	It("carries its time when it is a UUIDv7", func() {
		Expect(callerKey(uuidV7(epoch, 1)).Timestamp.Equal(epoch)).To(BeTrue())
	})
})

var _ = Describe("a call's record", func() {
	// A technician's phone sends the booking again while the first attempt is
	// in progress, after its answer was lost, or after the target stopped
	// responding. The second attempt must not send out another crew.
	DescribeTable("answers a repeated call according to the outcome of the first",
		func(firstAttempt func(*idempotency.Registry, time.Duration, idempotency.Key), want string) {
			r, now := newSoleOwner(idempotency.Config{})
			key := newTimeOrderedKey(now)
			Expect(decisionText(r.Begin(now, call(key, now)))).To(Equal("run"))
			firstAttempt(r, now, key)
			Expect(decisionText(r.Begin(now, call(key, now)))).To(Equal(want))
			other := call(key, now)
			other.Fingerprint++
			if want != "run" {
				Expect(decisionText(r.Begin(now, other))).To(Equal("idempotency-key-reused no"))
			}
			other.Account = "other park"
			Expect(decisionText(r.Begin(now, other))).To(Equal("run"), "accounts don't share keys")
		},
		Entry("queued", func(*idempotency.Registry, time.Duration, idempotency.Key) {}, "in-progress unknown"),
		Entry("rejected while queued", func(r *idempotency.Registry, _ time.Duration, k idempotency.Key) { r.MarkNotRun("park", k) }, "run"),
		Entry("sent", mustCheck, "in-progress unknown"),
		Entry("answered", func(r *idempotency.Registry, now time.Duration, k idempotency.Key) {
			mustCheck(r, now, k)
			r.MarkFinished("park", k, &idempotency.Answer{Status: 200, Body: []byte("booked")})
			r.MarkLost("park", k)
			r.MarkNotRun("park", k)
		}, "replay"),
		Entry("answered with more bytes than are kept", func(r *idempotency.Registry, now time.Duration, k idempotency.Key) {
			mustCheck(r, now, k)
			r.MarkFinished("park", k, &idempotency.Answer{Body: make([]byte, idempotency.DefaultMaxBytesPerAnswer+1)})
		}, "outcome-unknown yes"),
		Entry("sent without an answer", func(r *idempotency.Registry, now time.Duration, k idempotency.Key) {
			mustCheck(r, now, k)
			r.MarkLost("park", k)
		}, "outcome-unknown unknown"),
		Entry("the target did not run it", func(r *idempotency.Registry, now time.Duration, k idempotency.Key) {
			mustCheck(r, now, k)
			r.MarkNotRun("park", k)
		}, "run"),
	)

	It("allows one check for each call that was begun", func() {
		r, now := newSoleOwner(idempotency.Config{})
		key := newTimeOrderedKey(now)
		_, err := r.Check(now, "park", key)
		Expect(err).NotTo(BeNil())
		r.Begin(now, call(key, now))
		sendBy, err := r.Check(now, "park", key)
		Expect(err).To(BeNil())
		Expect(sendBy - now).To(BeNumerically(">=", idempotency.DefaultMaxWriteDelay))
		_, err = r.Check(now, "park", key)
		Expect(err).NotTo(BeNil())
		Expect(decisionText(r.Begin(now, call(key, now)))).To(Equal("in-progress unknown"), "a failed check keeps the record")
	})

	// Clients book faster than keys expire, or receive large answers. If the
	// oldest key were removed to make room, a retry of that booking would run
	// it again.
	It("refuses new keys when it is full", func() {
		r, now := newSoleOwner(idempotency.Config{MaxKeys: 3})
		first := newTimeOrderedKey(now)
		for i := range 3 {
			key := newTimeOrderedKey(now + time.Duration(i)*time.Millisecond)
			Expect(decisionText(r.Begin(now, call(key, now)))).To(Equal("run"))
			mustCheck(r, now, key)
			r.MarkFinished("park", key, &idempotency.Answer{Body: make([]byte, 100)})
		}
		Expect(r.Len()).To(Equal(3))
		Expect(r.AnswerBytes()).To(Equal(300))
		d := r.Begin(now, call(callerKey("opaque"), now))
		Expect(decisionText(d)).To(Equal("overloaded no"))
		Expect(d.Err.RetryAfter).To(BeNumerically("~", idempotency.DefaultKeyTTL, 2*time.Second))
		Expect(decisionText(r.Begin(now, call(first, now)))).To(Equal("replay"))

		byteLimited, now := newSoleOwner(idempotency.Config{MaxTotalAnswerBytes: idempotency.DefaultMaxBytesPerAnswer})
		Expect(decisionText(byteLimited.Begin(now, call(newTimeOrderedKey(now), now)))).To(Equal("run"))
		Expect(decisionText(byteLimited.Begin(now, call(callerKey("x"), now)))).To(Equal("overloaded no"))
	})

	// A caller retries hours later with a key whose record has been removed.
	It("refuses expired keys and keeps opaque ones while there is room", func() {
		r, now := newSoleOwner(idempotency.Config{MaxKeys: 2})
		keys := map[string]idempotency.Key{"ordered": newTimeOrderedKey(now), "opaque": callerKey("order-17")}
		for _, key := range keys {
			r.Begin(now, call(key, now))
			mustCheck(r, now, key)
			r.MarkFinished("park", key, &idempotency.Answer{})
		}
		for end := now + 20*time.Minute; now < end; now += time.Second {
			r.ConfirmHosts(now, idempotency.HostList{Revision: 1, LiveHosts: []string{"a"}, ConfirmedAt: now})
		}
		for name, key := range keys {
			Expect(decisionText(r.Begin(now, call(key, now)))).To(Equal("idempotency-key-expired unknown"), name)
		}
		Expect(r.Len()).To(Equal(1))
		for i := range 2 {
			Expect(decisionText(r.Begin(now, call(newTimeOrderedKey(now+time.Duration(i)*time.Millisecond), now)))).To(Equal("run"))
		}
		Expect(r.Len()).To(Equal(2), "the expired key was removed")
	})

	It("keeps a call in progress after its key has expired", func() {
		r, now := newSoleOwner(idempotency.Config{})
		key := callerKey("slow")
		r.Begin(now, call(key, now))
		mustCheck(r, now, key)
		now += time.Hour
		Expect(decisionText(r.Begin(now, call(key, now)))).To(Equal("in-progress unknown"))
	})
})

func mustCheck(r *idempotency.Registry, now time.Duration, key idempotency.Key) {
	_, err := r.Check(now, "park", key)
	Expect(err).To(BeNil())
}

var _ = Describe("a minted key", func() {
	key := func(owner idempotency.Process, at time.Duration) idempotency.Key {
		return idempotency.MintedKey("1", owner, at)
	}

	// The call reaches the wrong entry or a restarted process. Whatever the
	// lists and clocks say, only the process that minted the key may run it.
	DescribeTable("runs only in the process that minted it",
		func(owner idempotency.Process, forwarded bool, want string) {
			r := idempotency.New(idempotency.Config{Self: self}) // no host list at all
			c := call(key(owner, time.Minute), 2*time.Minute)
			c.Forwarded = forwarded
			Expect(decisionText(r.Begin(2*time.Minute, c))).To(Equal(want))
		},
		Entry("minted by this process", self, false, "run"),
		Entry("minted by this process, forwarded", self, true, "run"),
		Entry("minted by another entry", idempotency.Process{Address: "b", Incarnation: 1}, false, "forward b"),
		Entry("minted by another entry, forwarded", idempotency.Process{Address: "b", Incarnation: 1}, true, "idempotency-owner-lost unknown"),
		Entry("minted by an earlier process at this address", idempotency.Process{Address: "a", Incarnation: 6}, false, "idempotency-owner-lost unknown"),
	)
	It("expires", func() {
		r := idempotency.New(idempotency.Config{Self: self})
		k := key(self, 0)
		Expect(decisionText(r.Begin(0, call(k, 0)))).To(Equal("run"))
		mustCheck(r, 0, k)
		r.MarkFinished("park", k, &idempotency.Answer{})
		Expect(decisionText(r.Begin(time.Minute, call(k, 0)))).To(Equal("replay"))
		Expect(decisionText(r.Begin(time.Hour, call(k, 0)))).To(Equal("idempotency-key-expired unknown"))
		Expect(r.NextSequence()).To(BeNumerically("<", r.NextSequence()))
		Expect(idempotency.OwnerUnreachable(fmt.Errorf("refused")).Executed).To(Equal(failure.ExecutedUnknown))
	})
})

var _ = Describe("ownership of callers' keys", func() {
	type hostListChange struct {
		at   time.Duration // after the hour of sole ownership
		list idempotency.HostList
	}
	hostList := func(revision uint64, hosts ...string) idempotency.HostList {
		return idempotency.HostList{Revision: revision, LiveHosts: hosts}
	}
	// Hosts join and leave, the list is late, or the service stops answering or
	// is restored to an older state. The booking may have run at another entry
	// meanwhile, so an entry that can't rule that out must refuse instead of
	// running it.
	DescribeTable("runs a key only if no other entry can have run it",
		func(changes []hostListChange, opaque bool, keyAge, elapsed time.Duration, want string) {
			r, start := newSoleOwner(idempotency.Config{})
			for _, c := range changes {
				c.list.ConfirmedAt = start + c.at
				r.ConfirmHosts(start+c.at, c.list)
			}
			now := start + elapsed
			// Key number 3 would be owned by c if c were on the list, but not
			// by e.
			key := callerKey(uuidV7(epoch.Add(now-keyAge), 3))
			if opaque {
				key = callerKey("order-17")
			}
			Expect(decisionText(r.Begin(now, call(key, now)))).To(Equal(want))
		},
		Entry("a new key", nil, false, time.Duration(0), time.Second, "run"),
		Entry("an opaque key", nil, true, time.Duration(0), time.Second, "run"),
		Entry("a key with a timestamp in the future", nil, false, -3*time.Second, time.Second, "idempotency-key-invalid unknown"),
		Entry("a list that is no longer confirmed", nil, false, time.Duration(0), 4*time.Second, "idempotency-key-unvouched unknown"),
		Entry("another owner", []hostListChange{{time.Second, hostList(2, "b")}}, false, time.Duration(0), 2*time.Second, "forward b"),
		Entry("no owner", []hostListChange{{time.Second, hostList(2)}}, false, time.Duration(0), 2*time.Second, "idempotency-key-unvouched unknown"),
		Entry("an old key after ownership returned", []hostListChange{{0, hostList(2, "b")}, {time.Second, hostList(3, "a")}}, false, time.Minute, 2*time.Second, "idempotency-key-unvouched unknown"),
		Entry("an opaque key after ownership returned", []hostListChange{{0, hostList(2, "b")}, {time.Second, hostList(3, "a")}}, true, time.Duration(0), 2*time.Second, "idempotency-key-unvouched unknown"),
		Entry("a new key while the old owner may still run it", []hostListChange{{0, hostList(2, "b")}, {time.Second, hostList(3, "a")}, {3 * time.Second, hostList(3, "a")}, {5 * time.Second, hostList(3, "a")}},
			false, time.Duration(0), 6*time.Second, "idempotency-key-unvouched unknown"),
		Entry("a new key after the old owner has stopped", []hostListChange{{0, hostList(2, "b")}, {time.Second, hostList(3, "a")}, {4 * time.Second, hostList(3, "a")}, {7 * time.Second, hostList(3, "a")}, {9 * time.Second, hostList(3, "a")}},
			false, time.Duration(0), 9*time.Second, "run"),
		Entry("a long gap between confirmations", []hostListChange{{10 * time.Second, hostList(1, "a")}}, false, time.Minute, 10*time.Second, "idempotency-key-unvouched unknown"),
		Entry("a short gap between confirmations", []hostListChange{{2 * time.Second, hostList(1, "a")}}, false, time.Minute, 3*time.Second, "run"),
		Entry("a list restored to an older revision", []hostListChange{{time.Second, hostList(0, "a")}}, false, time.Minute, 2*time.Second, "idempotency-key-unvouched unknown"),
		Entry("a revision used twice", []hostListChange{{time.Second, hostList(1, "b", "a")}, {2 * time.Second, hostList(1, "a")}}, false, time.Minute, 2*time.Second, "idempotency-key-unvouched unknown"),
		Entry("another host that owned the key for some time", []hostListChange{{time.Second, hostList(2, "a", "c")}, {2 * time.Second, hostList(3, "a")}}, false, time.Minute, 3*time.Second, "idempotency-key-unvouched unknown"),
		Entry("another host that joined and left and never owned the key", []hostListChange{{time.Second, hostList(2, "a", "e")}, {2 * time.Second, hostList(3, "a")}}, false, time.Minute, 3*time.Second, "run"),
	)

	It("returns the time until an opaque key can be accepted", func() {
		r := idempotency.New(idempotency.Config{Self: self})
		r.ConfirmHosts(0, idempotency.HostList{Revision: 1, LiveHosts: []string{"a"}})
		d := r.Begin(time.Second, call(callerKey("x"), time.Second))
		want := idempotency.DefaultKeyTTL + idempotency.DefaultMaxConfirmationAge + idempotency.DefaultMaxWriteDelay - time.Second
		Expect(d.Err.RetryAfter).To(Equal(want))
		Expect(r.Owner("park", callerKey("x"))).To(Equal("a"))
	})

	// One side of a partition reads an old list as current. A peer on the other
	// side forwards a call with its newer revision. From then on this entry's
	// list does not count until it has caught up.
	It("refuses keys while a peer has a newer list", func() {
		r, now := newSoleOwner(idempotency.Config{})
		c := call(newTimeOrderedKey(now), now)
		c.Forwarded, c.HostsRevision = true, 9
		Expect(decisionText(r.Begin(now, c))).To(Equal("idempotency-key-unvouched unknown"))
		now += time.Second
		r.ConfirmHosts(now, idempotency.HostList{Revision: 1, LiveHosts: []string{"a"}, ConfirmedAt: now})
		Expect(decisionText(r.Begin(now, call(newTimeOrderedKey(now), now)))).To(Equal("idempotency-key-unvouched unknown"), "ownership started again")
		upToDate, now := newSoleOwner(idempotency.Config{})
		upToDate.ObservePeerRevision(now, 2)
		upToDate.ConfirmHosts(now+1, idempotency.HostList{Revision: 2, LiveHosts: []string{"a"}, ConfirmedAt: now + 1})
		Expect(decisionText(upToDate.Begin(now+1, call(callerKey("y"), now)))).To(Equal("run"), "a list that was only late does not interrupt ownership")
	})

	// The process pauses between accepting a call and sending it. Meanwhile
	// another entry owned the key, or the list was no longer confirmed.
	DescribeTable("is checked again right before the first byte",
		func(pause time.Duration, lists ...idempotency.HostList) {
			r, now := newSoleOwner(idempotency.Config{})
			key := newTimeOrderedKey(now)
			Expect(decisionText(r.Begin(now, call(key, now)))).To(Equal("run"))
			for _, list := range lists {
				now += pause
				list.ConfirmedAt = now
				r.ConfirmHosts(now, list)
			}
			if len(lists) == 0 {
				now += pause
			}
			_, err := r.Check(now, "park", key)
			Expect(failure.KindOf(err)).To(Equal(failure.KindKeyUnvouched))
			Expect(r.Len()).To(BeZero())
		},
		Entry("no confirmation", 4*time.Second),
		Entry("another owner", time.Second, hostList(2, "b")),
		Entry("another owner for some time", time.Second, hostList(2, "b"), hostList(3, "a")),
	)

	It("distributes keys evenly and moves only the keys of the host that changed", func() {
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

	It("adds the clock skew to the age of a confirmation", func() {
		cfg := idempotency.Config{MaxClockSkew: 500 * time.Millisecond}
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
