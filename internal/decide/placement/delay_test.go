package placement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/decide/placement"
)

const (
	fastTokenTime = 7500 * time.Microsecond
	slowTokenTime = 9750 * time.Microsecond
)

var _ = Describe("the engine of a generation", func() {
	engine := func(running, tokens, unread int, step time.Duration) placement.Candidate {
		return placement.Candidate{Running: running, Slots: 24, ReservedTokens: tokens, UnreadTokens: unread, MemoryTokens: 34_000, TimePerToken: step}
	}
	long := placement.Workload{PromptTokens: 3000, OutputTokens: 900}
	short := placement.Workload{PromptTokens: 2200, OutputTokens: 16}

	// One engine in three is slower. A long generation of half a minute takes a
	// third longer there, even if that engine has a little less load.
	It("is a fast one for a long generation although a slow one has less load", func() {
		list := []placement.Candidate{engine(3, 11_000, 0, fastTokenTime), engine(1, 4000, 0, slowTokenTime)}
		Expect(placement.ChooseEngine(list, long, 0)).To(Equal(0))
	})

	// The prompt of a short answer halves the token rate of all generations on
	// the engine. An idle slow engine reads it in time and delays no other
	// generation.
	It("is one where a short answer's prompt delays few other generations", func() {
		list := []placement.Candidate{engine(4, 14_000, 0, fastTokenTime), engine(0, 0, 0, slowTokenTime)}
		Expect(placement.ChooseEngine(list, short, 0)).To(Equal(1))
	})

	It("is one that reads the prompt sooner if the other has many unread prompts", func() {
		list := []placement.Candidate{engine(1, 4000, 0, fastTokenTime), engine(0, 0, 20_000, slowTokenTime)}
		Expect(placement.ChooseEngine(list, short, 0)).To(Equal(0))
	})

	// Generations grow until the engine's memory runs out, and the newest one is
	// preempted, computed again and late. A fast engine does not make up for
	// that.
	It("is not one whose memory is nearly full", func() {
		full, free := engine(7, 28_000, 0, fastTokenTime), engine(3, 12_000, 0, slowTokenTime)
		Expect(placement.PreemptionLikely(full, 3900)).To(BeTrue())
		Expect(placement.PreemptionLikely(free, 3900)).To(BeFalse())
		Expect(placement.ChooseEngine([]placement.Candidate{full, free}, long, 0)).To(Equal(1))
	})

	It("has room for the backups that it stores", func() {
		backupEngine := engine(3, 12_000, 0, fastTokenTime)
		backupEngine.BackupTokens = 16_000
		Expect(placement.PreemptionLikely(backupEngine, 3900)).To(BeTrue())
	})

	It("is chosen by load while all speeds are unknown", func() {
		list := []placement.Candidate{engine(3, 11_000, 0, 0), engine(1, 4000, 0, 0)}
		Expect(placement.ChooseEngine(list, long, 0)).To(Equal(1))
		Expect(placement.ChooseEngine(nil, long, 0)).To(Equal(-1))
	})
})

var _ = Describe("backups", func() {
	// Traffic fills most of the engines' memory. A backup takes as much memory as
	// its generation; if backups are made regardless, they fill the engines that
	// join, and running generations are preempted and computed again.
	It("are made only while engines have room for them beside the running generations", func() {
		lightlyLoaded := []placement.Candidate{{ReservedTokens: 9000, MemoryTokens: 34_000}, {ReservedTokens: 14_000, MemoryTokens: 34_000}}
		heavilyLoaded := []placement.Candidate{{ReservedTokens: 29_000, MemoryTokens: 34_000}, {ReservedTokens: 1000, MemoryTokens: 34_000}}
		Expect(placement.HasRoomForBackups(lightlyLoaded)).To(BeTrue())
		Expect(placement.HasRoomForBackups(heavilyLoaded)).To(BeFalse())
	})

	It("are stored by an engine that is at most half full with them", func() {
		list := []placement.Candidate{{Slots: 24, ReservedTokens: 9000, BackupTokens: 9000, MemoryTokens: 34_000}, {Slots: 24, ReservedTokens: 12_000, MemoryTokens: 34_000}}
		Expect(placement.ChooseBackupEngine(list, 3900, 0)).To(Equal(1))
		Expect(placement.ChooseBackupEngine(list[:1], 3900, 0)).To(Equal(-1))
	})
})

// simulatedEngine produces one token of each generation per step. While prompts
// wait, each step also reads a chunk of the first one.
type simulatedEngine struct {
	slowdown   float64
	decoding   []*simulatedGeneration
	prefilling []*simulatedGeneration
	readyAt    float64
}

