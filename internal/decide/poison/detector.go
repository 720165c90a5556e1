package poison

import (
	"cmp"
	"slices"
	"time"
)

// Config holds the parameters of a detector. A zero field means its default.
type Config struct {
	// CrashTTL is how long a crash counts. The default is 10 min: a caller that
	// retries with exponential back-off has returned by then, and requests are
	// not refused for long after the engine build was fixed.
	CrashTTL time.Duration
	// SuspectHold is how long a suspect is held after a crash, so that all
	// processes know of the crash before it runs again. The default is 5 s: a
	// periodic exchange once a second with one peer in each direction brings
	// what the push missed to 8 processes in 3 to 4 rounds.
	SuspectHold time.Duration
	// MassFailureTargets is the number of targets that must die within
	// MassFailureWindow for their crashes to count as a mass failure, which says
	// little about which requests to hold and isolate. The default is 3 targets
	// within 3 s: a poison request that is held for SuspectHold after each crash
	// can't kill three targets that quickly.
	MassFailureTargets int
	MassFailureWindow  time.Duration
	// MaxCrashes is the maximum number of crashes that are kept; the oldest are
	// removed first. The default is 128: at 130 host failures a day there is
	// one every 11 minutes.
	MaxCrashes int
	// TestInterval is the time after the last crash from which a request that is refused
	// may run once, to see whether the verdict still holds. The default is 15 s.
	TestInterval time.Duration
	// TestSpread, in [0, 1), is the share of a further TestInterval that this process
	// waits. It should differ between processes.
	TestSpread float64
	// MaxSuspectsPerCrash is the maximum number of requests kept per crash.
	// The default is 256, the largest batch of the known engines.
	MaxSuspectsPerCrash int
}

const (
	defaultCrashTTL            = 10 * time.Minute
	defaultSuspectHold         = 5 * time.Second
	defaultMassFailureTargets  = 3
	defaultMassFailureWindow   = 3 * time.Second
	defaultMaxCrashes          = 128
	defaultMaxSuspectsPerCrash = 256
	defaultTestInterval        = 15 * time.Second
)

func (c Config) withDefaults() Config {
	c.CrashTTL = cmp.Or(c.CrashTTL, defaultCrashTTL)
	c.SuspectHold = cmp.Or(c.SuspectHold, defaultSuspectHold)
	c.MassFailureTargets = cmp.Or(c.MassFailureTargets, defaultMassFailureTargets)
	c.MassFailureWindow = cmp.Or(c.MassFailureWindow, defaultMassFailureWindow)
	c.MaxCrashes = cmp.Or(c.MaxCrashes, defaultMaxCrashes)
	c.TestInterval = cmp.Or(c.TestInterval, defaultTestInterval)
	c.MaxSuspectsPerCrash = cmp.Or(c.MaxSuspectsPerCrash, defaultMaxSuspectsPerCrash)
	return c
}

// Verdict determines how a request may run.
type Verdict int

// The verdicts, from the least to the most restrictive.
const (
	// Clear requests run on any target.
	Clear Verdict = iota
	// Isolated requests run on a target without other suspects.
	Isolated
	// Exclusive requests run on a target without any other request.
	Exclusive
	// Blocked requests are refused at once.
	Blocked
)

// verdictNames are the names in metrics and logs, some of which differ from those of
// the constants.
var verdictNames = [...]string{Clear: "clear", Isolated: "apart", Exclusive: "alone", Blocked: "guilty"}

// String returns the name of the verdict in metrics and logs.
func (v Verdict) String() string { return verdictNames[v] }

// Assessment is the detector's decision about one request.
type Assessment struct {
	Verdict Verdict
	// Delay is how long the request must be held, 0 if it may run now. For a
	// request that is refused it is the time until the verdict expires.
	Delay time.Duration
	// Feature is what speaks against a request that is refused: 0 for all of its content,
	// else the number of the part. Crashes is the number of crashes, SinceLast the time
	// since the last one.
	Feature   int
	Crashes   int
	SinceLast time.Duration
	// TestRun is set if a request that is refused may run once, see TakeTestRun.
	TestRun bool
}

