package poison

import "time"

const (
	// maxTestDelayDoublings bounds the growth of the time until a test run.
	maxTestDelayDoublings = 6
	// contentDelayFactor multiplies the time until a test run of a request that is refused
	// for all of its content, unless it completed before: a wrong verdict concerns no other
	// requests.
	contentDelayFactor = 4
	// sameTimeDelayFactor is that for content whose crashes all came at the same time, which
	// another cause of these would explain as well.
	sameTimeDelayFactor = 2
)

// testRuns decides when a request that is refused may run once, to see whether the verdict
// still holds. What is refused never completes, so nothing else would undo a wrong verdict
// before its evidence expires.
//
// Each process waits for a time of its own after the last crash. The first one whose time
// is over lets one request through: if that completes, all processes are told and the verdict
// ends; if it crashes its target, the wait starts again, twice as long.
type testRuns struct {
	interval, longest time.Duration
	// spread is this process's share, in [0, 1), of a further wait of the same length.
	spread float64
	// last holds when this process last granted a test run of a feature.
	last map[uint64]time.Duration
}

// isDue reports whether a request may run once in spite of a refused feature. number is
// that of the feature within the request.
func (t *testRuns) isDue(now time.Duration, number int, feature uint64, e featureEvidence) bool {
	delay := t.interval << min(e.rounds, maxTestDelayDoublings)
	switch {
	case number > 0 || e.completedBefore:
	case e.sameTime:
		delay *= sameTimeDelayFactor
	default:
		delay *= contentDelayFactor
	}
	delay = min(delay, t.longest)
	if last, tested := t.last[feature]; tested && now-last < delay {
		return false
	}
	return now >= e.lastCrash+delay+time.Duration(t.spread*float64(delay))
}

// forget removes the features for which there is no evidence any more.
func (t *testRuns) forget(evidence map[uint64]featureEvidence) {
	for f := range t.last {
		if _, found := evidence[f]; !found {
			delete(t.last, f)
		}
	}
}

// isConclusive reports whether a run of a request tests one of its refused features and
// nothing else: its other features are not suspected, or came with every suspect.
func (d *Detector) isConclusive(r Request, tested uint64) bool {
	e := d.evidence[tested]
	for _, f := range r.features() {
		if f == tested || e.cameWith(f) {
			continue
		}
		if other, found := d.evidence[f]; found && !other.isCleared() {
			return false
		}
	}
	return true
}

// TakeTestRun records that a request for which Assess has returned TestRun is going to run.
func (d *Detector) TakeTestRun(now time.Duration, r Request) {
	for _, f := range r.features() {
		if d.evidence[f].refused {
			d.tests.last[f] = now
		}
	}
}