type simulatedGeneration struct {
	prompt, unreadPrompt, output, produced int
	startedAt                              float64
	long                                   bool
}

// step runs at most one step, with times in milliseconds, and returns the
// generations that finished.
func (e *simulatedEngine) step(now float64) []*simulatedGeneration {
	const chunk, prefillMS, stepMS, generationMS = 112, 8, 7, 0.12
	if now < e.readyAt || len(e.decoding)+len(e.prefilling) == 0 {
		return nil
	}
	stepTime := 0.0
	if len(e.decoding) > 0 {
		stepTime += stepMS + generationMS*float64(len(e.decoding))
	}
	for _, r := range e.decoding {
		r.produced++
	}
	if len(e.prefilling) > 0 {
		stepTime += prefillMS
		prefilled := e.prefilling[0]
		prefilled.unreadPrompt -= chunk
		if prefilled.unreadPrompt <= 0 {
			e.prefilling, e.decoding = e.prefilling[1:], append(e.decoding, prefilled)
		}
	}
	e.readyAt = now + stepTime*e.slowdown
	var finished []*simulatedGeneration
	e.decoding = slices.DeleteFunc(e.decoding, func(r *simulatedGeneration) bool {
		if r.produced >= r.output {
			finished = append(finished, r)
		}
		return r.produced >= r.output
	})
	return finished
}

func (e *simulatedEngine) candidate() placement.Candidate {
	c := placement.Candidate{Slots: 48, MemoryTokens: 34_346, TimePerToken: time.Duration(7.5 * e.slowdown * float64(time.Millisecond))}
	for _, r := range slices.Concat(e.decoding, e.prefilling) {
		c.Running++
		c.ReservedTokens += r.prompt + r.output
		c.UnreadTokens += max(r.unreadPrompt, 0)
	}
	return c
}

// meanLongInProgress simulates two minutes of long and short generations on nine
// engines, of which three are 30% slower, and returns the mean number of long
// generations in progress.
func meanLongInProgress(seed uint64, choose func([]placement.Candidate, placement.Workload) int) float64 {
	const seconds, longRate, shortRate = 120, 3.43, 4.84
	rng := rand.New(rand.NewPCG(seed, 7))
	engines := make([]*simulatedEngine, 9)
	for i := range engines {
		engines[i] = &simulatedEngine{slowdown: 1}
		if i%3 == 2 {
			engines[i].slowdown = 1.3
		}
	}
	logNormal := func(mean, sigma float64) int {
		return max(1, int(mean*math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2)))
	}
	total := 0.0
	for now := 0.0; now < seconds*1000; now++ {
		var arrivals []*simulatedGeneration
		if rng.Float64() < longRate/1000 {
			arrivals = append(arrivals, &simulatedGeneration{prompt: min(logNormal(3000, 0.35), 6000), output: min(logNormal(940, 0.84), 2216), long: true})
		}
		if rng.Float64() < shortRate/1000 {
			arrivals = append(arrivals, &simulatedGeneration{prompt: min(logNormal(2200, 0.6), 6000), output: min(logNormal(16, 0.89), 56)})
		}
		for _, r := range arrivals {
			r.unreadPrompt, r.startedAt = r.prompt, now
			list := make([]placement.Candidate, len(engines))
			for i, e := range engines {
				list[i] = e.candidate()
			}
			e := engines[choose(list, placement.Workload{PromptTokens: r.prompt, OutputTokens: r.output})]
			e.prefilling = append(e.prefilling, r)
		}
		for _, e := range engines {
			for _, r := range e.step(now) {
				if r.long {
					total += now - r.startedAt
				}
			}
		}
	}
	return total / (seconds * 1000)
}

var _ = Describe("long generations beside short answers", func() {
	// When all hosts lose power, every generation in progress is lost. The number
	// in progress depends on how long each takes: on slower engines, and on
	// engines that also read the prompts of short answers, more callers have to
	// start again.
	It("are in progress for less time when placed by the delay that a choice adds", func() {
		byLoad, byDelay := 0.0, 0.0
		for seed := range uint64(6) {
			byLoad += meanLongInProgress(seed, func(list []placement.Candidate, w placement.Workload) int {
				return placement.ChooseLeastLoaded(list, w.PromptTokens+w.OutputTokens, 0)
			})
			byDelay += meanLongInProgress(seed, func(list []placement.Candidate, w placement.Workload) int {
				return placement.ChooseEngine(list, w, 0)
			})
		}
		AddReportEntry("long generations in progress", fmt.Sprintf("by load %.1f, by delay %.1f", byLoad/6, byDelay/6))
		Expect(byDelay).To(BeNumerically("<", 0.97*byLoad))
	})
})
