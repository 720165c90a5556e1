package drain_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/drain"
)

var _ = Describe("the start of requests during a shutdown", func() {
	DescribeTable("depends on what they may take",
		func(left drain.StopTimes, work drain.Work, want bool) {
			Expect(left.MayStart(work)).To(Equal(want))
		},
		Entry("ends before the exit in any case", drain.StopTimes{UntilExit: 3 * time.Second, UntilRemoved: -1}, drain.Work{UntilDeadline: 2500 * time.Millisecond}, true),
		Entry("its answer could come after the exit", drain.StopTimes{UntilExit: 3 * time.Second, UntilRemoved: -1}, drain.Work{UntilDeadline: 2950 * time.Millisecond}, false),
		Entry("quick, after the removal", drain.StopTimes{UntilExit: 3 * time.Second, UntilRemoved: -1}, drain.Work{UntilDeadline: 10 * time.Second, Longest: time.Second}, true),
		Entry("no time to spare, after the removal", drain.StopTimes{UntilExit: 3 * time.Second, UntilRemoved: -1}, drain.Work{UntilDeadline: 10 * time.Second, Longest: 2 * time.Second}, false),
		Entry("a stream, after the removal", drain.StopTimes{UntilExit: 3 * time.Second, UntilRemoved: -1}, drain.Work{UntilDeadline: 10 * time.Second, Longest: time.Second, Stream: true}, false),
		Entry("usually quick, and callers are still sent here", drain.StopTimes{UntilExit: 6 * time.Second, UntilRemoved: time.Second}, drain.Work{UntilDeadline: 10 * time.Second, Longest: time.Second}, true),
		Entry("sometimes slow, and callers are still sent here", drain.StopTimes{UntilExit: 6 * time.Second, UntilRemoved: time.Second}, drain.Work{UntilDeadline: 10 * time.Second, Longest: 7 * time.Second}, false),
		Entry("nothing is known of its route", drain.StopTimes{UntilExit: 6 * time.Second, UntilRemoved: time.Second}, drain.Work{UntilDeadline: 10 * time.Second}, false),
	)

	// Guards against requests that are cut off at the exit, and against refusing those
	// that would have ended in time for fear of it.
	It("breaks off no stream that starts late, cuts off less than by estimates and refuses less in vain than by deadlines", func() {
		type play struct {
			rule    string
			noticed bool
		}
		results := map[play]admissionResult{}
		for _, rule := range admissionRules {
			for _, noticed := range []bool{true, false} {
				r := playStops(rule, noticed)
				results[play{rule.name, noticed}] = r
				AddReportEntry(rule.name, fmt.Sprintf("balancer removes the host: %t; cut off %d, of these late %d, of these streams %d; refused in vain %d; of %d", noticed, r.cut, r.cutLate, r.brokenLate, r.inVain, r.total))
			}
		}
		for _, noticed := range []bool{true, false} {
			built := results[play{"built", noticed}]
			Expect(built.brokenLate).To(BeZero())
			Expect(built.inVain).To(BeNumerically("<", results[play{"deadline", noticed}].inVain))
		}
		for _, other := range []string{"time", "average", "longest"} {
			Expect(results[play{"built", false}].cutLate).To(BeNumerically("<", results[play{other, false}].cutLate), other)
		}
	})
})

// Times of the stops that are played.
const (
	playedExit    = 7750 * time.Millisecond
	playedCutoff  = 6500 * time.Millisecond
	playedRemoval = 2500 * time.Millisecond
)

// admissionRule decides whether a request starts at a time after the stop.
type admissionRule struct {
	name   string
	starts func(at, timeout time.Duration, seen *seenTimes) bool
}

var admissionRules = []admissionRule{
	{"time", func(time.Duration, time.Duration, *seenTimes) bool { return true }},
	{"none after the removal", func(at, _ time.Duration, _ *seenTimes) bool { return at < playedRemoval }},
	{"deadline", func(at, timeout time.Duration, _ *seenTimes) bool { return at+timeout < playedExit }},
	{"average", func(at, timeout time.Duration, s *seenTimes) bool { return at+min(timeout, s.average) < playedExit }},
	{"longest", func(at, timeout time.Duration, s *seenTimes) bool { return at+min(timeout, s.longest) < playedExit }},
	{"built", func(at, timeout time.Duration, s *seenTimes) bool {
		left := drain.StopTimes{UntilExit: playedExit - at, UntilRemoved: playedRemoval - at}
		return left.MayStart(drain.Work{UntilDeadline: timeout, Longest: s.longest, Stream: s.stream})
	}},
}