// Crash is the death of a target in the form in which it is gossiped.
type Crash struct {
	// ID is the same in all reports of one death, see CrashID.
	ID uint64
	// Age is the time since the death.
	Age time.Duration
	// Suspects are the requests that ran on the target, the latest start first.
	Suspects []Request
}

// Completion is the last completion of a request with a feature that suspects have, in the
// form in which it is gossiped.
type Completion struct {
	Feature uint64
	// Age is the time since the completion.
	Age time.Duration
}

// Detector holds the evidence that one process has. It is not safe for
// concurrent use.
type Detector struct {
	cfg      Config
	crashes  []crash
	evidence map[uint64]featureEvidence
	// outdated is set if evidence has not been computed since the last news.
	outdated bool
	// undecided are the features in many crashes that are not refused.
	undecided []Undecided
	// nextExpiry is when the evidence changes without news.
	nextExpiry  time.Duration
	completions recentCompletions
	tests       testRuns
}

// New returns a detector without evidence.
func New(cfg Config) *Detector {
	cfg = cfg.withDefaults()
	return &Detector{
		cfg: cfg, evidence: map[uint64]featureEvidence{},
		tests: testRuns{interval: cfg.TestInterval, longest: cfg.CrashTTL, spread: cfg.TestSpread, last: map[uint64]time.Duration{}},
	}
}

// AddCrash records that a target died at a time while it ran some requests, the latest
// start first. The death of an idle target is recorded too, because it can indicate a mass
// failure.
func (d *Detector) AddCrash(at time.Duration, id uint64, suspects []Request) {
	if d.add(crash{id: id, at: at, suspects: suspects}) {
		d.outdated = true
	}
}

// AddCompletion records that a request completed. It reports whether that speaks for a
// suspect, so that other processes should be told.
func (d *Detector) AddCompletion(now time.Duration, r Request) bool {
	d.refresh(now)
	speaks := false
	for i, f := range r.features() {
		speaks = d.addCompletion(completion{feature: f, part: i > 0, at: now, valid: true}) || speaks
	}
	d.outdated = d.outdated || speaks
	return speaks
}

// addCompletion records a completion unless a later one is known. It reports whether it
// is the first one since a crash that a request with the feature was in.
func (d *Detector) addCompletion(c completion) bool {
	e, suspected := d.evidence[c.feature]
	if !suspected {
		if known := d.completions.find(c.feature); !known.valid || c.at > known.at {
			d.completions.add(c)
		}
		return false
	}
	if e.lastCompletion.valid && (c.at <= e.lastCompletion.at || e.lastCompletion.at > e.lastCrash) {
		return false
	}
	d.completions.add(c)
	e.lastCompletion = c
	d.evidence[c.feature] = e
	return true
}

// Assess determines how a request may run now.
func (d *Detector) Assess(now time.Duration, r Request) Assessment {
	d.refresh(now)
	if len(d.evidence) == 0 {
		return Assessment{}
	}
	if refusal, refused := d.assessRefusal(now, r); refused {
		return refusal
	}
	e := d.evidence[r.Fingerprint]
	switch {
	case e.weight < fullWeight:
		return Assessment{}
	case e.weight >= exclusiveWeight:
		return Assessment{Verdict: Exclusive, Delay: d.remainingHold(now, e)}
	default:
		return Assessment{Verdict: Isolated, Delay: d.remainingHold(now, e)}
	}
}

