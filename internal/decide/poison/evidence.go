package poison

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A crash weighs fullWeight, one of a mass failure weakWeight: twelve of these
// would be needed for a verdict, more than a rack holds of one service.
const (
	fullWeight   = 4
	weakWeight   = 1
	aloneWeight  = 2 * fullWeight
	guiltyWeight = 3 * fullWeight
)

// CrashID names the death of one incarnation of a target, so that several
// processes that saw it count it once.
func CrashID(target string, incarnation uint64) uint64 {
	var life [8]byte
	binary.LittleEndian.PutUint64(life[:], incarnation)
	d := xxhash.New()
	_, _ = d.WriteString(target)
	_, _ = d.Write(life[:])
	return d.Sum64()
}

// crash is one death with the time at which it was learnt here. Its suspects
// are sorted.
type crash struct {
	id       uint64
	at       time.Duration
	suspects []uint64
}

// evidence is what all crashes together say of one fingerprint.
type evidence struct {
	weight  int
	last    time.Duration
	expires time.Duration
	// finished is when the request last ran to its end, if it ever did.
	finished finish
}

// add joins a crash to the set and tells whether it said anything new. Two
// allocators may each know a part of what ran there, so suspects are united.
func (d *Detector) add(c crash) bool {
	i := slices.IndexFunc(d.crashes, func(k crash) bool { return k.id == c.id })
	if i < 0 {
		c.suspects = unite(nil, c.suspects, d.cfg.MaxSuspects)
		return d.insert(c)
	}
	known := &d.crashes[i]
	united := unite(known.suspects, c.suspects, d.cfg.MaxSuspects)
	grown := len(united) > len(known.suspects)
	known.suspects = united
	return grown
}

// insert keeps the crashes in the order of time. A crash older than all that
// there is room for is no news, or gossip would bring it back for ever.
func (d *Detector) insert(c crash) bool {
	byTime := func(k crash, at time.Duration) int { return cmp.Compare(k.at, at) }
	i, _ := slices.BinarySearchFunc(d.crashes, c.at, byTime)
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

// unite returns a new sorted list: the old one may be in a message under way.
func unite(known, more []uint64, limit int) []uint64 {
	more = more[:min(len(more), limit)]
	out := slices.Concat(known, more)
	slices.Sort(out)
	out = slices.Compact(out)
	return out[:min(len(out), limit)]
}

// rebuild forgets what has expired and weighs the rest. It runs at a crash and
// at an expiry, not on a request's path.
func (d *Detector) rebuild(now time.Duration) {
	d.crashes = slices.DeleteFunc(d.crashes, func(c crash) bool { return c.at+d.cfg.Remember <= now })
	old := d.index
	d.index = make(map[uint64]evidence, len(old))
	for i := range d.crashes {
		d.weigh(now, i, old)
	}
	d.expires = now + d.cfg.Remember
	if len(d.crashes) > 0 {
		d.expires = d.crashes[0].at + d.cfg.Remember
	}
}

func (d *Detector) weigh(now time.Duration, i int, old map[uint64]evidence) {
	c := d.crashes[i]
	mass := d.mass(i)
	for _, f := range c.suspects {
		e, known := d.index[f]
		if !known {
			e.finished = d.finished(f, old)
		}
		e.weight += crashWeight(f, mass, e.finished.counts(now, d.cfg.Remember))
		e.last = c.at
		e.expires = c.at + d.cfg.Remember
		d.index[f] = e
	}
}

func (d *Detector) finished(f uint64, old map[uint64]evidence) finish {
	if e, ok := old[f]; ok && e.finished.ever {
		return e.finished
	}
	return d.cleared.find(f)
}

// mass gives the crashes around crash i when MassTargets of them, i among
// these, fell within MassWindow; else nothing.
func (d *Detector) mass(i int) []crash {
	n := d.cfg.MassTargets
	from, to := i, i
	for j := max(0, i-n+1); j <= i && j+n <= len(d.crashes); j++ {
		if d.crashes[j+n-1].at-d.crashes[j].at <= d.cfg.MassWindow {
			from, to = min(from, j), max(to, j+n-1)
		}
	}
	if from == to {
		return nil
	}
	return d.crashes[from : to+1]
}

// crashWeight is low for a request that finished somewhere, since a poison
// never does, and in a mass failure, unless the request ran on every target
// that died: then it is the common cause. A hot request runs on every target
// too, but it has finished.
func crashWeight(f uint64, mass []crash, finished bool) int {
	switch {
	case finished && mass != nil:
		return 0
	case finished:
		return weakWeight
	}
	for _, c := range mass {
		if _, there := slices.BinarySearch(c.suspects, f); !there {
			return weakWeight
		}
	}
	return fullWeight
}

// recentSlots bounds the memory of finished requests: 64 KB. A hot request
// comes back before 4,096 others took its slot.
const recentSlots = 4096

// recent remembers requests that finished lately; a new one takes the slot of
// an older one.
type recent struct {
	slots [recentSlots]finish
}

type finish struct {
	fingerprint uint64
	at          time.Duration
	ever        bool
}

func (f finish) counts(now, remember time.Duration) bool { return f.ever && now-f.at < remember }

func (r *recent) add(f finish) { r.slots[f.fingerprint%recentSlots] = f }

func (r *recent) find(f uint64) finish {
	if s := r.slots[f%recentSlots]; s.fingerprint == f {
		return s
	}
	return finish{}
}
