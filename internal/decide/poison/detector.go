package poison

import (
	"cmp"
	"time"
)

// Config holds the detector's figures; the zero value of a field means its
// default.
type Config struct {
	// Remember is how long a crash counts. Default 10 min: a caller that
	// retries with doubling back-off has come back by then, and a fixed engine
	// build is not refused for long.
	Remember time.Duration
	// SpreadFor is how long a suspect is held after a crash, so that its next
	// run meets a fleet that knows. Default 5 s: what the push missed, an
	// exchange a second with one peer each way brings to 8 processes in 3 to 4
	// rounds.
	SpreadFor time.Duration
	// MassTargets and MassWindow tell a common cause from single crashes.
	// Default 3 targets within 3 s: a poison that is held for SpreadFor after
	// each crash can't kill three targets so quickly.
	MassTargets int
	MassWindow  time.Duration
	// MaxCrashes bounds the crashes that are kept, the latest first. Default
	// 128: at 130 host failures a day one is seen every 11 minutes.
	MaxCrashes int
	// MaxSuspects bounds the fingerprints kept of one crash. Default 256, the
	// largest batch of the engines we know of.
	MaxSuspects int
}

const (
	defaultRemember    = 10 * time.Minute
	defaultSpreadFor   = 5 * time.Second
	defaultMassTargets = 3
	defaultMassWindow  = 3 * time.Second
	defaultMaxCrashes  = 128
	defaultMaxSuspects = 256
)

func (c Config) withDefaults() Config {
	c.Remember = cmp.Or(c.Remember, defaultRemember)
	c.SpreadFor = cmp.Or(c.SpreadFor, defaultSpreadFor)
	c.MassTargets = cmp.Or(c.MassTargets, defaultMassTargets)
	c.MassWindow = cmp.Or(c.MassWindow, defaultMassWindow)
	c.MaxCrashes = cmp.Or(c.MaxCrashes, defaultMaxCrashes)
	c.MaxSuspects = cmp.Or(c.MaxSuspects, defaultMaxSuspects)
	return c
}

// Verdict says how a request may run.
type Verdict int

// The verdicts, from the mildest on.
const (
	// Clear requests run anywhere.
	Clear Verdict = iota
	// Isolated requests run on a target without other suspects.
	Isolated
	// Exclusive requests run on a target without any other request.
	Exclusive
	// Blocked requests are refused at once.
	Blocked
)

var verdictNames = [...]string{Clear: "clear", Isolated: "apart", Exclusive: "alone", Blocked: "guilty"}

// String names the verdict as counters and logs show it.
func (v Verdict) String() string { return verdictNames[v] }

// Ruling is what the detector says of one request.
type Ruling struct {
	Verdict Verdict
	// Wait is how long the request must not run yet, 0 when it may run now.
	// Of a guilty request it is the time until the verdict ends.
	Wait time.Duration
}

// Crash is one death of a target, as it is gossiped.
type Crash struct {
	// ID is equal for reports of the same death: see CrashID.
	ID uint64
	// Age is the time since the death.
	Age time.Duration
	// Fingerprints are the requests that ran there, the latest start first.
	Fingerprints []uint64
}

// Detector holds the evidence that one process has. It is not safe for
// concurrent use.
type Detector struct {
	cfg     Config
	crashes []crash
	index   map[uint64]evidence
	expires time.Duration
	cleared recent
}

// New returns a detector without evidence.
func New(cfg Config) *Detector {
	return &Detector{cfg: cfg.withDefaults(), index: map[uint64]evidence{}}
}

// AddCrash notes that a target died while it ran the fingerprints, the latest
// start first. A target that died idle is noted too: it shows a common cause.
func (d *Detector) AddCrash(now time.Duration, id uint64, fingerprints []uint64) {
	if d.add(crash{id: id, at: now, suspects: fingerprints}) {
		d.rebuild(now)
	}
}

// AddCompletion notes that a request ran to its end.
func (d *Detector) AddCompletion(now time.Duration, fingerprint uint64) {
	f := finish{fingerprint: fingerprint, at: now, ever: true}
	d.cleared.add(f)
	if e, suspected := d.index[fingerprint]; suspected {
		e.finished = f
		d.index[fingerprint] = e
		d.rebuild(now)
	}
}

// Assess says how a request may run now.
func (d *Detector) Assess(now time.Duration, fingerprint uint64) Ruling {
	if len(d.index) == 0 {
		return Ruling{}
	}
	if now >= d.expires {
		d.rebuild(now)
	}
	e := d.index[fingerprint]
	switch {
	case e.weight < fullWeight:
		return Ruling{}
	case e.weight >= guiltyWeight:
		return Ruling{Verdict: Blocked, Wait: e.expires - now}
	case e.weight >= aloneWeight:
		return Ruling{Verdict: Exclusive, Wait: d.hold(now, e)}
	default:
		return Ruling{Verdict: Isolated, Wait: d.hold(now, e)}
	}
}

func (d *Detector) hold(now time.Duration, e evidence) time.Duration {
	return max(0, e.last+d.cfg.SpreadFor-now)
}

// MayShare tells whether a request may join a target that runs requests with
// the given verdicts.
func MayShare(v Verdict, running []Verdict) bool {
	if v == Exclusive {
		return len(running) == 0
	}
	for _, other := range running {
		if other == Exclusive || (v == Isolated && other == Isolated) {
			return false
		}
	}
	return true
}

// Export gives the evidence for gossip, the latest crashes first, at most
// limit of them.
func (d *Detector) Export(now time.Duration, limit int) []Crash {
	d.rebuild(now)
	out := make([]Crash, 0, min(limit, len(d.crashes)))
	for i := len(d.crashes) - 1; i >= 0 && len(out) < limit; i-- {
		c := d.crashes[i]
		out = append(out, Crash{ID: c.id, Age: now - c.at, Fingerprints: c.suspects})
	}
	return out
}

// Merge takes evidence of another process. It tells whether any was new: then
// pass it on to other processes at once.
func (d *Detector) Merge(now time.Duration, crashes []Crash) bool {
	news := false
	for _, c := range crashes {
		if c.Age < 0 || c.Age >= d.cfg.Remember {
			continue
		}
		if d.add(crash{id: c.ID, at: now - c.Age, suspects: c.Fingerprints}) {
			news = true
		}
	}
	if news {
		d.rebuild(now)
	}
	return news
}

// Suspects is the number of fingerprints that crashes name.
func (d *Detector) Suspects() int { return len(d.index) }
