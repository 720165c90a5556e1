package drain

import (
	"cmp"
	"time"
)

// Phase is a step of a planned stop.
type Phase int

// The steps, in their order.
const (
	// Serving: ready, takes work.
	Serving Phase = iota
	// Announced: not ready, and says so to balancer and peers, but still takes
	// work: they have not all heard it.
	Announced
	// Refusing: new work is refused as not run, with the time to come back; what
	// runs goes on.
	Refusing
	// Lingering: nothing runs; last answers leave the socket buffers, and
	// callers may still resume or fetch an answer.
	Lingering
	// Done: the process exits.
	Done
)

var phaseNames = [...]string{"serving", "announced", "refusing", "lingering", "done"}

// String names the phase as logs show it.
func (p Phase) String() string { return phaseNames[p] }

// ShutdownConfig holds the figures of a planned stop; the zero value of a field
// means its default.
type ShutdownConfig struct {
	// MinAnnounce is the least time between not ready and the first refusal.
	// Default 5 s: balancers probe every 1 to 2 s and take a host out after two
	// failed probes; the published list lags as much.
	MinAnnounce time.Duration
	// QuietPeriod is how long no new work has to have come before it is refused.
	// Default 2 s, a probe's period.
	QuietPeriod time.Duration
	// MaxAnnounce ends the wait for quiet. Default 15 s: a balancer that
	// ignores readiness sends for ever; its requests are refused then, which
	// cuts nothing.
	MaxAnnounce time.Duration
	// AcceptWhileBusy keeps taking new work, up to AnnounceLimit, while work is in
	// progress: the process can't end before that work does. A balancer that
	// has lost half of a data centre's hosts sends to those that are not ready
	// too, so refusing there costs callers a try for nothing (21 refusals on a
	// day on which three of eight hosts were stopped in turn).
	AcceptWhileBusy bool
	// LingerDuration follows the end of the last request. Default 1 s.
	LingerDuration time.Duration
	// DrainTimeout bounds the wait for running work; 0, the default, means none:
	// a report of 40,000 tokens at 61 ms runs for 41 minutes, and no planned
	// stop cuts it. Set it below the platform's own limit, if it has one, so
	// that callers get a typed end instead of a broken connection.
	DrainTimeout time.Duration
}

const (
	defaultAnnounceFor   = 5 * time.Second
	defaultQuietFor      = 2 * time.Second
	defaultAnnounceLimit = 15 * time.Second
	defaultStopLinger    = time.Second
)

// Shutdown is the planned stop of one process. It is not safe for concurrent use.
type Shutdown struct {
	cfg     ShutdownConfig
	phase   Phase
	since   time.Duration
	asked   time.Duration
	lastNew time.Duration
	cut     bool
}

// NewShutdown returns a process that serves.
func NewShutdown(cfg ShutdownConfig) *Shutdown {
	cfg.MinAnnounce = cmp.Or(cfg.MinAnnounce, defaultAnnounceFor)
	cfg.QuietPeriod = cmp.Or(cfg.QuietPeriod, defaultQuietFor)
	cfg.MaxAnnounce = cmp.Or(cfg.MaxAnnounce, defaultAnnounceLimit)
	cfg.LingerDuration = cmp.Or(cfg.LingerDuration, defaultStopLinger)
	return &Shutdown{cfg: cfg}
}

// Begin starts the stop; a second call changes nothing.
func (s *Shutdown) Begin(now time.Duration) {
	if s.phase == Serving {
		s.asked = now
		s.enter(now, Announced)
	}
}

// NoteArrival notes that new work came, whether it was taken or refused.
func (s *Shutdown) NoteArrival(now time.Duration) { s.lastNew = now }

// Step moves on. running counts the requests, streams and leases in progress.
// Call it on each change of running and a few times a second.
func (s *Shutdown) Step(now time.Duration, running int) Phase {
	switch s.phase {
	case Announced:
		if s.heard(now) && !s.busy(now, running) {
			s.enter(now, Refusing)
		}
	case Refusing:
		s.finish(now, running)
	case Lingering:
		if running > 0 { // a caller resumed
			s.enter(now, Refusing)
		} else if now-s.since >= s.cfg.LingerDuration {
			s.enter(now, Done)
		}
	}
	return s.phase
}

// heard tells whether the balancer has taken the process out.
func (s *Shutdown) heard(now time.Duration) bool {
	waited := now - s.since
	quiet := now-s.lastNew >= s.cfg.QuietPeriod
	return (waited >= s.cfg.MinAnnounce && quiet) || waited >= s.cfg.MaxAnnounce
}

// busy tells whether running work keeps the process open.
func (s *Shutdown) busy(now time.Duration, running int) bool {
	return s.cfg.AcceptWhileBusy && running > 0 && now-s.since < s.cfg.MaxAnnounce
}

func (s *Shutdown) finish(now time.Duration, running int) {
	if running == 0 {
		s.enter(now, Lingering)
		return
	}
	if s.cfg.DrainTimeout > 0 && now-s.asked >= s.cfg.DrainTimeout {
		s.cut = true
		s.enter(now, Done)
	}
}

func (s *Shutdown) enter(now time.Duration, p Phase) { s.phase, s.since = p, now }

// Phase is the step that the stop is in.
func (s *Shutdown) Phase() Phase { return s.phase }

// Ready is what the readiness probe answers.
func (s *Shutdown) Ready() bool { return s.phase == Serving }

// AcceptsNew tells whether new work is taken.
func (s *Shutdown) AcceptsNew() bool { return s.phase <= Announced }

// CutWork tells whether the stop ended with work in progress, by FinishLimit.
func (s *Shutdown) CutWork() bool { return s.cut }
