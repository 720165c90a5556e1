package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	// simultaneousWindow is the time within which targets end that have a common cause, as
	// when a rack loses power. Their crashes count once against what ran on some of them
	// only, and each against what ran on all.
	simultaneousWindow = 20 * time.Millisecond
	// knownSpacing is the time within which the crashes of a feature with which requests
	// completed before count as one occasion. One has time to complete again between two
	// occasions.
	knownSpacing = time.Second
	// maxKnownCrashes is the number of crashes of one such occasion that count against
	// content that completed before. The end of all targets of a service alone is not
	// enough for a refusal, a further crash without a completion in between is.
	maxKnownCrashes = crashesToRefuse - 1
	// ambiguityWait is the time from the first crash that counts against a part until it is
	// refused, if little is known of completions yet, as in a fleet that has just started,
	// or the suspects with it have other parts that never completed either. Requests with a
	// sound part complete meanwhile.
	ambiguityWait = 1500 * time.Millisecond
	// coverTime is the time from the first completion from which the completions are taken to
	// cover all sound parts in use.
	coverTime = 5 * time.Second
)

// tally is the evidence against one feature.
type tally struct {
	feature uint64
	// known is set if a request with the feature has completed.
	known bool
	// crashes are the indices of the crashes that count, oldest first: those since the
	// last completion.
	crashes []int
	// part is set for a part of prompts, ambiguous for one if a suspect with it has another part that never
	// completed.
	part, ambiguous bool
	// with are the other features of every suspect with this one, those left out of which
	// a request has completed since.
	with []uint64
}

// findCauses marks the features that explain crashes as refused. What explains most of
// them is taken first, and the crashes that it explains no longer count against the
// others, which were only in its company.
func (d *Detector) findCauses(now time.Duration) {
	counted := d.countedCrashes(now)
	candidates := d.candidates(now, counted)
	explained := make([]bool, len(d.crashes))
	for {
		best := d.mostUnexplained(candidates, explained)
		if best == nil {
			d.undecided = d.findUndecided(counted, explained)
			return
		}
		for _, t := range candidates {
			if slices.Equal(t.crashes, best.crashes) && !isGeneralized(t, candidates) {
				d.refuse(t)
			}
		}
		for _, i := range best.crashes {
			explained[i] = true
		}
	}
}

// mostUnexplained returns the candidate that explains most crashes of those left; nil if
// none explains enough.
func (d *Detector) mostUnexplained(candidates []tally, explained []bool) *tally {
	var best *tally
	most := blockedWeight - 1
	for i, t := range candidates {
		if w := d.unexplainedWeight(t, explained); w > most {
			best, most = &candidates[i], w
		}
	}
	return best
}

// isGeneralized reports whether another feature, which was in the same crashes, always
// came with this one, while this one also came without it. The other one is the cause
// then: what shares only this one with the suspects may be sound.
func isGeneralized(t tally, candidates []tally) bool {
	return slices.ContainsFunc(candidates, func(o tally) bool {
		return slices.Equal(o.crashes, t.crashes) && slices.Contains(o.with, t.feature) && !slices.Contains(t.with, o.feature)
	})
}

func (d *Detector) refuse(t tally) {
	e := d.evidence[t.feature]
	first, last := t.crashes[0], t.crashes[len(t.crashes)-1]
	e.refused, e.with, e.completedBefore = true, t.with, t.known
	e.sameTime = d.crashes[last].at-d.crashes[first].at < simultaneousWindow
	d.evidence[t.feature] = e
}

// Undecided is a feature that is in as many crashes as lead to a refusal, and is not refused.
type Undecided struct {
	Feature uint64
	// Part is set for a part of prompts.
	Part bool
	// Crashes is the number of crashes since the last completion that no refused feature
	// explains, Weight what they count together, Span the time from the first to the last.
	Crashes, Weight int
	Span            time.Duration
	// Completed is set if a request with the feature has completed.
	Completed bool
}

// findUndecided returns the features that are in enough crashes which are not explained,
// and do not weigh enough, in the order of the features.
func (d *Detector) findUndecided(counted map[uint64]*tally, explained []bool) []Undecided {
	var out []Undecided
	for f, t := range counted {
		if len(t.crashes) < crashesToRefuse {
			continue
		}
		open := slices.DeleteFunc(slices.Clone(t.crashes), func(i int) bool { return explained[i] })
		if len(open) < crashesToRefuse {
			continue
		}
		span := d.crashes[open[len(open)-1]].at - d.crashes[open[0]].at
		out = append(out, Undecided{Feature: f, Part: t.part, Crashes: len(open), Weight: d.unexplainedWeight(*t, explained), Span: span, Completed: t.known})
	}
	slices.SortFunc(out, func(a, b Undecided) int { return cmp.Compare(a.Feature, b.Feature) })
	return out
}

