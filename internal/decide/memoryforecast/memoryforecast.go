// Package memoryforecast predicts how the memory of a model engine fills as the
// generations in its batch grow, and tells whether one more fits.
//
// Load pattern: an engine keeps the keys and values of every running token.
// A batch that fits at admission grows by one token a generation and step, and
// when memory is full in mid-decode the engine preempts: a caller's stream
// stalls, and the tokens made so far are computed again. Slot counts and
// watermarks on the memory in use each suit one mix of lengths; what is to
// come depends on how long the running ones are likely to last.
//
// The rule: for several horizons (tokens ahead), the sum over running ones and
// candidate of P(still running) x memory then, plus z standard deviations of
// that sum, stays under a part of the engine's memory. Lengths are taken as
// independent, so variances add. Sums are kept up to date by adding and taking
// away single generations, so that a decision costs the same for any number
// of running ones.
package memoryforecast

import (
	"math"

	"filbertdeck/internal/decide/outputlength"
)

const (
	// DefaultDeviations and DefaultWatermark are the pair that stood in the
	// design trial's three mixes with one setting: z alone preempts where
	// many short outputs fill the memory to the brim, a watermark alone where
	// outputs are long.
	DefaultDeviations = 2.0
	DefaultWatermark  = 0.92
)

// horizons are in tokens ahead. A batch turns over in a few thousand steps;
// beyond that prediction says nothing. Steps of a half octave, because a burst
// of outputs of like length peaks between two horizons: with plain doublings
// fourteen outputs of 900 tokens were let in where nine fit.
var horizons = [...]int{
	0, 8, 16, 32, 64, 96, 128, 192, 256, 384, 512, 768, 1024, 1536, 2048, 3072, 4096,
}

const horizonCount = len(horizons)

// Forecast is what one generation adds to each horizon's mean and variance, in
// tokens and tokens squared.
type Forecast struct {
	mean, variance [horizonCount]float64
}

// InUse is the memory in use at present, in tokens.
func (g *Forecast) InUse() float64 { return g.mean[0] }

// Generation is a running generation or a candidate, in tokens.
type Generation struct {
	Prompt, Produced int
	// Max bounds the output; 0 means no bound.
	Max int
}

// Predict fills g with the growth of one generation.
func (g *Forecast) Predict(d *outputlength.Distribution, gen Generation) {
	reached := d.Beyond(gen.Produced)
	for i := range horizonCount {
		ahead := horizons[i]
		p := 1.0
		switch {
		case gen.Max > 0 && ahead > 0 && gen.Produced+ahead >= gen.Max:
			p = 0
		case ahead > 0 && reached > 0:
			p = d.Beyond(gen.Produced+ahead) / reached
		}
		size := float64(gen.Prompt + gen.Produced + ahead)
		g.mean[i] = p * size
		g.variance[i] = p * (1 - p) * size * size
	}
}

// Load is the predicted memory of one engine: the sum over what runs there.
type Load struct {
	sum Forecast
}

// Add counts a generation in.
func (l *Load) Add(g *Forecast) {
	for i := range horizonCount {
		l.sum.mean[i] += g.mean[i]
		l.sum.variance[i] += g.variance[i]
	}
}

// AddN counts in several generations of the same growth.
func (l *Load) AddN(g *Forecast, count int) {
	n := float64(count)
	for i := range horizonCount {
		l.sum.mean[i] += n * g.mean[i]
		l.sum.variance[i] += n * g.variance[i]
	}
}

// Remove takes a generation out that was added with the same growth.
func (l *Load) Remove(g *Forecast) {
	for i := range horizonCount {
		l.sum.mean[i] -= g.mean[i]
		l.sum.variance[i] = math.Max(0, l.sum.variance[i]-g.variance[i])
	}
}

// Reset empties the sum. Recomputing it from time to time keeps rounding
// errors of many additions and removals from adding up.
func (l *Load) Reset() { l.sum = Forecast{} }

// InUse is the memory in use at present, in tokens.
func (l *Load) InUse() float64 { return l.sum.mean[0] }

// AdmissionRule is the setting of the admission rule.
type AdmissionRule struct {
	// Deviations is z, the standard deviations kept free.
	Deviations float64
	// Watermark is the usable part of the memory, 0 to 1.
	Watermark float64
}

// DefaultRule returns the setting that serves every mix.
func DefaultRule() AdmissionRule {
	return AdmissionRule{Deviations: DefaultDeviations, Watermark: DefaultWatermark}
}

// Headroom is the least part of the memory, over all horizons, that stays free
// under the watermark when the candidate is added; negative when it does not
// fit. Unexplained is memory in use that no generation of the sum accounts
// for, and memory the engine's size, both in tokens.
func (r AdmissionRule) Headroom(l *Load, candidate *Forecast, unexplained, memory float64) float64 {
	limit := r.Watermark*memory - unexplained
	least := math.Inf(1)
	for i := range horizonCount {
		mean := l.sum.mean[i] + candidate.mean[i]
		deviation := math.Sqrt(l.sum.variance[i] + candidate.variance[i])
		least = math.Min(least, limit-mean-r.Deviations*deviation)
	}
	return least / memory
}
