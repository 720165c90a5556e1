// Package memoryforecast predicts how an engine's memory fills as the generations in its
// batch grow, and decides whether one more fits.
//
// An engine keeps the keys and values of every token of its running generations.
// A batch that fits at admission grows by one token per generation and step. If
// memory fills up during decoding, the engine preempts a generation: the caller's
// stream stalls, and the tokens produced so far are computed again. A limit on
// slots or on the memory in use suits only one mix of output lengths, because
// future use depends on how long the running generations are likely to last.
//
// The admission rule considers several horizons, in tokens ahead. At each one,
// the expected memory of the running generations and the candidate, which is the
// sum of P(still running) times size at that time, plus z standard deviations of
// the sum must stay below a fraction of the engine's memory. Lengths are assumed
// to be independent, so variances add. The sums are updated by adding and
// removing single generations, so a decision costs the same for any number of
// running generations.
package memoryforecast

import (
	"math"

	"filbertdeck/internal/decide/outputlength"
)

const (
	// DefaultDeviations and DefaultWatermark are the one setting that worked for
	// all three length mixes tried. Deviations alone lead to preemptions if many
	// short outputs fill the memory completely, a watermark alone if outputs are
	// long.
	DefaultDeviations = 2.0
	DefaultWatermark  = 0.92
)

// horizonTokens are the horizons in tokens ahead. A batch turns over within a few
// thousand steps, and a prediction beyond that has no value. Above 64 there are
// two horizons per doubling, because outputs of similar length peak between two
// horizons: with one per doubling, fourteen outputs of 900 tokens were admitted
// where nine fit.
var horizonTokens = [...]int{
	0, 8, 16, 32, 64, 96, 128, 192, 256, 384, 512, 768, 1024, 1536, 2048, 3072, 4096,
}

const horizonCount = len(horizonTokens)

// Forecast is the predicted memory of one generation: its mean, in tokens, and
// variance, in tokens squared, at each horizon.
type Forecast struct {
	mean, variance [horizonCount]float64
}

// InUse returns the memory in use now, in tokens.
func (f *Forecast) InUse() float64 { return f.mean[0] }

// Generation is a running generation or a candidate. Sizes are in tokens.
type Generation struct {
	Prompt, Produced int
	// Max is the maximum length of the output; 0 means no limit.
	Max int
}

// Predict sets f to the predicted memory of one generation.
func (f *Forecast) Predict(d *outputlength.Distribution, gen Generation) {
	survivedSoFar := d.Survival(gen.Produced)
	for i := range horizonCount {
		ahead := horizonTokens[i]
		p := 1.0
		switch {
		case gen.Max > 0 && ahead > 0 && gen.Produced+ahead >= gen.Max:
			p = 0
		case ahead > 0 && survivedSoFar > 0:
			p = d.Survival(gen.Produced+ahead) / survivedSoFar
		}
		size := float64(gen.Prompt + gen.Produced + ahead)
		f.mean[i] = p * size
		f.variance[i] = p * (1 - p) * size * size
	}
}

// Load is the predicted memory of one engine, the sum over its generations.
type Load struct {
	sum Forecast
}

// Add adds a generation.
func (l *Load) Add(f *Forecast) {
	for i := range horizonCount {
		l.sum.mean[i] += f.mean[i]
		l.sum.variance[i] += f.variance[i]
	}
}

// AddN adds count generations with the same predicted memory.
func (l *Load) AddN(f *Forecast, count int) {
	n := float64(count)
	for i := range horizonCount {
		l.sum.mean[i] += n * f.mean[i]
		l.sum.variance[i] += n * f.variance[i]
	}
}

// Remove removes a generation that was added with the same forecast.
func (l *Load) Remove(f *Forecast) {
	for i := range horizonCount {
		l.sum.mean[i] -= f.mean[i]
		l.sum.variance[i] = math.Max(0, l.sum.variance[i]-f.variance[i])
	}
}

// Reset sets the sum to zero. Computing the sum anew from time to time keeps
// rounding errors of many additions and removals from accumulating.
func (l *Load) Reset() { l.sum = Forecast{} }

// InUse returns the memory in use now, in tokens.
func (l *Load) InUse() float64 { return l.sum.mean[0] }

// AdmissionRule holds the parameters of the admission rule.
type AdmissionRule struct {
	// Deviations is z, the number of standard deviations kept free.
	Deviations float64
	// Watermark is the usable fraction of the memory, 0 to 1.
	Watermark float64
}

// DefaultRule returns the default parameters, which suit every mix of lengths.
func DefaultRule() AdmissionRule {
	return AdmissionRule{Deviations: DefaultDeviations, Watermark: DefaultWatermark}
}

// Headroom returns the smallest fraction of the memory, over all horizons, that
// stays free below the watermark if the candidate is added. It is negative if the
// candidate does not fit. untracked is memory in use by generations that are not
// part of the sum, and capacity the size of the engine's memory, both in tokens.
func (r AdmissionRule) Headroom(l *Load, candidate *Forecast, untracked, capacity float64) float64 {
	limit := r.Watermark*capacity - untracked
	minFree := math.Inf(1)
	for i := range horizonCount {
		mean := l.sum.mean[i] + candidate.mean[i]
		deviation := math.Sqrt(l.sum.variance[i] + candidate.variance[i])
		minFree = math.Min(minFree, limit-mean-r.Deviations*deviation)
	}
	return minFree / capacity
}