// seenTimes are the times in which requests of a route were answered.
type seenTimes struct {
	average, longest time.Duration
	stream           bool
}

func (s *seenTimes) add(took time.Duration) {
	s.average += (took - s.average) / 8
	s.longest = max(took, s.longest-(s.longest-took)/256)
}

// playedRoute is a route whose requests take a random time.
type playedRoute struct {
	timeout time.Duration
	took    func(rnd *rand.Rand, at time.Duration) time.Duration
	stream  bool
}

// around returns a random time with a log-normal distribution.
func around(rnd *rand.Rand, median time.Duration, sigma float64) time.Duration {
	return time.Duration(float64(median) * math.Exp(sigma*rnd.NormFloat64()))
}

var playedRoutes = map[string]playedRoute{
	"quick":   {timeout: time.Second, took: lasting(30*time.Millisecond, 0.5)},
	"slow":    {timeout: 2500 * time.Millisecond, took: lasting(1600*time.Millisecond, 0.15)},
	"patient": {timeout: time.Minute, took: lasting(50*time.Millisecond, 0.7)},
	"one in twenty slow": {timeout: 10 * time.Second, took: func(rnd *rand.Rand, _ time.Duration) time.Duration {
		if rnd.IntN(20) == 0 {
			return around(rnd, 3*time.Second, 0.3)
		}
		return around(rnd, 50*time.Millisecond, 0.5)
	}},
	"target turns slow": {timeout: 10 * time.Second, took: func(rnd *rand.Rand, at time.Duration) time.Duration {
		if at > time.Second {
			return around(rnd, 1500*time.Millisecond, 0.5)
		}
		return around(rnd, 50*time.Millisecond, 0.5)
	}},
	"stream":                   {timeout: 39 * time.Second, took: lasting(4*time.Second, 0.1), stream: true},
	"stream of unknown length": {timeout: 39 * time.Second, took: lasting(2*time.Second, 0.8), stream: true},
}

// lasting returns times that do not depend on the stop.
func lasting(median time.Duration, sigma float64) func(*rand.Rand, time.Duration) time.Duration {
	return func(rnd *rand.Rand, _ time.Duration) time.Duration { return around(rnd, median, sigma) }
}

// admissionResult counts the requests of stops.
type admissionResult struct {
	total int
	// cut counts the requests cut off by the exit, cutLate those of them that arrived over
	// 3 s after the stop, brokenLate the streams among these, inVain the refused ones that
	// would have ended in time.
	cut, cutLate, brokenLate, inVain int
}

// playStops plays 100 stops of each route with ten requests a second, until the load
// balancer removes the host after 2 s or, if it does not notice, until the host exits.
func playStops(rule admissionRule, noticed bool) (r admissionResult) {
	for name, route := range playedRoutes {
		rnd := rand.New(rand.NewPCG(1, uint64(len(name))))
		for range 100 {
			r.add(playStop(rnd, rule, route, noticed))
		}
	}
	return r
}

func (r *admissionResult) add(o admissionResult) {
	r.total += o.total
	r.cut += o.cut
	r.cutLate += o.cutLate
	r.brokenLate += o.brokenLate
	r.inVain += o.inVain
}

func playStop(rnd *rand.Rand, rule admissionRule, route playedRoute, noticed bool) (r admissionResult) {
	seen := &seenTimes{stream: route.stream}
	for range 300 {
		seen.add(min(route.took(rnd, 0), route.timeout))
	}
	until := playedCutoff
	if noticed {
		until = 2 * time.Second
	}
	ending := map[time.Duration][]time.Duration{}
	const step = 100 * time.Millisecond
	for at := time.Duration(0); at < until; at += step {
		for _, took := range ending[at] {
			seen.add(took)
		}
		took := min(route.took(rnd, at), route.timeout)
		starts, ends := rule.starts(at, route.timeout, seen), at+took <= playedExit
		r.total++
		switch {
		case starts && !ends:
			r.cut++
			if at > 3*time.Second {
				r.cutLate++
				if route.stream {
					r.brokenLate++
				}
			}
		case !starts && ends:
			r.inVain++
		}
		if starts {
			end := (at + took).Truncate(step) + step
			ending[end] = append(ending[end], took)
		}
	}
	return r
}
