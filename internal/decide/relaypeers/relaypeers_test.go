package relaypeers_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/relaypeers"
)

func TestRelayPeers(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "relay peers")
}

var _ = Describe("the host through which a request is sent", func() {
	near, all := []string{"n-1", "n-2"}, []string{"n-1", "n-2", "f-1", "f-2"}
	var s *relaypeers.Selector
	BeforeEach(func() { s = relaypeers.New(rand.New(rand.NewPCG(1, 2))) })

	It("is one of this host's data centre at first", func() {
		for range 20 {
			host, ok := s.Choose(0, "app", near, all, nil)
			Expect(ok).To(BeTrue())
			Expect(near).To(ContainElement(host))
		}
	})

	// Guards against a partitioned data centre whose hosts ask each other only.
	It("is one of any data centre after another could not send", func() {
		seen := map[string]bool{}
		for range 50 {
			host, _ := s.Choose(0, "app", near, all, []string{"n-1"})
			seen[host] = true
		}
		Expect(seen).To(HaveKey("f-1"))
		Expect(seen).NotTo(HaveKey("n-1"))
	})

	It("is not one that failed a moment ago, for the same service", func() {
		s.RecordFailed(0, "n-1", "app")
		for range 20 {
			host, _ := s.Choose(time.Second, "app", near, near, nil)
			Expect(host).To(Equal("n-2"))
		}
		s.RecordFailed(0, "n-2", "app")
		_, ok := s.Choose(time.Second, "app", near, near, nil)
		Expect(ok).To(BeFalse())
		_, ok = s.Choose(time.Second, "llm", near, near, nil)
		Expect(ok).To(BeTrue())
		_, ok = s.Choose(2*time.Second, "app", near, near, nil)
		Expect(ok).To(BeTrue(), "it is asked again later")
	})

	It("is one of a few that served requests before, if they still live", func() {
		for _, host := range []string{"f-1", "f-2", "n-2"} {
			s.RecordServed(0, host, "app")
		}
		seen := map[string]bool{}
		for range 50 {
			host, _ := s.Choose(time.Second, "app", near, all, nil)
			seen[host] = true
		}
		Expect(seen).To(Equal(map[string]bool{"f-1": true, "f-2": true, "n-2": true}))
		host, _ := s.Choose(time.Second, "app", near, []string{"n-1"}, []string{"n-2"})
		Expect(host).To(Equal("n-1"), "hosts that are gone are not asked")
	})

	// Guards against partitioned hosts that all send through the same one, and against
	// a number of asked hosts that grows with the fleet.
	It("differs between the hosts of a large data centre that is partitioned", func() {
		const hosts, partitioned = 3300, 330
		var nearHosts, allHosts []string
		for i := range hosts {
			allHosts = append(allHosts, fmt.Sprint("h-", i))
		}
		nearHosts = allHosts[:partitioned]
		reaches := map[string]bool{}
		for _, host := range allHosts[partitioned:] {
			reaches[host] = true
		}
		load, asked := map[string]int{}, 0
		for i := range partitioned {
			s := relaypeers.New(rand.New(rand.NewPCG(3, uint64(i))))
			for n := range 20 {
				now := time.Duration(n) * 100 * time.Millisecond
				var tried []string
				for {
					host, ok := s.Choose(now, "app", nearHosts, allHosts, tried)
					Expect(ok).To(BeTrue())
					asked++
					if reaches[host] {
						s.RecordServed(now, host, "app")
						load[host]++
						break
					}
					s.RecordFailed(now, host, "app")
					tried = append(tried, host)
				}
			}
		}
		most := 0
		for _, n := range load {
			most = max(most, n)
		}
		AddReportEntry("hosts asked for each request, most requests at one host", fmt.Sprintf("%.2f, %d", float64(asked)/(partitioned*20), most))
		Expect(float64(asked) / (partitioned * 20)).To(BeNumerically("<", 1.5))
		Expect(most).To(BeNumerically("<=", 6*20), "of all 6,600 requests")
	})
})
