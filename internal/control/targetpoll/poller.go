// Package targetpoll polls the load reports of targets.
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
	// pollInterval is the time between two polls of a target's load. At the
	// planned fleet size a node polls the four targets of one pool; one report
	// has about 300 bytes.
	pollInterval = 500 * time.Millisecond
	// pollTimeout bounds one request; a target that does not answer in time is
	// polled over a new connection.
	pollTimeout = time.Second
	// standbyPollRounds is the number of poll intervals between two polls by a
	// standby of the pool's owner that admits nothing at present: two standbys
	// that poll at the full rate would cause two thirds of all polls.
	standbyPollRounds = 10
	// cachePollRounds is the number of load polls between two polls of cache
	// events, which are published with a delay anyway.
	cachePollRounds = 4
	// maxReportBytes bounds the size of a report.
	maxReportBytes = 256 << 10
)

// Sink receives a target's load reports.
type Sink func(admission.Report)

// HTTPClient sends a request once, without retries.
type HTTPClient interface {
	Do(req *http.Request) (*http.Response, error)
}

// loadReport is the body of a target's load report (docs/protocols.md).
type loadReport struct {
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

// Poller polls one target until its context ends.
type Poller struct {
	Target string
	Client HTTPClient
	Sink   Sink
	// AtFullRate reports whether the target is to be polled at the full rate.
	AtFullRate func() bool
	// Generation is set for model engines, which also publish cache events.
	Generation bool

	cacheSequence uint64
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for round := 0; ctx.Err() == nil; round++ {
		if p.AtFullRate() || round%standbyPollRounds == 0 {
			p.poll(ctx, p.Generation && round%cachePollRounds == 0)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// poll reads the target's load once. It delivers no report if the target cannot
// be read; the allocator notices by the age of the last report.
func (p *Poller) poll(ctx context.Context, includeCache bool) {
	requestedAt := time.Now()
	var load loadReport
	if err := p.getJSON(ctx, "/v1/load", &load); err != nil {
		return
	}
	report := admission.Report{
		Target: p.Target, Incarnation: load.Incarnation, KVCapacityTokens: load.MemoryTokens, KVUsedTokens: load.UsedTokens,
		Running: load.Running, Waiting: load.Waiting, Preemptions: load.Preemptions, Capacity: load.Bears,
		StepTime: time.Duration(load.StepUS) * time.Microsecond, Stopping: load.Stopping,
	}
	if includeCache {
		p.readCache(ctx, &report)
	}
	// The age includes the duration of the request: an answer that was delayed
	// in a buffer must not look fresh.
	report.Age = time.Duration(load.AgeMS)*time.Millisecond + time.Since(requestedAt)
	p.Sink(report)
}

func (p *Poller) readCache(ctx context.Context, report *admission.Report) {
	var events cacheEvents
	if p.getJSON(ctx, "/v1/cache/events?after="+strconv.FormatUint(p.cacheSequence, 10), &events) != nil {
		return
	}
	p.cacheSequence = events.Sequence
	report.CachedPrefixes = parseHashes(events.Cached)
	report.EvictedPrefixes = parseHashes(events.Evicted)
}

func parseHashes(decimals []string) []uint64 {
	out := make([]uint64, 0, len(decimals))
	for _, t := range decimals {
		if h, err := strconv.ParseUint(t, 10, 64); err == nil {
			out = append(out, h)
		}
	}
	return out
}

func (p *Poller) getJSON(ctx context.Context, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Target+path, nil)
	if err != nil {
		return failure.Wrap(err, failure.KindInternal, "the request for the target's report could not be built")
	}
	resp, err := p.Client.Do(req)
	if err != nil {
		return failure.Wrap(err, failure.KindTargetLost, "the request for the target's report failed")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return failure.New(failure.KindTargetFailed, "the request for the target's report returned status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(out); err != nil {
		return failure.Wrap(err, failure.KindTargetFailed, "the target's report cannot be decoded")
	}
	return nil
}
