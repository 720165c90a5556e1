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

var four = []string{"a", "b", "c", "d"}

// fed gives a pool after 12 requests to each target; a negative time stands
// for a failure.
func fed(times ...time.Duration) *health.Pool {
	p := health.New(health.Config{})
	p.SetTargets(four)
	for range 12 {
		for i, took := range times {
			p.RecordResult(0, four[i], took >= 0, health.Sample{FirstToken: max(0, took)}, 0)
		}
	}
	return p
}

var _ = Describe("a pool", func() {
	// One target runs at a fifth of its speed. Every fourth caller waits five
	// times as long, while the mean of the pool looks well.
	DescribeTable("judges a target by the others", func(a, b, c, d time.Duration, want ...health.Status) {
		p := fed(a, b, c, d)
		for i, t := range four {
			Expect(p.Status(0, t)).To(Equal(want[i]), t)
		}
	},
		Entry("equal", 100*ms, 110*ms, 90*ms, 100*ms, health.Healthy, health.Healthy, health.Healthy, health.Healthy),
		Entry("all slow alike", 5000*ms, 6000*ms, 4000*ms, 5000*ms, health.Healthy, health.Healthy, health.Healthy, health.Healthy),
		Entry("one slow", 100*ms, 500*ms, 90*ms, 100*ms, health.Healthy, health.Ejected, health.Healthy, health.Healthy),
		Entry("too little to matter", 1*ms, 10*ms, 1*ms, 1*ms, health.Healthy, health.Healthy, health.Healthy, health.Healthy),
		Entry("one slow, one fails", 500*ms, -ms, 90*ms, 100*ms, health.Degraded, health.Ejected, health.Healthy, health.Healthy),
		Entry("all fail", -ms, -ms, -ms, -ms, health.Ejected, health.Degraded, health.Degraded, health.Degraded),
	)

	It("tries again after a back-off, one request at a time, and closes after three", func() {
		p := fed(-ms, 90*ms, 90*ms, 90*ms)
		Expect(p.Status(999*ms, "a")).To(Equal(health.Ejected))
		now := time.Second
		Expect(p.Status(now, "a")).To(Equal(health.Trial))
		p.BeginTrial(now, "a")
		Expect(p.Status(now, "a")).To(Equal(health.Ejected), "one at a time")
		p.RecordResult(now, "a", false, health.Sample{}, 0)
		Expect(p.Status(now+1999*ms, "a")).To(Equal(health.Ejected), "the back-off doubles")
		now += 2 * time.Second
		p.BeginTrial(now, "a")
		Expect(p.Status(now+10*time.Second, "a")).To(Equal(health.Trial), "a lost trial blocks for ten seconds")
		for range 3 {
			Expect(p.Status(now, "a")).NotTo(Equal(health.Healthy))
			p.BeginTrial(now, "a")
			p.RecordResult(now, "a", true, health.Sample{FirstToken: 100 * ms}, 0)
		}
		Expect(p.Status(now, "a")).To(Equal(health.Healthy))
	})

	It("does not hold a slow past against a target that recovered", func() {
		p := fed(100*ms, 500*ms, 90*ms, 100*ms)
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

	It("finds a slow target by its reports, and forgets it when it restarts", func() {
		p := fed()
		for i := range 48 {
			step := 20 * ms
			if i%4 == 2 {
				step = 200 * ms
			}
			p.RecordStepTime(0, four[i%4], step, 0)
		}
		Expect(p.Status(0, "c")).To(Equal(health.Ejected))
		p.SetTargets(four[1:])
		Expect(p.Status(0, "c")).To(Equal(health.Ejected))
		Expect(p.Status(0, "a")).To(Equal(health.Ejected), "no target of the pool")
		p.Reset("c")
		Expect(p.Status(0, "c")).To(Equal(health.Healthy))
	})

	It("keeps the tail short where the naive way doesn't", func() {
		ours, naive := serve(1, true), serve(1, false)
		Expect(ours).To(BeNumerically("<", naive/2))
		AddReportEntry("p99 to the first token", fmt.Sprint("judged ", ours, ", not judged ", naive))
	})
})

// serve sends 4,000 requests to four targets of which one is five times slower
// in the middle half, and gives the p99 of the time to the first token.
func serve(seed uint64, judged bool) time.Duration {
	rnd := rand.New(rand.NewPCG(seed, 1))
	p := fed()
	times := make([]time.Duration, 4000)
	for i := range times {
		now, to := time.Duration(i)*10*ms, four[rnd.IntN(4)]
		for judged && p.Status(now, to) == health.Ejected {
			to = four[rnd.IntN(4)]
		}
		if p.Status(now, to) == health.Trial {
			p.BeginTrial(now, to)
		}
		times[i] = time.Duration(float64(100*ms) * (0.5 + rnd.ExpFloat64()/2))
		if to == "b" && i > 1000 && i < 3000 {
			times[i] *= 5
		}
		p.RecordResult(now, to, true, health.Sample{FirstToken: times[i]}, rnd.Float64())
	}
	slices.Sort(times)
	return times[len(times)*99/100]
}

// FuzzEjected feeds random outcomes: never may more than a third be ejected.
func FuzzEjected(f *testing.F) {
	f.Add([]byte("abcdabcdbbbbbbbbbbbbccccccccccccccaaaaaaaaaaa"))
	f.Fuzz(func(t *testing.T, ops []byte) {
		p := fed()
		for i, op := range ops {
			now, to, ejected := time.Duration(i)*100*ms, four[op%4], 0
			if p.Status(now, to) == health.Trial {
				p.BeginTrial(now, to)
			}
			p.RecordResult(now, to, op&4 > 0, health.Sample{FirstToken: time.Duration(op) * 10 * ms}, float64(op)/256)
			for _, a := range four {
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

func BenchmarkStanding(b *testing.B) {
	p := fed()
	b.ReportAllocs()
	for range b.N {
		p.Status(0, "c")
	}
}
