package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertdeck/internal/decide/poison"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/wake"
)

// Parameters of detecting requests that crash targets.
const (
	// crashCheckDelay is the time from a broken connection to the check whether
	// the target still listens: a crashed process is gone by then, and not back
	// for some seconds.
	crashCheckDelay = 60 * time.Millisecond
	// crashDialTimeout limits the check. A target that does not answer may be
	// cut off from this host, which proves nothing.
	crashDialTimeout = 300 * time.Millisecond
	// maxExportedCrashes limits the crashes in one message to another host.
	maxExportedCrashes = 32
	// poisonRetryAfter is returned to the caller of a request that crashes
	// targets. The request did not run and will not run soon, so an early retry
	// is pointless.
	poisonRetryAfter = 10 * time.Second
)

// CrashEvidence keeps the evidence, from this host and from others, against requests
// that crash the targets that run them. It is safe for concurrent use.
type CrashEvidence struct {
	now func() time.Duration

	mu       sync.Mutex
	detector *poison.Detector
	// running holds the fingerprints of the requests in progress at each
	// target, oldest first.
	running map[string][]uint64
	// checking holds the ids of possible crashes that are being checked.
	checking map[uint64]bool
	// changed is signalled when there is new evidence for other hosts.
	changed chan struct{}
}

// NewCrashEvidence returns a Suspects without evidence.
func NewCrashEvidence(now func() time.Duration) *CrashEvidence {
	return &CrashEvidence{
		now: now, detector: poison.New(poison.Config{}), running: map[string][]uint64{}, checking: map[uint64]bool{},
		changed: make(chan struct{}, 1),
	}
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

// isPoison reports whether a request is known to crash targets.
func (s *CrashEvidence) isPoison(fp uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.detector.Assess(s.now(), fp).Verdict == poison.Blocked
}

// beginRequest records that a request runs at a target. The returned function
// records its end and whether it finished there.
func (s *CrashEvidence) beginRequest(target *directory.ObservedTarget, fp uint64) (end func(finished bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[target.ID] = append(s.running[target.ID], fp)
	return func(finished bool) { s.endRequest(target.ID, fp, finished) }
}

func (s *CrashEvidence) endRequest(target string, fp uint64, finished bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	running := s.running[target]
	if i := slices.Index(running, fp); i >= 0 {
		running = slices.Delete(running, i, i+1)
	}
	s.running[target] = running
	if len(running) == 0 {
		delete(s.running, target)
	}
	if finished {
		s.detector.AddCompletion(s.now(), fp)
	}
}

// checkForCrash checks whether a target that broke a request's connection has
// crashed: it has if its address refuses connections. A broken answer alone
// proves nothing.
func (s *CrashEvidence) checkForCrash(target *directory.ObservedTarget, dial func(ctx context.Context, address string) error) {
	id := poison.CrashID(target.ID, uint64(target.StartedUnixMilli))
	s.mu.Lock()
	suspects := slices.Clone(s.running[target.ID])
	alreadyChecking := s.checking[id]
	s.checking[id] = true
	s.mu.Unlock()
	if alreadyChecking {
		return
	}
	time.AfterFunc(crashCheckDelay, func() {
		ctx, cancel := context.WithTimeout(context.Background(), crashDialTimeout)
		defer cancel()
		err := dial(ctx, target.Address)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.checking, id)
		if failure.KindOf(err) == failure.KindTargetFailed {
			// The detector expects the most recently started request first.
			slices.Reverse(suspects)
			s.detector.AddCrash(s.now(), id, suspects)
			wake.Signal(s.changed)
		}
	})
}

// Export returns the evidence for other hosts.
func (s *CrashEvidence) Export() []poison.Crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.detector.Export(s.now(), maxExportedCrashes)
}

// Merge merges the evidence of another host.
func (s *CrashEvidence) Merge(crashes []poison.Crash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.detector.Merge(s.now(), crashes) {
		wake.Signal(s.changed)
	}
}
