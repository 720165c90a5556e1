// Package outputlength estimates the distribution of output lengths while generations
// run.
//
// The length of an output is not known in advance, and the mix of lengths shifts
// during the day (short summaries in the morning, long reports at night). Without
// an estimate a server can only reserve max_tokens, which leaves most of the
// memory unused, or admit what fits now, so that memory fills up during decoding
// and running generations are preempted. Admission depends on a conditional
// probability: how likely a generation that has produced n tokens still runs
// after n+h.
//
// The estimate is a life table (Kaplan and Meier 1958) over buckets of
// logarithmic width: per bucket, the fraction of generations that ended in it
// among those that reached it. A histogram of finished lengths would be wrong
// after each shift and each start, because short generations finish first. In a
// life table, running generations count for each bucket that they have passed,
// and those cut short (caller gone, target lost) count up to that point and no
// further.
//
// A table of past lengths reacts late when the mix shifts to longer outputs: by
// the time they end, the engines are full of them. What changes at once is that
// fewer generations end than the table predicts. The ratio of observed to
// expected endings therefore scales the hazard (proportional hazards), but only
// down: underestimating lengths causes preemptions, overestimating them costs a
// little throughput for a while.
package outputlength

import (
	"math"
	"math/bits"
)

const (
	// bucketsPerOctave divides each doubling of the length into four, so that a
	// bucket is at most 25% wide. That is less than the sampling error of the few
	// hundred lengths that the table remembers.
	bucketsPerOctave = 4
	octaves          = 17
	buckets          = bucketsPerOctave * octaves
	// MaxLength is the longest output length that is distinguished, in tokens.
	MaxLength = 1<<octaves - 1

	// defaultHalfLife is the half-life of observations, in finished generations.
	// It gives a sampling error of a few percent per octave and still follows a
	// shift of the mix within about a minute in a busy pool.
	defaultHalfLife = 400
	// priorExposure is the weight of the prior in each bucket, in generations.
	priorExposure = 2
	// priorMedian is the median of the prior in tokens, that of long reports. For
	// lengths far beyond it, one in two outputs reaches twice the length. A new
	// process that assumes short outputs when they are long fills an engine far
	// beyond its memory before the first output ends. In the opposite case it
	// serves below capacity until a few dozen outputs have ended, about ten
	// seconds.
	priorMedian = 2048
	// endingsWindow is the span, in expected endings, over which observed and
	// expected endings are compared. At six endings a second per engine it is
	// about seven seconds, short compared with the minute that a long report
	// takes.
	endingsWindow = 40
	// endingsDeviations is the number of standard deviations (of a Poisson count)
	// added to the observed endings before the hazard is scaled down. With two,
	// chance alone scales it down one time in forty.
	endingsDeviations = 2
	// maxWeight is the weight of new observations at which all weights are
	// rescaled, to keep them in range.
	maxWeight = 1e9
)

// Distribution is the life table of one service. It is not safe for concurrent
// use.
type Distribution struct {
	// passed and finished count, per bucket, the generations that went beyond it
	// and those that finished in it.
	passed, finished [buckets]float64
	// baseline[b] is the probability to reach the lower bound of bucket b by the
	// life table, survival[b] the same with the hazard scaled by recent endings.
	baseline, survival [buckets + 1]float64
	// weight is the weight of the next observation. It grows by the factor
	// weightGrowth, so that older observations decay.
	weight, weightGrowth float64
	needsRefresh         bool
	// observedEndings and expectedEndings count recent endings.
	observedEndings, expectedEndings float64
}

// New returns a distribution that contains only the prior. halfLife is in
// finished generations; 0 means the default.
func New(halfLife int) *Distribution {
	if halfLife <= 0 {
		halfLife = defaultHalfLife
	}
	d := &Distribution{weight: 1, weightGrowth: math.Exp2(1 / float64(halfLife)), needsRefresh: true}
	d.Refresh()
	return d
}

// RecordProgress records that a generation grew between two numbers of tokens and still
// runs.
func (d *Distribution) RecordProgress(from, to int) {
	if to <= from {
		return
	}
	for b, last := bucketOf(from+1), bucketOf(to+1); b < last; b++ {
		d.passed[b] += d.weight
		d.addExpectedEndings(d.hazard(b))
		d.needsRefresh = true
	}
}

