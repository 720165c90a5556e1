// Package enginespeed estimates how fast each engine produces tokens.
//
// Engines of one service differ in speed, some by a third, and their speed is not
// published. Each engine lives for half a minute or less, so a host that only
// uses its own generations knows an engine's speed when the engine is about to
// leave. Without estimates many long generations run on slow engines. Each stays
// in progress longer and can be lost with its engine or host for that much
// longer.
//
// The events of a stream are timed over windows of several events, because single
// events arrive in bursts. While an engine reads a prompt, the other generations
// produce tokens at half the rate for a moment, so an estimate near the shortest
// windows is the speed of the engine without that load. Hosts exchange their
// estimates.
//
// Types in this package are not safe for concurrent use.
package enginespeed

import (
	"slices"
	"time"
)

const (
	// WindowEvents is the number of events per window. It covers 0.3 s of a
	// stream, which is longer than any burst of events seen and shorter than the
	// reading of most prompts.
	WindowEvents = 8
	// decreaseWeight and increaseWeight are the smoothing weights for samples
	// below and above the estimate. Their ratio makes the estimate settle at the
	// tenth percentile of the windows, which suits engines that read prompts for
	// a sixth of the time and become slower now and then.
	decreaseWeight, increaseWeight = 0.3, 0.03
	// minSampleRatio is the fraction of the estimate below which a sample is
	// discarded: a host that was paused receives all events of the pause at once.
	minSampleRatio = 0.25
	// minPublishedChange is the relative change of an estimate that is sent to
	// other hosts.
	minPublishedChange = 0.1
)

// Estimator holds the estimates known to one host.
type Estimator struct {
	estimates map[string]*estimate
	// median is the last computed median, and changes counts the changes of
	// estimates since then.
	median  time.Duration
	changes int
}

// medianRefreshDivisor divides the number of estimates; after so many changes the
// median is computed anew, so that a change costs little however many engines there
// are.
const medianRefreshDivisor = 8

// estimate is what is known of one engine: this host's estimate, the last one
// received from another host, and the last one published, as times per token.
type estimate struct{ local, remote, published time.Duration }

// New returns an estimator without estimates.
func New() *Estimator { return &Estimator{estimates: map[string]*estimate{}} }

func (est *Estimator) estimate(target string) *estimate {
	e := est.estimates[target]
	if e == nil {
		e = &estimate{}
		est.estimates[target] = e
	}
	return e
}

// AddSample adds a time per token measured over a window. It reports whether the new
// estimate should be sent to other hosts.
func (est *Estimator) AddSample(target string, perToken time.Duration) bool {
	e := est.estimate(target)
	est.changes++
	current := e.timePerToken()
	switch {
	case perToken <= 0 || float64(perToken) < minSampleRatio*float64(current):
		return false
	case e.local == 0:
		e.local = perToken
	case perToken < e.local:
		e.local -= time.Duration(decreaseWeight * float64(e.local-perToken))
	default:
		e.local += time.Duration(increaseWeight * float64(perToken-e.local))
	}
	change := float64(e.local-e.published) / float64(e.local)
	if max(change, -change) < minPublishedChange {
		return false
	}
	e.published = e.local
	return true
}

// SetRemote sets the estimate received from other hosts, the median of theirs: which of them
// is read last must not decide what this host believes.
func (est *Estimator) SetRemote(target string, timesPerToken []time.Duration) {
	perToken := median(timesPerToken)
	if e := est.estimate(target); perToken > 0 && perToken != e.remote {
		e.remote = perToken
		est.changes++
	}
}

// median returns the median, the upper one of an even number; 0 of none. It sorts times.
func median(times []time.Duration) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[len(times)/2]
}

// timePerToken returns the shorter of the local and the received estimate, which
// was made with less other load on the engine; 0 if there is none.
func (e *estimate) timePerToken() time.Duration {
	if e.local == 0 || e.remote == 0 {
		return max(e.local, e.remote)
	}
	return min(e.local, e.remote)
}

// TimePerToken returns the time per token of a generation that runs alone on an engine; 0
// if unknown.
func (est *Estimator) TimePerToken(target string) time.Duration {
	if e := est.estimates[target]; e != nil {
		return e.timePerToken()
	}
	return 0
}

// Median returns the median time per token of the known engines, or 0 if none is
// known. It is used for engines that have just joined, and may lag a few changes
// behind.
func (est *Estimator) Median() time.Duration {
	if est.changes > len(est.estimates)/medianRefreshDivisor {
		est.median, est.changes = est.computeMedian(), 0
	}
	return est.median
}

func (est *Estimator) computeMedian() time.Duration {
	var times []time.Duration
	for _, e := range est.estimates {
		if perToken := e.timePerToken(); perToken > 0 {
			times = append(times, perToken)
		}
	}
	return median(times)
}

// Retain removes the engines for which known returns false.
func (est *Estimator) Retain(known func(target string) bool) {
	for target := range est.estimates {
		if !known(target) {
			delete(est.estimates, target)
			est.changes++
		}
	}
}

// Window times the events of one stream from one engine.
type Window struct {
	events    int
	startedAt time.Duration
}

// Add adds an event by its time on any monotonic clock. When a window is
// complete, it returns the mean time per event.
func (w *Window) Add(at time.Duration) (time.Duration, bool) {
	w.events++
	if w.events == 1 {
		w.startedAt = at
		return 0, false
	}
	if w.events <= WindowEvents {
		return 0, false
	}
	mean := (at - w.startedAt) / WindowEvents
	w.events, w.startedAt = 1, at
	return mean, true
}
