// Package outputlength learns how long generations become, while they run.
//
// Load pattern: nobody knows an output's length ahead, and the mix shifts
// during the day (short summaries in the morning, long reports at night).
// Without an estimate a server can only reserve max_tokens (most of the memory
// stays empty) or admit what fits now (memory fills up in mid-decode and
// running generations are preempted). What decides is the conditional
// question: given that a generation produced n tokens, how likely does it
// still run after n+h?
//
// The estimate is a life table (Kaplan and Meier 1958) over buckets of
// logarithmic width: per bucket, the share of generations that ended in it
// among those that reached it. A plain histogram of finished lengths would be
// wrong after each shift and at each start, because short generations finish
// first; in a life table the ones that still run count for each bucket that
// they have passed, and those cut short (caller gone, target lost) count up to
// there and no further.
//
// A table made of the past is late when the mix shifts to longer outputs: by
// the time they end, the engines are full of them. What shows at once is that
// fewer generations end than the table expects. The ratio of endings seen to
// endings expected scales the hazard (proportional hazards), and only down:
// erring towards short outputs costs preemptions, the other way a little
// throughput for a while.
package outputlength

import (
	"math"
	"math/bits"
)

const (
	// bucketsPerOctave splits each doubling of the length in four, so that a
	// bucket is at most 25% wide, which is below the sampling error of the
	// few hundred lengths that the table remembers.
	bucketsPerOctave = 4
	octaves          = 17
	buckets          = bucketsPerOctave * octaves
	// MaxLength is the longest output told apart, in tokens.
	MaxLength = 1<<octaves - 1

	// defaultHalfLife is in finished generations: enough for a sampling error
	// of a few percent per octave, and short enough to follow a shift of the
	// mix within about a minute of a busy pool.
	defaultHalfLife = 400
	// priorExposure is the weight of the prior in each bucket, in generations.
	priorExposure = 2
	// priorMedian is the prior's median in tokens: long reports. Beyond it a
	// doubling of the length is survived by one in two. A new process that
	// takes long outputs for short ones fills an engine far beyond its memory
	// before the first output ends; the other way about it serves below
	// capacity until a few dozen have ended, some ten seconds.
	priorMedian = 2048
	// recentEndings is the span, in expected endings, over which seen and
	// expected ones are compared: at six a second for an engine some seven
	// seconds, short against the minute that a long report takes.
	recentEndings = 40
	// endingsDoubt is the number of standard deviations (of a Poisson count)
	// granted to the endings seen before the hazard is scaled down; with two,
	// chance alone does it one time in forty.
	endingsDoubt = 2
	// rescaleAt keeps the growing weight of new observations in range.
	rescaleAt = 1e9
)

// Distribution is the life table of one service. It is not safe for
// concurrent use.
type Distribution struct {
	// passed and ended count, per bucket, the generations that went beyond it
	// and those that finished in it.
	passed, ended [buckets]float64
	// table at b is the probability to reach bucket b's lower edge by the life
	// table, survival the same with the hazard as seen lately.
	table, survival [buckets + 1]float64
	// weight of the next observation; it grows, so that old ones fade.
	weight, growth float64
	changed        bool
	// seen and expected count recent endings.
	seen, expected float64
}

// New returns a distribution that holds only the prior. halfLife is in
// finished generations; 0 means the default.
func New(halfLife int) *Distribution {
	if halfLife <= 0 {
		halfLife = defaultHalfLife
	}
	d := &Distribution{weight: 1, growth: math.Exp2(1 / float64(halfLife)), changed: true}
	d.Refresh()
	return d
}

// RecordProgress records that a generation grew from one count of tokens to another
// and still runs.
func (d *Distribution) RecordProgress(from, to int) {
	if to <= from {
		return
	}
	for b, last := bucketOf(from+1), bucketOf(to+1); b < last; b++ {
		d.passed[b] += d.weight
		d.expect(d.hazard(b))
		d.changed = true
	}
}

