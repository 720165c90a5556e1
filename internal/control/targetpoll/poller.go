// Package targetpoll reads the load that targets report.
package targetpoll

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"filbertdeck/internal/decide/admission"
	"filbertdeck/internal/failure"
)

const (
	// pollEvery is how often a target's load is read. At the target size a node
	// polls the four targets of one pool; one report has some 300 bytes.
	pollEvery = 500 * time.Millisecond
	// pollLimit bounds one reading; a target that does not answer by then is
	// asked over a new connection.
	pollLimit = time.Second
	// slowEvery is how many intervals pass between two readings by a process
	// that only stands in for the pool's owner and admits nothing now: two such
	// processes at the full pace would be two thirds of all readings.
	slowEvery = 10
	// cacheEvery is how many load readings pass between two readings of cache
	// events, which come late anyway.
	cacheEvery = 4
	// maxReport bounds a report, in bytes.
	maxReport = 256 << 10
)

// Sink takes a target's report.
type Sink func(admission.Report)

// Doer sends a request once.
type Doer interface {
	Do(req *http.Request) (*http.Response, error)
}

// load is the body of a target's report (docs/protocols.md).
type load struct {
	Incarnation  uint64 `json:"incarnation"`
	AgeMS        int64  `json:"age_ms"`
	MemoryTokens int    `json:"memory_tokens"`
	UsedTokens   int    `json:"used_tokens"`
	Running      int    `json:"running"`
	Waiting      int    `json:"waiting"`
	Preemptions  uint64 `json:"preemptions"`
	Bears        int    `json:"bears"`
	StepUS       int64  `json:"step_us"`
	Stopping     bool   `json:"stopping"`
}

type cacheEvents struct {
	Sequence uint64   `json:"sequence"`
	Gap      bool     `json:"gap"`
	Cached   []string `json:"cached"`
	Evicted  []string `json:"evicted"`
}

// Poller reads one target until its context ends.
type Poller struct {
	Target string
	Client Doer
	Sink   Sink
	// Fast tells whether the target is to be read at the full pace.
	Fast func() bool
	// Generation is set for model engines, which publish cache events.
	Generation bool

	sequence uint64
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	ticker := time.NewTicker(pollEvery)
	defer ticker.Stop()
	for round := 0; ctx.Err() == nil; round++ {
		if p.Fast() || round%slowEvery == 0 {
			p.poll(ctx, p.Generation && round%cacheEvery == 0)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// poll reads the target once. A target that cannot be read reports nothing;
// the allocator notices by the age of the last report.
func (p *Poller) poll(ctx context.Context, withCache bool) {
	asked := time.Now()
	var l load
	if err := p.get(ctx, "/v1/load", &l); err != nil {
		return
	}
	report := admission.Report{
		Target: p.Target, Incarnation: l.Incarnation, MemoryTokens: l.MemoryTokens, UsedTokens: l.UsedTokens,
		Running: l.Running, Waiting: l.Waiting, Preemptions: l.Preemptions, Capacity: l.Bears,
		StepTime: time.Duration(l.StepUS) * time.Microsecond, Stopping: l.Stopping,
	}
	if withCache {
		p.readCache(ctx, &report)
	}
	// The age counts from before the question: an answer that lay in a buffer
	// must not look fresh.
	report.Age = time.Duration(l.AgeMS)*time.Millisecond + time.Since(asked)
	p.Sink(report)
}

func (p *Poller) readCache(ctx context.Context, report *admission.Report) {
	var events cacheEvents
	if p.get(ctx, "/v1/cache/events?after="+strconv.FormatUint(p.sequence, 10), &events) != nil {
		return
	}
	p.sequence = events.Sequence
	report.CachedPrefixes = hashes(events.Cached)
	report.EvictedPrefixes = hashes(events.Evicted)
}

func hashes(texts []string) []uint64 {
	out := make([]uint64, 0, len(texts))
	for _, t := range texts {
		if h, err := strconv.ParseUint(t, 10, 64); err == nil {
			out = append(out, h)
		}
	}
	return out
}

func (p *Poller) get(ctx context.Context, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, pollLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Target+path, nil)
	if err != nil {
		return failure.Wrap(err, failure.KindInternal, "the question to the target could not be made")
	}
	resp, err := p.Client.Do(req)
	if err != nil {
		return failure.Wrap(err, failure.KindTargetLost, "the target does not report")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return failure.New(failure.KindTargetFailed, "the target reports with status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReport)).Decode(into); err != nil {
		return failure.Wrap(err, failure.KindTargetFailed, "the target's report cannot be read")
	}
	return nil
}
