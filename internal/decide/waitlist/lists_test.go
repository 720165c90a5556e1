package waitlist_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/waitlist"
)

var _ = Describe("the lists of a host", func() {
	now, entry := time.Minute, waitlist.Entry{ID: 1, Priority: 2}
	key := func(i int) waitlist.Key { return waitlist.Key{Service: fmt.Sprint("s-", i)} }
	var lists *waitlist.Lists
	BeforeEach(func() { lists = waitlist.NewLists() })

	It("are one for each service and partition", func() {
		for _, k := range []waitlist.Key{key(1), key(2), {Service: "s-1", Partition: 1}} {
			answer, ok := lists.Report(now, k, entry, true)
			Expect(ok).To(BeTrue())
			Expect(answer.Search).To(BeTrue())
		}
		Expect(lists.Len()).To(Equal(3))
		lists.Done(now, key(1), entry, true)
		Expect(lists.EntryCount(key(1))).To(BeZero())
		Expect(lists.Waiting(now)).To(Equal(map[waitlist.Key]int{key(2): 2, {Service: "s-1", Partition: 1}: 2}))
	})

	// Guards against memory that a faulty host takes by ended waits, which need no answer.
	It("are not created by the end of a wait", func() {
		for i := range 1000 {
			lists.Done(now, key(i), entry, true)
		}
		Expect(lists.Len()).To(BeZero())
	})

	// Guards against memory that a faulty host takes by reports of many services.
	It("are bounded, and those that are there are kept", func() {
		for i := range 1000 {
			_, ok := lists.Report(now, key(i), entry, true)
			Expect(ok).To(Equal(i < 32))
		}
		Expect(lists.Len()).To(Equal(32))
		_, ok := lists.Report(now, key(31), entry, true)
		Expect(ok).To(BeTrue())
	})

	It("are only created where it is allowed", func() {
		_, ok := lists.Report(now, key(1), entry, false)
		Expect(ok).To(BeFalse())
		_, _ = lists.Report(now, key(1), entry, true)
		_, ok = lists.Report(now, key(1), entry, false)
		Expect(ok).To(BeTrue())
	})

	// Guards against a bound that lists without reports use up.
	It("are dropped a minute after the last report", func() {
		_, _ = lists.Report(now, key(1), entry, true)
		lists.Waiting(now + time.Minute)
		Expect(lists.Len()).To(Equal(1))
		lists.Waiting(now + time.Minute + time.Millisecond)
		Expect(lists.Len()).To(BeZero())
	})
})
