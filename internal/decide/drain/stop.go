package drain

import (
	"cmp"
	"time"
)

// Phase is a phase of a graceful shutdown.
type Phase int

// The phases, in order.
const (
	// Serving: the process is ready and accepts work.
	Serving Phase = iota
	// Announced: the process reports to load balancer and peers that it is not
	// ready, but still accepts work because some of them have not noticed yet.
	Announced
	// Refusing: new work is refused as not run, with a retry time. Work in
	// progress continues.
	Refusing
	// Lingering: no work is in progress. The last answers leave the socket
	// buffers, and callers may still resume or fetch an answer.
	Lingering
	// Done: the process exits.
	Done
)

var phaseNames = [...]string{"serving", "announced", "refusing", "lingering", "done"}

// String returns the name of the phase in logs.
func (p Phase) String() string { return phaseNames[p] }

// ShutdownConfig holds the parameters of a graceful shutdown. A zero field means
// its default.
type ShutdownConfig struct {
	// MinAnnounce is the minimum time between not being ready and the first
	// refusal. The default is 5 s: load balancers probe every 1 to 2 s and
	// remove a host after two failed probes, and the published list lags by as
	// much.
	MinAnnounce time.Duration
	// QuietPeriod is how long no new work must have arrived before new work is
	// refused. The default is 2 s, the period of a probe.
	QuietPeriod time.Duration
	// MaxAnnounce is the maximum time before new work is refused. The default
	// is 15 s: a load balancer that ignores readiness never stops sending.
	// Refusing its requests cuts no work.
	MaxAnnounce time.Duration
	// AcceptWhileBusy keeps the process accepting new work while work is in
	// progress, up to the maximum time above: the process can't end before that
	// work does. A load balancer that has lost half of a data centre's hosts
	// also sends to hosts that are not ready, so refusing there costs callers
	// an attempt for nothing. StopTimes says which requests may start.
	AcceptWhileBusy bool
	// LingerDuration is the time from the end of the last request to the exit. The
	// default is 1 s.
	LingerDuration time.Duration
	// DrainTimeout is the maximum time from the start of the shutdown that work
	// in progress may take. The default, 0, means no limit: a report of 40,000
	// tokens at 61 ms per token takes 41 minutes, and no planned stop cuts it.
	// If the platform has its own limit, set a lower one, so that callers get a
	// typed error instead of a broken connection.
	DrainTimeout time.Duration
}

const (
	defaultMinAnnounce    = 5 * time.Second
	defaultQuietPeriod    = 2 * time.Second
	defaultMaxAnnounce    = 15 * time.Second
	defaultLingerDuration = time.Second
)

// Shutdown is the graceful shutdown of one process. It is not safe for concurrent
// use.
type Shutdown struct {
	cfg         ShutdownConfig
	phase       Phase
	phaseSince  time.Duration
	beganAt     time.Duration
	lastArrival time.Duration
	cutWork     bool
}

// NewShutdown returns the state of a process that is serving.
func NewShutdown(cfg ShutdownConfig) *Shutdown {
	cfg.MinAnnounce = cmp.Or(cfg.MinAnnounce, defaultMinAnnounce)
	cfg.QuietPeriod = cmp.Or(cfg.QuietPeriod, defaultQuietPeriod)
	cfg.MaxAnnounce = cmp.Or(cfg.MaxAnnounce, defaultMaxAnnounce)
	cfg.LingerDuration = cmp.Or(cfg.LingerDuration, defaultLingerDuration)
	return &Shutdown{cfg: cfg}
}

// Begin starts the shutdown. Further calls have no effect.
func (s *Shutdown) Begin(now time.Duration) {
	if s.phase == Serving {
		s.beganAt = now
		s.enterPhase(now, Announced)
	}
}

// RecordArrival records the arrival of new work, whether it was accepted or refused.
func (s *Shutdown) RecordArrival(now time.Duration) { s.lastArrival = now }

// Step advances the shutdown and returns the phase. running is the number of
// requests, streams and leases in progress. Call it whenever running changes
// and several times a second.
func (s *Shutdown) Step(now time.Duration, running int) Phase {
	switch s.phase {
	case Announced:
		if s.announceDone(now) && !s.acceptsWhileBusy(now, running) {
			s.enterPhase(now, Refusing)
		}
	case Refusing:
		s.stepRefusing(now, running)
	case Lingering:
		if running > 0 { // a caller resumed
			s.enterPhase(now, Refusing)
		} else if now-s.phaseSince >= s.cfg.LingerDuration {
			s.enterPhase(now, Done)
		}
	}
	return s.phase
}

// announceDone reports whether the load balancer can be expected to have
// removed the process: the minimum time has passed and no work arrives any
// more, or the maximum time has passed.
func (s *Shutdown) announceDone(now time.Duration) bool {
	waited := now - s.phaseSince
	quiet := now-s.lastArrival >= s.cfg.QuietPeriod
	return (waited >= s.cfg.MinAnnounce && quiet) || waited >= s.cfg.MaxAnnounce
}

// acceptsWhileBusy reports whether work in progress keeps the process accepting
// new work.
func (s *Shutdown) acceptsWhileBusy(now time.Duration, running int) bool {
	return s.cfg.AcceptWhileBusy && running > 0 && now-s.phaseSince < s.cfg.MaxAnnounce
}

func (s *Shutdown) stepRefusing(now time.Duration, running int) {
	if running == 0 {
		s.enterPhase(now, Lingering)
		return
	}
	if s.cfg.DrainTimeout > 0 && now-s.beganAt >= s.cfg.DrainTimeout {
		s.cutWork = true
		s.enterPhase(now, Done)
	}
}

func (s *Shutdown) enterPhase(now time.Duration, p Phase) { s.phase, s.phaseSince = p, now }

// Phase returns the current phase.
func (s *Shutdown) Phase() Phase { return s.phase }

// Ready is the answer to the readiness probe.
func (s *Shutdown) Ready() bool { return s.phase == Serving }

// AcceptsNew reports whether new work is accepted.
func (s *Shutdown) AcceptsNew() bool { return s.phase <= Announced }

// TimedOut reports whether the shutdown reached its time limit and ended with work
// in progress.
func (s *Shutdown) TimedOut() bool { return s.cutWork }