// candidates returns the features with enough evidence to be a cause of crashes, in the
// order of the features.
func (d *Detector) candidates(now time.Duration, counted map[uint64]*tally) []tally {
	var enough []tally
	none := make([]bool, len(d.crashes))
	for _, t := range counted {
		if len(t.crashes) < crashesToRefuse || d.unexplainedWeight(*t, none) < blockedWeight {
			continue
		}
		first := d.crashes[t.crashes[0]].at
		unclear := t.ambiguous || t.part && !d.completions.cover(first)
		if at := first + ambiguityWait; unclear && now < at {
			d.nextExpiry = min(d.nextExpiry, at)
			continue
		}
		t.with = d.commonFeatures(*t)
		enough = append(enough, *t)
	}
	slices.SortFunc(enough, func(a, b tally) int { return cmp.Compare(a.feature, b.feature) })
	return enough
}

// countedCrashes returns the crashes that count against each feature.
func (d *Detector) countedCrashes(now time.Duration) map[uint64]*tally {
	byFeature := make(map[uint64]*tally, len(d.evidence))
	for i, c := range d.crashes {
		for _, r := range c.suspects {
			for n, f := range r.features() {
				last := d.evidence[f].lastCompletion
				if last.valid && last.at > c.at {
					continue
				}
				t := byFeature[f]
				if t == nil {
					t = &tally{feature: f, known: last.isRecent(now, d.cfg.CrashTTL)}
					byFeature[f] = t
				}
				if len(t.crashes) == 0 || t.crashes[len(t.crashes)-1] != i {
					t.crashes = append(t.crashes, i)
				}
				t.part = n > 0
				t.ambiguous = t.ambiguous || t.part && d.hasOtherUnknownPart(r, f)
			}
		}
	}
	return byFeature
}

// hasOtherUnknownPart reports whether a request has another part than the given one with
// which no request ever completed.
func (d *Detector) hasOtherUnknownPart(r Request, part uint64) bool {
	return slices.ContainsFunc(r.Parts, func(p uint64) bool { return p != part && !d.evidence[p].lastCompletion.valid })
}

// commonFeatures returns the other features that all suspects with a feature have, as
// far as no request with them has completed since the first of its crashes.
func (d *Detector) commonFeatures(t tally) []uint64 {
	var common []uint64
	first := true
	for _, i := range t.crashes {
		for _, r := range d.crashes[i].suspects {
			switch {
			case !r.has(t.feature):
			case first:
				first = false
				common = d.uncleared(r, t.feature, d.crashes[t.crashes[0]].at)
			default:
				common = slices.DeleteFunc(common, func(f uint64) bool { return !r.has(f) })
			}
		}
	}
	return common
}

// uncleared returns the features of a request, without one, of which no request has
// completed since a time.
func (d *Detector) uncleared(r Request, without uint64, since time.Duration) []uint64 {
	var out []uint64
	for _, f := range r.features() {
		if last := d.evidence[f].lastCompletion; f != without && !(last.valid && last.at > since) {
			out = append(out, f)
		}
	}
	return out
}

// unexplainedWeight returns the weight of the crashes that nothing else explains.
func (d *Detector) unexplainedWeight(t tally, explained []bool) int {
	if t.known && t.part {
		return weakWeight * len(d.rounds(t, explained, knownSpacing))
	}
	within, most := simultaneousWindow, len(d.crashes)
	if t.known {
		within, most = knownSpacing, maxKnownCrashes
	}
	crashes := 0
	for _, round := range d.rounds(t, explained, within) {
		if d.endedWithout(t.feature, round, explained) {
			crashes++
		} else {
			crashes += min(len(round), most)
		}
	}
	return fullWeight * crashes
}

// rounds divides the crashes of a feature that nothing else explains into groups. A group
// holds the crashes within a time from its first one.
func (d *Detector) rounds(t tally, explained []bool, within time.Duration) [][]int {
	var rounds [][]int
	for _, i := range t.crashes {
		if explained[i] {
			continue
		}
		if n := len(rounds); n > 0 && d.crashes[i].at-d.crashes[rounds[n-1][0]].at < within {
			rounds[n-1] = append(rounds[n-1], i)
		} else {
			rounds = append(rounds, []int{i})
		}
	}
	return rounds
}

// endedWithout reports whether a target that did not run a request with the feature ended at
// the same time as those of a round. A common cause, such as the loss of a rack, is likely
// then.
func (d *Detector) endedWithout(feature uint64, round []int, explained []bool) bool {
	from, to := d.crashes[round[0]].at-simultaneousWindow, d.crashes[round[len(round)-1]].at+simultaneousWindow
	for i, c := range d.crashes {
		if c.at <= from || c.at >= to || explained[i] {
			continue
		}
		if _, found := slices.BinarySearch(c.features, feature); !found {
			return true
		}
	}
	return false
}
