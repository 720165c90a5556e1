package health_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/health"
)

func TestHealth(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "health")
}

const ms = time.Millisecond

var targetNames = []string{"a", "b", "c", "d"}

// newPoolWithResults returns a pool after 12 requests to each target. A
// negative time means a failure.
func newPoolWithResults(times ...time.Duration) *health.Pool {
	p := health.New(health.Config{})
	p.SetTargets(targetNames)
	for range 12 {
		for i, latency := range times {
			p.RecordResult(0, targetNames[i], latency >= 0, health.Sample{FirstToken: max(0, latency)}, 0)
		}
	}
	return p
}

var _ = Describe("a pool", func() {
	// One target runs at a fifth of its speed. Every fourth caller waits five
	// times as long, while the mean of the pool looks normal.
	DescribeTable("compares a target with the others", func(a, b, c, d time.Duration, want ...health.Status) {
		p := newPoolWithResults(a, b, c, d)
		for i, t := range targetNames {
			Expect(p.Status(0, t)).To(Equal(want[i]), t)
		}
	},
		Entry("equal speeds", 100*ms, 110*ms, 90*ms, 100*ms, health.Healthy, health.Healthy, health.Healthy, health.Healthy),
		Entry("all equally slow", 5000*ms, 6000*ms, 4000*ms, 5000*ms, health.Healthy, health.Healthy, health.Healthy, health.Healthy),
		Entry("one slow", 100*ms, 500*ms, 90*ms, 100*ms, health.Healthy, health.Ejected, health.Healthy, health.Healthy),
		Entry("a difference below the minimum", 1*ms, 10*ms, 1*ms, 1*ms, health.Healthy, health.Healthy, health.Healthy, health.Healthy),
		Entry("one slow, one failing", 500*ms, -ms, 90*ms, 100*ms, health.Degraded, health.Ejected, health.Healthy, health.Healthy),
		Entry("all failing", -ms, -ms, -ms, -ms, health.Ejected, health.Degraded, health.Degraded, health.Degraded),
	)

	It("allows one trial at a time after a back-off, and closes after three", func() {
		p := newPoolWithResults(-ms, 90*ms, 90*ms, 90*ms)
		Expect(p.Status(999*ms, "a")).To(Equal(health.Ejected))
		now := time.Second
		Expect(p.Status(now, "a")).To(Equal(health.Trial))
		p.BeginTrial(now, "a")
		Expect(p.Status(now, "a")).To(Equal(health.Ejected), "one at a time")
		p.RecordResult(now, "a", false, health.Sample{}, 0)
		Expect(p.Status(now+1999*ms, "a")).To(Equal(health.Ejected), "the back-off doubles")
		now += 2 * time.Second
		p.BeginTrial(now, "a")
		Expect(p.Status(now+10*time.Second, "a")).To(Equal(health.Trial), "an unfinished trial blocks the next for ten seconds")
		for range 3 {
			Expect(p.Status(now, "a")).NotTo(Equal(health.Healthy))
			p.BeginTrial(now, "a")
			p.RecordResult(now, "a", true, health.Sample{FirstToken: 100 * ms}, 0)
		}
		Expect(p.Status(now, "a")).To(Equal(health.Healthy))
	})

	It("ignores old slow samples of a target that recovered", func() {
		p := newPoolWithResults(100*ms, 500*ms, 90*ms, 100*ms)
		for i := range 20 {
			p.BeginTrial(time.Second, "b")
			p.RecordResult(time.Second, "b", true, health.Sample{FirstToken: 100 * ms}, 0)
			Expect(p.Status(time.Second, "b") == health.Healthy).To(Equal(i >= 2))
		}
		for i := range 16 {
			p.RecordResult(time.Second, "b", i%2 == 0, health.Sample{}, 0)
		}
		Expect(p.Status(time.Second, "b")).To(Equal(health.Ejected), "every second request failed")
	})

	It("finds a slow target by its reports, and resets it when it restarts", func() {
		p := newPoolWithResults()
		for i := range 48 {
			step := 20 * ms
			if i%4 == 2 {
				step = 200 * ms
			}
			p.RecordStepTime(0, targetNames[i%4], step, 0)
		}
		Expect(p.Status(0, "c")).To(Equal(health.Ejected))
		p.SetTargets(targetNames[1:])
		Expect(p.Status(0, "c")).To(Equal(health.Ejected))
		Expect(p.Status(0, "a")).To(Equal(health.Ejected), "not a target of the pool")
		p.Reset("c")
		Expect(p.Status(0, "c")).To(Equal(health.Healthy))
	})

	It("keeps the tail latency lower than without ejection", func() {
		withEjection, withoutEjection := simulateP99(1, true), simulateP99(1, false)
		Expect(withEjection).To(BeNumerically("<", withoutEjection/2))
		AddReportEntry("p99 to the first token", fmt.Sprint("with ejection ", withEjection, ", without ejection ", withoutEjection))
	})
})

// simulateP99 sends 4,000 requests to four targets, of which one is five times
// slower during the middle half, and returns the p99 of the time to the first
// token.
func simulateP99(seed uint64, ejection bool) time.Duration {
	rnd := rand.New(rand.NewPCG(seed, 1))
	p := newPoolWithResults()
	times := make([]time.Duration, 4000)
	for i := range times {
		now, address := time.Duration(i)*10*ms, targetNames[rnd.IntN(4)]
		for ejection && p.Status(now, address) == health.Ejected {
			address = targetNames[rnd.IntN(4)]
		}
		if p.Status(now, address) == health.Trial {
			p.BeginTrial(now, address)
		}
		times[i] = time.Duration(float64(100*ms) * (0.5 + rnd.ExpFloat64()/2))
		if address == "b" && i > 1000 && i < 3000 {
			times[i] *= 5
		}
		p.RecordResult(now, address, true, health.Sample{FirstToken: times[i]}, rnd.Float64())
	}
	slices.Sort(times)
	return times[len(times)*99/100]
}

// FuzzEjected checks with random outcomes that never more than one of the four
// targets is ejected.
func FuzzEjected(f *testing.F) {
	f.Add([]byte("abcdabcdbbbbbbbbbbbbccccccccccccccaaaaaaaaaaa"))
	f.Fuzz(func(t *testing.T, ops []byte) {
		p := newPoolWithResults()
		for i, op := range ops {
			now, address, ejected := time.Duration(i)*100*ms, targetNames[op%4], 0
			if p.Status(now, address) == health.Trial {
				p.BeginTrial(now, address)
			}
			p.RecordResult(now, address, op&4 > 0, health.Sample{FirstToken: time.Duration(op) * 10 * ms}, float64(op)/256)
			for _, a := range targetNames {
				if p.Status(now, a) == health.Ejected {
					ejected++
				}
			}
			if ejected > 1 {
				t.Fatalf("%d of 4 ejected after %d steps", ejected, i+1)
			}
		}
	})
}

func BenchmarkStatus(b *testing.B) {
	p := newPoolWithResults()
	b.ReportAllocs()
	for range b.N {
		p.Status(0, "c")
	}
}