// hazard is the cumulative hazard of bucket b by the table in force.
func (d *Distribution) hazard(b int) float64 {
	if d.table[b+1] <= 0 {
		return 0
	}
	return math.Log(d.table[b] / d.table[b+1])
}

// expect counts a part of an ending as expected, and lets older ones fade.
func (d *Distribution) expect(part float64) {
	fade := math.Exp(-part / recentEndings)
	d.expected = d.expected*fade + part
	d.seen *= fade
}

// slowdown is the factor on the hazard, at most 1.
func (d *Distribution) slowdown() float64 {
	likely := d.seen + endingsDoubt*math.Sqrt(d.seen+1)
	if d.expected <= likely {
		return 1
	}
	return likely / d.expected
}

// RecordFinished records that a generation ended by itself with so many tokens. Its
// progress up to there must have been recorded.
func (d *Distribution) RecordFinished(tokens int) {
	b := bucketOf(tokens)
	d.ended[b] += d.weight
	d.changed = true
	d.expect(d.hazard(b) / 2)
	d.seen++
	d.weight *= d.growth
	if d.weight > rescaleAt {
		d.rescale()
	}
}

func (d *Distribution) rescale() {
	for b := range buckets {
		d.passed[b] /= d.weight
		d.ended[b] /= d.weight
	}
	d.weight = 1
}

// Refresh brings the survival table up to date; until then the probabilities
// are those of the last call, so that sums made of them stay consistent.
func (d *Distribution) Refresh() {
	if !d.changed {
		return
	}
	d.changed = false
	prior := priorExposure * d.weight
	reach := 1.0
	for b := range buckets {
		d.table[b] = reach
		if lower(b) == lower(b+1) {
			continue
		}
		expected := priorSurvival(b)
		passed := d.passed[b] + prior*expected
		reach *= passed / (passed + d.ended[b] + prior*(1-expected))
	}
	d.table[buckets] = reach
	slow := d.slowdown()
	for b, p := range d.table {
		d.survival[b] = math.Pow(p, slow)
	}
}

// priorSurvival is the prior probability to pass bucket b once it is reached:
// a Lomax distribution of shape 1.
func priorSurvival(b int) float64 {
	return float64(priorMedian+lower(b)) / float64(priorMedian+lower(b+1))
}

// Beyond is the probability that an output is longer than n tokens.
func (d *Distribution) Beyond(n int) float64 {
	if n <= 0 {
		return 1
	}
	if n >= MaxLength {
		return d.survival[buckets]
	}
	b := bucketOf(n + 1)
	low, high := lower(b), lower(b+1)
	part := float64(n+1-low) / float64(high-low)
	return d.survival[b] + part*(d.survival[b+1]-d.survival[b])
}

// StillRunning is the probability that a generation which has produced so many
// tokens still runs when it is ahead tokens further.
func (d *Distribution) StillRunning(produced, ahead int) float64 {
	now := d.Beyond(produced)
	if now <= 0 {
		return 0
	}
	return d.Beyond(produced+ahead) / now
}

// Median is the length that half of the outputs exceed, in tokens.
func (d *Distribution) Median() int {
	for b := range buckets {
		if d.survival[b+1] <= 0.5 {
			return lower(b)
		}
	}
	return MaxLength
}

// bucketOf gives the bucket of a length of n tokens, n at least 1.
func bucketOf(n int) int {
	n = min(max(n, 1), MaxLength)
	octave := bits.Len(uint(n)) - 1
	return octave*bucketsPerOctave + (n*bucketsPerOctave>>octave)&(bucketsPerOctave-1)
}

// lower gives the least length of bucket b. Buckets below 4 tokens may be
// empty: then their lower edge is that of the next one.
func lower(b int) int {
	octave, part := b/bucketsPerOctave, b%bucketsPerOctave
	low := (bucketsPerOctave + part) << octave
	return (low + bucketsPerOctave - 1) / bucketsPerOctave
}
