package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/placement"
)

// Figures of the play, in milliseconds and tokens.
const (
	crowdStep, crowdReadPerMS     = 8, 14
	crowdMemory                   = 27_000
	longPrompt, longOutput        = 3000, 700
	shortPrompt, shortOutput      = 2200, 16
	longWithin, shortWithin       = 1800, 1500
	longPatience, shortPatience   = 39_000, 6000
	crowdEngines, crowdLeft       = 12, 5
	crowdFrom, crowdTo, crowdEnd  = 10_000, 20_000, 60_000
	crowdLongRate, crowdShortRate = 6.0, 9.0
	crowdReturn                   = 7000
)

// asked is a request of the play.
type asked struct {
	long                bool
	arrived, first, end int
	came                int
	returned            bool
}

func (a *asked) size() int {
	if a.long {
		return longPrompt + longOutput
	}
	return shortPrompt + shortOutput
}

func (a *asked) work() placement.Work {
	if a.long {
		return placement.Work{Prompt: longPrompt, Output: longOutput}
	}
	return placement.Work{Prompt: shortPrompt, Output: shortOutput}
}

func (a *asked) patience() int {
	if a.long {
		return longPatience
	}
	return shortPatience
}

// inTime tells whether the caller got the first token as promised and the rest.
func (a *asked) inTime() bool {
	within := shortWithin
	if a.long {
		within = longWithin
	}
	return a.end > 0 && a.first-a.arrived <= within
}

// crowdEngine admits requests while it has memory, short ones first, reads one
// prompt at a time and makes a token of each generation a step, at half the
// pace while it reads.
type crowdEngine struct {
	waiting, reading, making []*asked
	used                     int
	readLeft                 int
	left                     map[*asked]float64
}

func newCrowdEngine() *crowdEngine { return &crowdEngine{left: map[*asked]float64{}} }

func (e *crowdEngine) candidate() placement.Candidate {
	c := placement.Candidate{Slots: 24, Memory: crowdMemory}
	for _, a := range slices.Concat(e.waiting, e.reading, e.making) {
		c.Running++
		c.Tokens += a.size()
	}
	for _, a := range slices.Concat(e.waiting, e.reading) {
		c.Unread += a.work().Prompt
	}
	return c
}

// step runs a millisecond.
func (e *crowdEngine) step(now int) {
	e.waiting = slices.DeleteFunc(e.waiting, func(a *asked) bool { return now-a.arrived > a.patience() })
	slices.SortStableFunc(e.waiting, func(a, b *asked) int {
		if a.long == b.long {
			return 0
		}
		if a.long {
			return 1
		}
		return -1
	})
	for len(e.waiting) > 0 && e.used+e.waiting[0].size() <= crowdMemory {
		a := e.waiting[0]
		e.waiting, e.reading = e.waiting[1:], append(e.reading, a)
		e.used += a.size()
	}
	pace := 1.0 / crowdStep
	if len(e.reading) > 0 {
		pace /= 2
		e.read(now)
	}
	e.making = slices.DeleteFunc(e.making, func(a *asked) bool {
		e.left[a] -= pace
		if e.left[a] > 0 {
			return false
		}
		a.end = now
		e.used -= a.size()
		return true
	})
}

// read reads a millisecond of the first prompt.
func (e *crowdEngine) read(now int) {
	a := e.reading[0]
	if e.readLeft <= 0 {
		e.readLeft = a.work().Prompt
	}
	e.readLeft -= crowdReadPerMS
	if e.readLeft > 0 {
		return
	}
	a.first = now
	e.left[a] = float64(a.work().Output)
	e.reading, e.making = e.reading[1:], append(e.making, a)
}

// crowd plays a minute in which most engines take nothing new for ten seconds,
// and gives how many long and short answers came in time, and how many at all.
func crowd(seed uint64, refuse func(placement.Candidate, placement.Work) bool) (long, short, served int) {
	draw := rand.New(rand.NewPCG(seed, 11))
	engines := make([]*crowdEngine, crowdEngines)
	for i := range engines {
		engines[i] = newCrowdEngine()
	}
	var all, later []*asked
	for now := range crowdEnd {
		var arrivals []*asked
		if draw.Float64() < crowdLongRate/1000 {
			arrivals = append(arrivals, &asked{long: true, arrived: now})
		}
		if draw.Float64() < crowdShortRate/1000 {
			arrivals = append(arrivals, &asked{arrived: now})
		}
		all = append(all, arrivals...)
		later = slices.DeleteFunc(later, func(a *asked) bool {
			if a.came == now {
				arrivals = append(arrivals, a)
			}
			return a.came == now
		})
		takes := engines
		if now >= crowdFrom && now < crowdTo {
			takes = engines[:crowdLeft]
		}
		for _, a := range arrivals {
			list := make([]placement.Candidate, len(takes))
			for i, e := range takes {
				list[i] = e.candidate()
			}
			at := placement.ChooseEngine(list, a.work(), draw.Float64())
			if !a.returned && refuse(list[at], a.work()) {
				a.returned, a.came = true, now+crowdReturn
				later = append(later, a)
				continue
			}
			takes[at].waiting = append(takes[at].waiting, a)
		}
		for _, e := range engines {
			e.step(now)
		}
	}
	for _, a := range all {
		if a.end > 0 {
			served++
		}
		switch {
		case a.inTime() && a.long:
			long++
		case a.inTime():
			short++
		}
	}
	return long, short, served
}

var _ = Describe("engines whose memory is full", func() {
	// Guards against long generations that wait at full engines until all answers,
	// short ones too, are late.
	It("begin more answers in time when long generations are told to come back", func() {
		never := func(placement.Candidate, placement.Work) bool { return false }
		var kept, refused [3]int
		for seed := range uint64(5) {
			for i, n := range counts(crowd(seed, never)) {
				kept[i] += n
			}
			for i, n := range counts(crowd(seed, placement.Overloaded)) {
				refused[i] += n
			}
		}
		AddReportEntry("in time, long and short, and served at all", fmt.Sprintf("all kept %v, some refused %v", kept, refused))
		Expect(refused[0]).To(BeNumerically(">", kept[0]), "long answers in time")
		Expect(refused[1]).To(BeNumerically(">=", kept[1]), "short answers in time")
		Expect(refused[2]).To(BeNumerically(">=", kept[2]), "answers at all")
	})

	It("refuse no short answer, and nothing while one has room", func() {
		full := placement.Candidate{Slots: 24, Memory: 27_000, Tokens: 26_000}
		Expect(placement.Overloaded(full, placement.Work{Prompt: longPrompt, Output: longOutput})).To(BeTrue())
		Expect(placement.Overloaded(full, placement.Work{Prompt: shortPrompt, Output: shortOutput})).To(BeFalse())
		full.Tokens = 20_000
		Expect(placement.Overloaded(full, placement.Work{Prompt: longPrompt, Output: longOutput})).To(BeFalse())
		Expect(placement.Overloaded(placement.Candidate{Slots: 6, Running: 6}, placement.Work{})).To(BeFalse())
		small := placement.Candidate{Slots: 24, Memory: 3000}
		Expect(placement.Overloaded(small, placement.Work{Prompt: longPrompt, Output: longOutput})).To(BeFalse())
	})
})

func counts(long, short, served int) [3]int { return [3]int{long, short, served} }
