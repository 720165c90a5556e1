package gateway

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	gometrics "github.com/rcrowley/go-metrics"

	"filbertdeck/internal/call"
	"filbertdeck/internal/decide/poison"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/wake"
)

// Parameters of detecting requests that crash targets.
const (
	// maxExportedCrashes limits the crashes in one message to another host.
	maxExportedCrashes = 32
	// maxExportedSuspects limits the suspects of these crashes.
	maxExportedSuspects = 256
	// maxExportedCompletions limits the completions of suspects in one message.
	maxExportedCompletions = 64
	// maxSuspectsPerCrash limits the requests kept for one crash. Few have begun at a target
	// within the time in which a request ends it.
	maxSuspectsPerCrash = 64
	// poisonRetryAfter is returned to the caller of a request that crashes
	// targets. The request did not run and will not run soon, so an early retry
	// is pointless.
	poisonRetryAfter = 10 * time.Second
)

// CrashEvidence keeps the evidence, from this host and from others, against
// requests that crash the targets that run them. It is safe for concurrent use.
type CrashEvidence struct {
	now func() time.Duration
	log *slog.Logger
	// recorded counts the crashes that this host recorded, learned the messages of other
	// hosts that brought new evidence, unverified the failures of targets, with broken
	// connections, that were not recorded as crashes.
	recorded, learned, unverified gometrics.Counter
	// testRuns counts the requests known to crash targets that ran to see whether that was
	// still so.
	testRuns gometrics.Counter
	// runsEnded counts the runs that were ended since their requests had come to be refused.
	runsEnded gometrics.Counter

	mu       sync.Mutex
	detector *poison.Detector
	// runs holds the runs at each target that may end it, oldest first.
	runs map[directory.Lifetime][]*targetRun
	// sweptAt is when the runs at all targets were last pruned.
	sweptAt time.Duration
	// refused holds the verdicts that were logged last, by feature.
	refused map[uint64]int
	// undecided holds the numbers of crashes that were logged last for features that are not
	// refused, by feature.
	undecided map[uint64]int
	// changed is signalled when there is new evidence for other hosts.
	changed chan struct{}
}

// NewCrashEvidence returns a CrashEvidence that holds no evidence yet.
func NewCrashEvidence(now func() time.Duration, log *slog.Logger, reg gometrics.Registry) *CrashEvidence {
	s := &CrashEvidence{
		now: now, log: log, detector: poison.New(poison.Config{TestSpread: rand.Float64(), MaxSuspectsPerCrash: maxSuspectsPerCrash}), runs: map[directory.Lifetime][]*targetRun{},
		changed:    make(chan struct{}, 1),
		recorded:   gometrics.GetOrRegisterCounter("gateway.crashes_recorded", reg),
		learned:    gometrics.GetOrRegisterCounter("gateway.crashes_learned", reg),
		unverified: gometrics.GetOrRegisterCounter("gateway.crashes_unverified", reg),
		runsEnded:  gometrics.GetOrRegisterCounter("gateway.crash_runs_ended", reg),
		testRuns:   gometrics.GetOrRegisterCounter("gateway.crash_test_runs", reg),
	}
	_ = reg.Register("gateway.crash_suspects", gometrics.NewFunctionalGauge(s.suspectCount))
	_ = reg.Register("gateway.crash_undecided", gometrics.NewFunctionalGauge(s.undecidedCount))
	_ = reg.Register("gateway.crash_verdicts", gometrics.NewFunctionalGauge(s.verdictCount))
	return s
}

// verdictCount returns the number of features that are refused.
func (s *CrashEvidence) verdictCount() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logVerdicts()
	return int64(len(s.refused))
}

// undecidedCount returns the number of features in many crashes that are not refused.
func (s *CrashEvidence) undecidedCount() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logVerdicts()
	return int64(len(s.undecided))
}

// logUndecided logs which features are in many crashes and not refused, again after each
// further crash. The caller holds the mutex.
func (s *CrashEvidence) logUndecided() {
	undecided := map[uint64]int{}
	for _, u := range s.detector.Undecided(s.now()) {
		undecided[u.Feature] = u.Crashes
		if u.Crashes > s.undecided[u.Feature] {
			s.log.Info("not refused in spite of crashes", "feature", fmt.Sprintf("%016x", u.Feature), "part", u.Part,
				"crashes", u.Crashes, "weight", u.Weight, "span", u.Span, "completed", u.Completed)
		}
	}
	s.undecided = undecided
}

// logVerdicts logs which verdicts came and went. The caller holds the mutex.
func (s *CrashEvidence) logVerdicts() {
	s.logUndecided()
	refused := s.detector.Refused(s.now())
	isNew := false
	for f, crashes := range refused {
		if _, before := s.refused[f]; !before {
			isNew = true
			s.log.Warn("requests are refused since they crash targets", "feature", fmt.Sprintf("%016x", f), "crashes", crashes)
		}
	}
	for f := range s.refused {
		if _, still := refused[f]; !still {
			s.log.Info("requests are no longer refused", "feature", fmt.Sprintf("%016x", f))
		}
	}
	s.refused = refused
	if isNew {
		s.endRefusedRuns()
	}
}