// assessRefusal returns the refusal of a request that has a refused feature and what came
// with it.
func (d *Detector) assessRefusal(now time.Duration, r Request) (refusal Assessment, refused bool) {
	testRun := true
	for i, f := range r.features() {
		e := d.evidence[f]
		if !e.refused || !r.hasAll(e.with) {
			continue
		}
		testRun = testRun && d.tests.isDue(now, i, f, e) && d.isConclusive(r, f)
		if !refused {
			refusal = Assessment{Verdict: Blocked, Delay: e.expires - now, Feature: i, Crashes: e.crashes, SinceLast: now - e.lastCrash}
			refused = true
		}
	}
	refusal.TestRun = refused && testRun
	return refusal, refused
}

func (d *Detector) remainingHold(now time.Duration, e featureEvidence) time.Duration {
	return max(0, e.lastCrash+d.cfg.SuspectHold-now)
}

// MayShare reports whether a request may join a target that runs requests with
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

// Export returns up to limit crashes for gossip, the latest first.
func (d *Detector) Export(now time.Duration, limit int) []Crash {
	d.refresh(now)
	out := make([]Crash, 0, min(limit, len(d.crashes)))
	for i := len(d.crashes) - 1; i >= 0 && len(out) < limit; i-- {
		c := d.crashes[i]
		out = append(out, Crash{ID: c.id, Age: now - c.at, Suspects: c.suspects})
	}
	return out
}

// Merge adds the evidence of another process and reports whether any of it was
// new. The caller must then pass it on to other processes at once.
func (d *Detector) Merge(now time.Duration, crashes []Crash) bool {
	changed := false
	for _, c := range crashes {
		if c.Age < 0 || c.Age >= d.cfg.CrashTTL {
			continue
		}
		if d.add(crash{id: c.ID, at: now - c.Age, suspects: c.Suspects}) {
			changed = true
		}
	}
	d.outdated = d.outdated || changed
	return changed
}

// ExportCompletions returns up to limit completions of suspects for gossip, the latest
// first.
func (d *Detector) ExportCompletions(now time.Duration, limit int) []Completion {
	d.refresh(now)
	var out []Completion
	for f, e := range d.evidence {
		if e.lastCompletion.isRecent(now, d.cfg.CrashTTL) {
			out = append(out, Completion{Feature: f, Age: now - e.lastCompletion.at})
		}
	}
	slices.SortFunc(out, func(a, b Completion) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Feature, b.Feature))
	})
	return out[:min(len(out), limit)]
}

// MergeCompletions adds what another process knows of completions, after the crashes of
// the same message. It reports whether any speaks for a suspect, like AddCompletion.
func (d *Detector) MergeCompletions(now time.Duration, completions []Completion) bool {
	d.refresh(now)
	changed := false
	for _, c := range completions {
		if c.Age >= 0 && c.Age < d.cfg.CrashTTL && d.addCompletion(completion{feature: c.Feature, at: now - c.Age, valid: true}) {
			changed = true
		}
	}
	d.outdated = d.outdated || changed
	return changed
}

// IsSuspected reports whether crashes speak against a request, of which nothing has
// completed since.
func (d *Detector) IsSuspected(now time.Duration, r Request) bool {
	d.refresh(now)
	for _, f := range r.features() {
		if e, found := d.evidence[f]; found && !e.isCleared() {
			return true
		}
	}
	return false
}

// Refused returns the number of crashes that speak against each refused feature.
func (d *Detector) Refused(now time.Duration) map[uint64]int {
	d.refresh(now)
	refused := map[uint64]int{}
	for f, e := range d.evidence {
		if e.refused {
			refused[f] = e.crashes
		}
	}
	return refused
}

// Undecided returns the features that are in as many crashes as lead to a refusal, and are
// not refused.
func (d *Detector) Undecided(now time.Duration) []Undecided {
	d.refresh(now)
	return d.undecided
}

// Knows reports whether a crash is among the evidence.
func (d *Detector) Knows(id uint64) bool {
	return slices.ContainsFunc(d.crashes, func(c crash) bool { return c.id == id })
}

// SuspectCount returns the number of features for which there is evidence.
func (d *Detector) SuspectCount(now time.Duration) int {
	d.refresh(now)
	return len(d.evidence)
}
