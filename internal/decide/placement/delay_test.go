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
	quickStep = 7500 * time.Microsecond
	slowStep  = 9750 * time.Microsecond
)

var _ = Describe("the engine of a generation", func() {
	engine := func(running, tokens, unread int, step time.Duration) placement.Candidate {
		return placement.Candidate{Running: running, Slots: 24, ReservedTokens: tokens, UnreadTokens: unread, MemoryTokens: 34_000, TimePerToken: step}
	}
	long := placement.Workload{PromptTokens: 3000, OutputTokens: 900}
	short := placement.Workload{PromptTokens: 2200, OutputTokens: 16}

	// One engine in three is slower. A draft of half a minute that is sent there
	// because it is a little emptier takes a third longer.
	It("is a quick one for a long generation, though a slow one is emptier", func() {
		list := []placement.Candidate{engine(3, 11_000, 0, quickStep), engine(1, 4000, 0, slowStep)}
		Expect(placement.ChooseEngine(list, long, 0)).To(Equal(0))
	})

	// A short answer's prompt halves the pace of every draft beside it. The slow
	// engine with nothing to do reads it as well, and keeps nobody waiting.
	It("is one where few others wait for a short answer's prompt", func() {
		list := []placement.Candidate{engine(4, 14_000, 0, quickStep), engine(0, 0, 0, slowStep)}
		Expect(placement.ChooseEngine(list, short, 0)).To(Equal(1))
	})

	It("is one that reads it sooner when the idle one has prompts enough", func() {
		list := []placement.Candidate{engine(1, 4000, 0, quickStep), engine(0, 0, 20_000, slowStep)}
		Expect(placement.ChooseEngine(list, short, 0)).To(Equal(0))
	})

	// Generations grow until an engine's memory runs out, and the newest is
	// stopped, read again and late. A quick engine is not worth that.
	It("is not a crowded one", func() {
		crowded, roomy := engine(7, 28_000, 0, quickStep), engine(3, 12_000, 0, slowStep)
		Expect(placement.PreemptionLikely(crowded, 3900)).To(BeTrue())
		Expect(placement.PreemptionLikely(roomy, 3900)).To(BeFalse())
		Expect(placement.ChooseEngine([]placement.Candidate{crowded, roomy}, long, 0)).To(Equal(1))
	})

	It("has room for its backups too", func() {
		keeper := engine(3, 12_000, 0, quickStep)
		keeper.BackupTokens = 16_000
		Expect(placement.PreemptionLikely(keeper, 3900)).To(BeTrue())
	})

	It("is found while nothing is known of speeds", func() {
		list := []placement.Candidate{engine(3, 11_000, 0, 0), engine(1, 4000, 0, 0)}
		Expect(placement.ChooseEngine(list, long, 0)).To(Equal(1))
		Expect(placement.ChooseEngine(nil, long, 0)).To(Equal(-1))
	})
})

var _ = Describe("backups", func() {
	// Traffic fills most of the engines' memory. A backup takes as much again as
	// the generation itself; made all the same, they fill the engines that join,
	// and running drafts are stopped and read again.
	It("are made only while engines have room for them and for what they run", func() {
		calm := []placement.Candidate{{ReservedTokens: 9000, MemoryTokens: 34_000}, {ReservedTokens: 14_000, MemoryTokens: 34_000}}
		busy := []placement.Candidate{{ReservedTokens: 29_000, MemoryTokens: 34_000}, {ReservedTokens: 1000, MemoryTokens: 34_000}}
		Expect(placement.HasRoomForBackups(calm)).To(BeTrue())
		Expect(placement.HasRoomForBackups(busy)).To(BeFalse())
	})

	It("lie at an engine that is not half full with them", func() {
		list := []placement.Candidate{{Slots: 24, ReservedTokens: 9000, BackupTokens: 9000, MemoryTokens: 34_000}, {Slots: 24, ReservedTokens: 12_000, MemoryTokens: 34_000}}
		Expect(placement.ChooseBackupEngine(list, 3900, 0)).To(Equal(1))
		Expect(placement.ChooseBackupEngine(list[:1], 3900, 0)).To(Equal(-1))
	})
})

// played is an engine of a play: it makes one token of each generation a step,
// and reads a chunk of one prompt in each step while there is one.
type played struct {
	slower  float64
	runs    []*playedRun
	reads   []*playedRun
	readyAt float64
}