// suspectCount returns the number of requests, and of parts of prompts, for which there is
// evidence.
func (s *CrashEvidence) suspectCount() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(s.detector.SuspectCount(s.now()))
}

// Changed returns a channel that receives when there is new evidence for other
// hosts.
func (s *CrashEvidence) Changed() <-chan struct{} { return s.changed }

// fingerprint identifies a request across attempts: a retry has the same
// account, method, host, URI and body, but another id.
func fingerprint(x *exchange) uint64 {
	d := xxhash.New()
	for _, part := range []string{accountName(x.account), x.Method, x.Host, x.URI} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(x.Body)
	return d.Sum64()
}

// maxPromptParts bounds the parts of a prompt that are kept as evidence.
const maxPromptParts = 16

// promptParts identifies the parts of a prompt that the request shares with others: all
// but the last.
func promptParts(p call.Prompt) []uint64 {
	if len(p.Segments) < 2 {
		return nil
	}
	shared := p.Segments[:min(len(p.Segments)-1, maxPromptParts)]
	parts := make([]uint64, len(shared))
	for i, segment := range shared {
		d := xxhash.New()
		for _, text := range []string{"part", p.Model, segment.ID} {
			_, _ = d.WriteString(text)
			_, _ = d.Write([]byte{0})
		}
		parts[i] = d.Sum64()
	}
	return parts
}

// identityOf identifies the request of an attempt.
func identityOf(s *call.Attempt) poison.Request {
	return poison.Request{Fingerprint: s.Fingerprint, Parts: s.PromptParts}
}

// admit is check for a request that arrives. testRun is set if the request is known to
// crash targets and may run once, to see whether that is still so.
func (s *CrashEvidence) admit(request poison.Request) (testRun bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.detector.Assess(s.now(), request)
	if a.TestRun {
		s.detector.TakeTestRun(s.now(), request)
		s.testRuns.Inc(1)
		return true, nil
	}
	return false, refusalOf(a)
}

// check returns an error of kind KindPoison if a request is known to crash targets. Every
// way on which a request leaves this host for a target asks it right before the first
// byte is written.
func (s *CrashEvidence) check(request poison.Request) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return refusalOf(s.detector.Assess(s.now(), request))
}

// refusalOf returns the failure of a request that is known to crash targets, nil for others.
func refusalOf(a poison.Assessment) error {
	if a.Verdict != poison.Blocked {
		return nil
	}
	what := "the request"
	if a.Feature > 0 {
		what = fmt.Sprintf("part %d of the prompt", a.Feature)
	}
	return failure.New(failure.KindPoison, "%s crashed every target that ran it: %d crashes, the last %s ago", what, a.Crashes, a.SinceLast).WithRetryAfter(poisonRetryAfter)
}

// recordCrash records that a target crashed at a time while it ran the suspects.
func (s *CrashEvidence) recordCrash(target *directory.ObservedTarget, at time.Duration, suspects []poison.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := poison.CrashID(target.ID, uint64(target.StartedUnixMilli))
	s.detector.AddCrash(at, id, suspects)
	s.recorded.Inc(1)
	s.log.Warn("target crashed", "target", target.ID, "started", target.StartedUnixMilli, "crash", fmt.Sprintf("%016x", id), "age", s.now()-at, "suspects", len(suspects))
	s.logVerdicts()
	wake.Signal(s.changed)
}

// recordUnverified records that the connections to a target broke, and why that is not
// recorded as a crash.
func (s *CrashEvidence) recordUnverified(target *directory.ObservedTarget, suspects int, reason string) {
	s.unverified.Inc(1)
	s.log.Info("crash not recorded", "target", target.ID, "started", target.StartedUnixMilli, "suspects", suspects, "reason", reason)
}

// Export returns the evidence for other hosts.
func (s *CrashEvidence) Export() []poison.Crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	crashes := s.detector.Export(s.now(), maxExportedCrashes)
	suspects := 0
	for i, c := range crashes {
		if suspects += len(c.Suspects); i > 0 && suspects > maxExportedSuspects {
			return crashes[:i]
		}
	}
	return crashes
}

// Merge merges the evidence of another host.
func (s *CrashEvidence) Merge(crashes []poison.Crash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range crashes {
		if !s.detector.Knows(c.ID) {
			s.log.Info("crash learned from another host", "crash", fmt.Sprintf("%016x", c.ID), "age", c.Age, "suspects", len(c.Suspects))
		}
	}
	if s.detector.Merge(s.now(), crashes) {
		s.learned.Inc(1)
		s.logVerdicts()
		wake.Signal(s.changed)
	}
}

// ExportCompletions returns the completions of suspects for other hosts.
func (s *CrashEvidence) ExportCompletions() []poison.Completion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.detector.ExportCompletions(s.now(), maxExportedCompletions)
}

// MergeCompletions merges the completions of suspects that another host knows.
func (s *CrashEvidence) MergeCompletions(completions []poison.Completion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.detector.MergeCompletions(s.now(), completions) {
		s.logVerdicts()
		wake.Signal(s.changed)
	}
}
