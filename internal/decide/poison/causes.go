package poison

import (
	"cmp"
	"slices"
	"time"
)

const (
	// simultaneousWindow is the time within which crashes count once against a request:
	// the targets of a rack that loses power end together, with whatever runs there.
	simultaneousWindow = 20 * time.Millisecond
	// knownSpacing is the same for a request that has completed before. It has time to
	// complete again between two crashes that count.
	knownSpacing = time.Second
)

// tally is the evidence against one fingerprint.
type tally struct {
	fingerprint uint64
	// known is set for a fingerprint that has completed.
	known bool
	// crashes are the indices of the crashes that count, oldest first: those since the
	// last completion.
	crashes []int
}

// findCauses marks the fingerprints that explain crashes as refused. What explains most
// of them is taken first, and the crashes that it explains no longer count against the
// others, which were only in its company.
func (d *Detector) findCauses(now time.Duration) {
	candidates := d.tallies(now)
	explained := make([]bool, len(d.crashes))
	for {
		var best tally
		most := blockedWeight - 1
		for _, t := range candidates {
			if w := d.unexplainedWeight(t, explained); w > most || w == most && t.fingerprint < best.fingerprint {
				best, most = t, w
			}
		}
		if most < blockedWeight {
			return
		}
		for _, t := range candidates {
			if slices.Equal(t.crashes, best.crashes) {
				d.refuse(t.fingerprint)
			}
		}
		for _, i := range best.crashes {
			explained[i] = true
		}
	}
}

func (d *Detector) refuse(fingerprint uint64) {
	e := d.evidence[fingerprint]
	e.refused = true
	d.evidence[fingerprint] = e
}

// tallies returns the fingerprints with enough evidence to be a cause of crashes.
func (d *Detector) tallies(now time.Duration) []tally {
	byFingerprint := make(map[uint64]*tally, len(d.evidence))
	for i, c := range d.crashes {
		for _, f := range c.suspects {
			last := d.evidence[f].lastCompletion
			if last.valid && last.at > c.at {
				continue
			}
			t := byFingerprint[f]
			if t == nil {
				t = &tally{fingerprint: f, known: last.isRecent(now, d.cfg.CrashTTL)}
				byFingerprint[f] = t
			}
			t.crashes = append(t.crashes, i)
		}
	}
	var enough []tally
	none := make([]bool, len(d.crashes))
	for _, t := range byFingerprint {
		if d.unexplainedWeight(*t, none) >= blockedWeight {
			enough = append(enough, *t)
		}
	}
	slices.SortFunc(enough, func(a, b tally) int { return cmp.Compare(a.fingerprint, b.fingerprint) })
	return enough
}

// unexplainedWeight returns the weight of the crashes that nothing else explains.
func (d *Detector) unexplainedWeight(t tally, explained []bool) int {
	each, spacing := fullWeight, simultaneousWindow
	if t.known {
		each, spacing = weakWeight, knownSpacing
	}
	weight, counted := 0, false
	var last time.Duration
	for _, i := range t.crashes {
		if at := d.crashes[i].at; !explained[i] && (!counted || at-last >= spacing) {
			weight, last, counted = weight+each, at, true
		}
	}
	return weight
}
