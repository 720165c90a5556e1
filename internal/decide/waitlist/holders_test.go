package waitlist_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/membership"
	"filbertdeck/internal/decide/waitlist"
)

func liveHosts(count int) []string {
	hosts := make([]string, count)
	for i := range hosts {
		hosts[i] = fmt.Sprintf("10.0.%d.%d:81", i/250, i%250+1)
	}
	return hosts
}

var _ = Describe("the hosts that hold lists", func() {
	key := waitlist.Key{Service: "llm"}

	// Guards against one list for a fleet whose reports one host can't take.
	DescribeTable("hold lists of at most 128 hosts",
		func(size int) {
			hosts := liveHosts(size)
			fleet, counts, largest := waitlist.NewFleet(1, hosts), map[int]int{}, 0
			for _, host := range hosts {
				counts[fleet.Partition(host)]++
			}
			for _, n := range counts {
				largest = max(largest, n)
			}
			Expect(largest).To(BeNumerically("<=", 128))
			if size <= 128 {
				Expect(counts).To(HaveLen(1))
			}
		},
		Entry(nil, 90), Entry(nil, 128), Entry(nil, 129), Entry(nil, 300), Entry(nil, 1000), Entry(nil, 3300),
	)

	// Guards against hosts of builds with and without the cache that disagree on the holder.
	It("are the first by rendezvous hashing, for each list", func() {
		hosts := liveHosts(300)
		fleet := waitlist.NewFleet(1, hosts).WithHolders(key).WithHolders(waitlist.Key{Service: "llm", Partition: 3})
		for name, k := range map[string]waitlist.Key{"waiting/llm": key, "waiting/llm/3": {Service: "llm", Partition: 3}} {
			holders, ranked := fleet.Holders(k)
			Expect(ranked).To(BeTrue())
			Expect(holders).To(Equal(membership.Rank(name, hosts)[:waitlist.HoldersPerList]))
		}
	})

	// Guards against a reader that sees a list appear in the fleet that it reads.
	It("are not changed by a further list", func() {
		fleet := waitlist.NewFleet(1, liveHosts(3))
		fleet.WithHolders(key)
		_, ranked := fleet.Holders(key)
		Expect(ranked).To(BeFalse())
	})

	It("are none in a fleet without live hosts", func() {
		holders, ranked := waitlist.NewFleet(1, nil).WithHolders(key).Holders(key)
		Expect(holders).To(BeEmpty())
		Expect(ranked).To(BeTrue())
	})

	// Guards against rankings without a bound, of services that were removed.
	It("are kept for a bounded number of lists", func() {
		fleet := waitlist.NewFleet(1, liveHosts(3))
		kept := 0
		for i := range 1000 {
			fleet = fleet.WithHolders(waitlist.Key{Service: fmt.Sprint("s-", i)})
		}
		for i := range 1000 {
			if _, ranked := fleet.Holders(waitlist.Key{Service: fmt.Sprint("s-", i)}); ranked {
				kept++
			}
		}
		Expect(kept).To(And(BeNumerically(">", 0), BeNumerically("<=", 256)))
	})
})
