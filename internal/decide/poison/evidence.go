package poison

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Weights of a crash, and the sums that lead to a verdict.
const (
	fullWeight      = 4
	weakWeight      = 1
	exclusiveWeight = 2 * fullWeight
	blockedWeight   = crashesToRefuse * fullWeight
)

// crashesToRefuse is the number of crashes that lead to a refusal if each counts in full.
const crashesToRefuse = 3

// CrashID identifies the death of one incarnation of a target, so that a death
// that several processes report counts once.
func CrashID(target string, incarnation uint64) uint64 {
	var incarnationBytes [8]byte
	binary.LittleEndian.PutUint64(incarnationBytes[:], incarnation)
	d := xxhash.New()
	_, _ = d.WriteString(target)
	_, _ = d.Write(incarnationBytes[:])
	return d.Sum64()
}

// crash is a death with its time on the local clock. Its suspects are sorted, and so are
// their features.
type crash struct {
	id       uint64
	at       time.Duration
	suspects []Request
	features []uint64
}

// featureEvidence is the sum of the evidence of all crashes about one feature.
type featureEvidence struct {
	weight  int
	crashes int
	// rounds counts the crashes that came so long after the one before that they were
	// those of test runs.
	rounds    int
	lastCrash time.Duration
	expires   time.Duration
	// refused is set for a feature that explains crashes, alone or together with the
	// features in with, which every suspect with it had.
	refused bool
	with    []uint64
	// sameTime is set for a refused feature whose crashes all came at the same time.
	sameTime bool
	// completedBefore is set for a refused feature with which a request completed before its
	// crashes.
	completedBefore bool
	// lastCompletion is when a request with the feature last completed, if one ever did.
	lastCompletion completion
}

// isCleared reports whether a request with the feature has completed since the last crash.
func (e featureEvidence) isCleared() bool {
	return e.lastCompletion.valid && e.lastCompletion.at >= e.lastCrash
}

func (e featureEvidence) cameWith(feature uint64) bool { return slices.Contains(e.with, feature) }

// add adds a crash and reports whether it contained anything new. Two
// allocators may each know some of the requests that ran on the target, so
// their suspects are merged. The earliest date is kept, which is the closest to
// the death, so that all processes come to agree on it; a better date alone is
// not worth passing on at once.
func (d *Detector) add(c crash) bool {
	i := slices.IndexFunc(d.crashes, func(k crash) bool { return k.id == c.id })
	if i < 0 {
		c.suspects = mergeSuspects(nil, c.suspects, d.cfg.MaxSuspectsPerCrash)
		c.features = featuresOf(c.suspects)
		return d.insert(c)
	}
	known := d.crashes[i]
	merged := mergeSuspects(known.suspects, c.suspects, d.cfg.MaxSuspectsPerCrash)
	grown := len(merged) > len(known.suspects)
	known.suspects, known.features = merged, featuresOf(merged)
	if c.at >= known.at {
		d.crashes[i] = known
		return grown
	}
	known.at = c.at
	d.crashes = slices.Delete(d.crashes, i, i+1)
	d.insert(known)
	d.outdated = true
	return grown
}

// insert keeps the crashes sorted by time. If the set is full, a crash older
// than all others does not count as new, or gossip would never stop passing it
// on.
func (d *Detector) insert(c crash) bool {
	compareTime := func(k crash, at time.Duration) int { return cmp.Compare(k.at, at) }
	i, _ := slices.BinarySearchFunc(d.crashes, c.at, compareTime)
	full := len(d.crashes) == d.cfg.MaxCrashes
	if full && i == 0 {
		return false
	}
	d.crashes = slices.Insert(d.crashes, i, c)
	if full {
		d.crashes = slices.Delete(d.crashes, 0, 1)
	}
	return true
}

// refresh computes the evidence again if it has changed.
func (d *Detector) refresh(now time.Duration) {
	if d.outdated || now >= d.nextExpiry && len(d.crashes) > 0 {
		d.rebuild(now)
	}
}