// hazard returns the cumulative hazard of bucket b by the current life table.
func (d *Distribution) hazard(b int) float64 {
	if d.baseline[b+1] <= 0 {
		return 0
	}
	return math.Log(d.baseline[b] / d.baseline[b+1])
}

// addExpectedEndings adds a number of expected endings, which may be a fraction,
// and decays older counts.
func (d *Distribution) addExpectedEndings(endings float64) {
	decay := math.Exp(-endings / endingsWindow)
	d.expectedEndings = d.expectedEndings*decay + endings
	d.observedEndings *= decay
}

// hazardFactor returns the factor applied to the hazard, at most 1.
func (d *Distribution) hazardFactor() float64 {
	upperBound := d.observedEndings + endingsDeviations*math.Sqrt(d.observedEndings+1)
	if d.expectedEndings <= upperBound {
		return 1
	}
	return upperBound / d.expectedEndings
}

// RecordFinished records that a generation ended by itself with the given number of
// tokens. Its progress up to that point must have been recorded.
func (d *Distribution) RecordFinished(tokens int) {
	b := bucketOf(tokens)
	d.finished[b] += d.weight
	d.needsRefresh = true
	d.addExpectedEndings(d.hazard(b) / 2)
	d.observedEndings++
	d.weight *= d.weightGrowth
	if d.weight > maxWeight {
		d.rescale()
	}
}

// rescale divides all weights by the weight of the next observation.
func (d *Distribution) rescale() {
	for b := range buckets {
		d.passed[b] /= d.weight
		d.finished[b] /= d.weight
	}
	d.weight = 1
}

// Refresh updates the survival table. Until then probabilities are those of the
// last refresh, so that sums made of them stay consistent.
func (d *Distribution) Refresh() {
	if !d.needsRefresh {
		return
	}
	d.needsRefresh = false
	prior := priorExposure * d.weight
	survival := 1.0
	for b := range buckets {
		d.baseline[b] = survival
		if lowerBound(b) == lowerBound(b+1) {
			continue
		}
		expected := priorSurvival(b)
		passed := d.passed[b] + prior*expected
		survival *= passed / (passed + d.finished[b] + prior*(1-expected))
	}
	d.baseline[buckets] = survival
	factor := d.hazardFactor()
	for b, p := range d.baseline {
		d.survival[b] = math.Pow(p, factor)
	}
}

// priorSurvival returns the prior probability to pass bucket b once it is
// reached, by a Lomax distribution of shape 1.
func priorSurvival(b int) float64 {
	return float64(priorMedian+lowerBound(b)) / float64(priorMedian+lowerBound(b+1))
}

// Survival returns the probability that an output is longer than n tokens.
func (d *Distribution) Survival(n int) float64 {
	if n <= 0 {
		return 1
	}
	if n >= MaxLength {
		return d.survival[buckets]
	}
	b := bucketOf(n + 1)
	low, high := lowerBound(b), lowerBound(b+1)
	fraction := float64(n+1-low) / float64(high-low)
	return d.survival[b] + fraction*(d.survival[b+1]-d.survival[b])
}

// ConditionalSurvival returns the probability that a generation that has produced
// the given number of tokens still runs after ahead more tokens.
func (d *Distribution) ConditionalSurvival(produced, ahead int) float64 {
	reached := d.Survival(produced)
	if reached <= 0 {
		return 0
	}
	return d.Survival(produced+ahead) / reached
}

// Median returns the length that half of the outputs exceed, in tokens.
func (d *Distribution) Median() int {
	for b := range buckets {
		if d.survival[b+1] <= 0.5 {
			return lowerBound(b)
		}
	}
	return MaxLength
}

// bucketOf returns the bucket of a length of n tokens, n at least 1.
func bucketOf(n int) int {
	n = min(max(n, 1), MaxLength)
	octave := bits.Len(uint(n)) - 1
	return octave*bucketsPerOctave + (n*bucketsPerOctave>>octave)&(bucketsPerOctave-1)
}

// lowerBound returns the smallest length in bucket b. Buckets below 4 tokens may
// be empty; their lower bound is that of the next bucket.
func lowerBound(b int) int {
	octave, subBucket := b/bucketsPerOctave, b%bucketsPerOctave
	low := (bucketsPerOctave + subBucket) << octave
	return (low + bucketsPerOctave - 1) / bucketsPerOctave
}
