// Package drain takes data centres, targets and processes out of service
// without cutting work in progress, and returns data centres to service without
// a load spike.
//
// Operators drain a data centre at short notice, while its engines run
// generations of tens of thousands of tokens, and return it an hour later,
// empty, beside two that are full. The platform restarts every process of the
// fleet on most days.
//
// Without this package new work still goes to the drained data centre on
// information that is seconds old, and is cut when its hosts stop. When it
// returns, its backlogs are empty, so every entry sends it all work within a
// second; its caches are cold and its targets are still starting, and they fail
// under the load. A process that closes its listener as soon as it is told to
// stop refuses what the load balancer still sends, and cuts streams.
package drain

import (
	"cmp"
	"slices"
	"time"
)

// RampConfig holds the parameters of a data centre's return to service. A zero
// field means its default.
type RampConfig struct {
	// RampDuration is how long a data centre takes to return to its full share
	// of work. The default is 30 s: engines take about ten seconds to start up
	// cold, and fill their prefix caches while they serve.
	RampDuration time.Duration
	// InitialShare is the share of work right after the return. The default is
	// 0.05, which one full data centre of three can take over if the return
	// fails.
	InitialShare float64
}

const (
	defaultRampDuration = 30 * time.Second
	defaultInitialShare = 0.05
)

// DataCentres tracks the operators' list of drained data centres. It is not safe
// for concurrent use; publish the results in a snapshot.
type DataCentres struct {
	cfg     RampConfig
	drained map[string]bool
	// returnedAt is when a data centre was first seen to be off the list again.
	returnedAt map[string]time.Duration
	hasList    bool
}

// NewDataCentres returns a tracker that has seen no list yet. It treats no data
// centre as drained, but is not Ready.
func NewDataCentres(cfg RampConfig) *DataCentres {
	cfg.RampDuration = cmp.Or(cfg.RampDuration, defaultRampDuration)
	cfg.InitialShare = cmp.Or(cfg.InitialShare, defaultInitialShare)
	return &DataCentres{cfg: cfg, drained: map[string]bool{}, returnedAt: map[string]time.Duration{}}
}

// SetDrained records the current list. A data centre that is no longer on it starts
// its ramp; one that is added stops taking new work at once.
func (c *DataCentres) SetDrained(now time.Duration, drained []string) {
	for dc := range c.drained {
		if !slices.Contains(drained, dc) {
			delete(c.drained, dc)
			c.returnedAt[dc] = now
		}
	}
	for _, dc := range drained {
		c.drained[dc] = true
	}
	c.hasList = true
}

// Ready reports whether a list has been seen. A process that has just started
// and has no list could send work to a drained data centre, so it must not
// serve before it has received one from the configuration service or from a
// peer.
func (c *DataCentres) Ready() bool { return c.hasList }

// WorkShare returns the part of its usual new work that a data centre takes: 0
// while it is drained, 1 in full service, and a linearly growing value while it
// returns. Work in progress is not affected.
func (c *DataCentres) WorkShare(now time.Duration, dc string) float64 {
	if c.drained[dc] {
		return 0
	}
	since, returning := c.returnedAt[dc]
	if !returning {
		return 1
	}
	progress := float64(now-since) / float64(c.cfg.RampDuration)
	return min(max(c.cfg.InitialShare, progress), 1)
}

// AcceptsWork reports whether new work may go to a target: neither the target
// nor its data centre is being drained. After a wait in a queue, call it again
// just before the grant, because the earlier answer may be outdated.
func (c *DataCentres) AcceptsWork(dc string, leaving bool) bool { return !leaving && !c.drained[dc] }