// rebuild removes expired crashes and computes the evidence from the others. It
// runs after a crash, a completion of a suspect and an expiry, but not for each
// request.
func (d *Detector) rebuild(now time.Duration) {
	d.crashes = slices.DeleteFunc(d.crashes, func(c crash) bool { return c.at+d.cfg.CrashTTL <= now })
	d.outdated = false
	old := d.evidence
	d.evidence = make(map[uint64]featureEvidence, len(old))
	for i := range d.crashes {
		d.addCrashWeight(now, i, old)
	}
	d.nextExpiry = now + d.cfg.CrashTTL
	if len(d.crashes) > 0 {
		d.nextExpiry = d.crashes[0].at + d.cfg.CrashTTL
	}
	d.findCauses(now)
	d.tests.forget(d.evidence)
}

func (d *Detector) addCrashWeight(now time.Duration, i int, old map[uint64]featureEvidence) {
	c := d.crashes[i]
	massFailure := d.massFailureAround(i)
	for _, f := range c.features {
		e, known := d.evidence[f]
		if !known {
			e.lastCompletion = d.lastCompletion(f, old)
		}
		e.weight += crashWeight(f, massFailure, e.lastCompletion.isRecent(now, d.cfg.CrashTTL))
		if e.crashes > 0 && c.at-e.lastCrash >= d.cfg.TestInterval {
			e.rounds++
		}
		e.crashes++
		e.lastCrash = c.at
		e.expires = c.at + d.cfg.CrashTTL
		d.evidence[f] = e
	}
}

func (d *Detector) lastCompletion(f uint64, old map[uint64]featureEvidence) completion {
	if e, ok := old[f]; ok && e.lastCompletion.valid {
		return e.lastCompletion
	}
	return d.completions.find(f)
}

// massFailureAround returns the crashes of the mass failure that crash i
// belongs to, or nil if it belongs to none: crash i must be one of
// MassFailureTargets crashes within MassFailureWindow.
func (d *Detector) massFailureAround(i int) []crash {
	n := d.cfg.MassFailureTargets
	from, to := i, i
	for j := max(0, i-n+1); j <= i && j+n <= len(d.crashes); j++ {
		if d.crashes[j+n-1].at-d.crashes[j].at <= d.cfg.MassFailureWindow {
			from, to = min(from, j), max(to, j+n-1)
		}
	}
	if from == to {
		return nil
	}
	return d.crashes[from : to+1]
}

// crashWeight is low for a request that has completed somewhere, since a poison
// request never does, and in a mass failure, unless the request ran on every
// target that died: then it is the common cause. A frequent request also runs
// on every target, but it has completed before.
func crashWeight(f uint64, massFailure []crash, completed bool) int {
	switch {
	case completed && massFailure != nil:
		return 0
	case completed:
		return weakWeight
	}
	for _, c := range massFailure {
		if _, found := slices.BinarySearch(c.features, f); !found {
			return weakWeight
		}
	}
	return fullWeight
}

// completionSlots is the number of completed requests that are remembered, in
// 96 KB. A frequent request completes again before 4,096 others can overwrite
// its slot. partSlots is that of parts of prompts, in 24 KB, which the many
// different requests must not overwrite.
const (
	completionSlots = 4096
	partSlots       = 1024
)

// recentCompletions remembers features of requests that completed lately. A new one
// overwrites the older one in its slot.
type recentCompletions struct {
	slots [completionSlots]completion
	parts [partSlots]completion
	// first is the time of the first one, valid once there is one.
	first completion
}

type completion struct {
	feature uint64
	at      time.Duration
	// part is set for a part of a prompt.
	part, valid bool
}

func (c completion) isRecent(now, ttl time.Duration) bool { return c.valid && now-c.at < ttl }

func (r *recentCompletions) add(c completion) {
	if c.part {
		r.parts[c.feature%partSlots] = c
	} else {
		r.slots[c.feature%completionSlots] = c
	}
	if !r.first.valid || c.at < r.first.at {
		r.first = c
	}
}

// cover reports whether the sound parts in use at a time are known.
func (r *recentCompletions) cover(at time.Duration) bool {
	return r.first.valid && at >= r.first.at+coverTime
}

func (r *recentCompletions) find(f uint64) completion {
	for _, s := range []completion{r.slots[f%completionSlots], r.parts[f%partSlots]} {
		if s.valid && s.feature == f {
			return s
		}
	}
	return completion{}
}