type playedRun struct {
	prompt, unread, output, made int
	began                        float64
	long                         bool
}

// step runs one step at a time in milliseconds and gives the runs that ended.
func (e *played) step(now float64) []*playedRun {
	const chunk, readMS, stepMS, slotMS = 112, 8, 7, 0.12
	if now < e.readyAt || len(e.runs)+len(e.reads) == 0 {
		return nil
	}
	took := 0.0
	if len(e.runs) > 0 {
		took += stepMS + slotMS*float64(len(e.runs))
	}
	for _, r := range e.runs {
		r.made++
	}
	if len(e.reads) > 0 {
		took += readMS
		first := e.reads[0]
		first.unread -= chunk
		if first.unread <= 0 {
			e.reads, e.runs = e.reads[1:], append(e.runs, first)
		}
	}
	e.readyAt = now + took*e.slower
	var ended []*playedRun
	e.runs = slices.DeleteFunc(e.runs, func(r *playedRun) bool {
		if r.made >= r.output {
			ended = append(ended, r)
		}
		return r.made >= r.output
	})
	return ended
}

func (e *played) candidate() placement.Candidate {
	c := placement.Candidate{Slots: 48, MemoryTokens: 34_346, TimePerToken: time.Duration(7.5 * e.slower * float64(time.Millisecond))}
	for _, r := range slices.Concat(e.runs, e.reads) {
		c.Running++
		c.ReservedTokens += r.prompt + r.output
		c.UnreadTokens += max(r.unread, 0)
	}
	return c
}

// play sends two minutes of long and short generations to nine engines, of
// which three are a third slower, and gives how many long ones were in progress
// on the mean.
func play(seed uint64, choose func([]placement.Candidate, placement.Workload) int) float64 {
	const seconds, longRate, shortRate = 120, 3.43, 4.84
	draw := rand.New(rand.NewPCG(seed, 7))
	engines := make([]*played, 9)
	for i := range engines {
		engines[i] = &played{slower: 1}
		if i%3 == 2 {
			engines[i].slower = 1.3
		}
	}
	lengths := func(mean, spread float64) int {
		return max(1, int(mean*math.Exp(spread*draw.NormFloat64()-spread*spread/2)))
	}
	total := 0.0
	for now := 0.0; now < seconds*1000; now++ {
		var arrivals []*playedRun
		if draw.Float64() < longRate/1000 {
			arrivals = append(arrivals, &playedRun{prompt: min(lengths(3000, 0.35), 6000), output: min(lengths(940, 0.84), 2216), long: true})
		}
		if draw.Float64() < shortRate/1000 {
			arrivals = append(arrivals, &playedRun{prompt: min(lengths(2200, 0.6), 6000), output: min(lengths(16, 0.89), 56)})
		}
		for _, r := range arrivals {
			r.unread, r.began = r.prompt, now
			list := make([]placement.Candidate, len(engines))
			for i, e := range engines {
				list[i] = e.candidate()
			}
			e := engines[choose(list, placement.Workload{PromptTokens: r.prompt, OutputTokens: r.output})]
			e.reads = append(e.reads, r)
		}
		for _, e := range engines {
			for _, r := range e.step(now) {
				if r.long {
					total += now - r.began
				}
			}
		}
	}
	return total / (seconds * 1000)
}

var _ = Describe("long generations beside short answers", func() {
	// All hosts lose power, and every draft in progress is lost. How many are in
	// progress is a matter of how long each takes: on engines a third slower,
	// and beside the prompts of short answers, more secretaries start anew.
	It("are in progress for less time when placed by what a choice adds", func() {
		byFullness, byDelay := 0.0, 0.0
		for seed := range uint64(6) {
			byFullness += play(seed, func(list []placement.Candidate, w placement.Workload) int {
				return placement.ChooseLeastLoaded(list, w.PromptTokens+w.OutputTokens, 0)
			})
			byDelay += play(seed, func(list []placement.Candidate, w placement.Workload) int {
				return placement.ChooseEngine(list, w, 0)
			})
		}
		AddReportEntry("long generations in progress", fmt.Sprintf("by fullness %.1f, by delay %.1f", byFullness/6, byDelay/6))
		Expect(byDelay).To(BeNumerically("<", 0.97*byFullness))
	})
})
