// Package drain takes work away without cutting any, and brings it back
// without a spike: a data centre that operators take out, a target that
// leaves, and a planned stop of one of our own processes.
//
// Load pattern: operators take a data centre out at short notice, while its
// engines run generations of tens of thousands of tokens, and bring it back an
// hour later, empty, beside two that are full. The platform restarts every
// process of the fleet on most days.
//
// What happens without it: new work still goes to the data centre by news that
// is seconds old, and is cut with its hosts. On return its backlogs are nil, so
// every entry sends everything there within a second; its caches are cold and
// its targets start, and they fall over. A process that closes its listener
// when told to stop refuses what the balancer still sends, and cuts streams.
//
// How it works: see Centres, MayStart and Stop.
package drain

import (
	"cmp"
	"slices"
	"time"
)

// RampConfig holds the figures of a data centre's return; the zero value of a field
// means its default.
type RampConfig struct {
	// RampFor is how long a data centre takes to come back to its full share.
	// Default 30 s: engines report a cold ramp of some ten seconds and fill
	// their prefix caches while they serve.
	RampFor time.Duration
	// FirstShare is the share right after the return. Default 0.05, what one
	// full data centre of three can take back should the return fail.
	FirstShare float64
}

const (
	defaultRampFor    = 30 * time.Second
	defaultFirstShare = 0.05
)

// DataCentres follows the operators' list of data centres that are taken out. It
// is not safe for concurrent use; publish Shares in a snapshot.
type DataCentres struct {
	cfg RampConfig
	out map[string]bool
	// returned is when a data centre was seen to be back.
	returned map[string]time.Duration
	known    bool
}

// NewDataCentres returns a follower that has seen no list: it takes no data centre
// for being out, but is not Ready.
func NewDataCentres(cfg RampConfig) *DataCentres {
	cfg.RampFor = cmp.Or(cfg.RampFor, defaultRampFor)
	cfg.FirstShare = cmp.Or(cfg.FirstShare, defaultFirstShare)
	return &DataCentres{cfg: cfg, out: map[string]bool{}, returned: map[string]time.Duration{}}
}

// SetDrained takes the list in force. A data centre that is no longer on it starts
// its ramp, one that is on it again is out at once.
func (c *DataCentres) SetDrained(now time.Duration, out []string) {
	for dc := range c.out {
		if !slices.Contains(out, dc) {
			delete(c.out, dc)
			c.returned[dc] = now
		}
	}
	for _, dc := range out {
		c.out[dc] = true
	}
	c.known = true
}

// Ready tells whether a list was seen. A process that has just started and
// knows none could send work to a data centre that is out; it must not serve
// before it has a list, from the configuration service or from a peer.
func (c *DataCentres) Ready() bool { return c.known }

// WorkShare is the part of its usual new work that a data centre takes: 0 while it
// is out, 1 in full service. While it returns the share grows evenly. Work in
// progress is not concerned.
func (c *DataCentres) WorkShare(now time.Duration, dc string) float64 {
	if c.out[dc] {
		return 0
	}
	since, returning := c.returned[dc]
	if !returning {
		return 1
	}
	done := float64(now-since) / float64(c.cfg.RampFor)
	return min(max(c.cfg.FirstShare, done), 1)
}

// MayStart tells whether new work may go to a target: neither it nor its data
// centre leaves. Ask it again after a wait in a queue, just before the grant:
// the answer from before the wait is too old.
func (c *DataCentres) MayStart(dc string, leaving bool) bool { return !leaving && !c.out[dc] }
