// Package fetch decides from whom a host gets a large document that other
// hosts announced, and to how many a host gives it.
//
// Load pattern: operators add a thousand routes at once while a third of the
// hosts is cut off from where they are published. Every host then needs the
// same hundred kilobytes at the same moment, on links of ten megabits a second
// and a tenth of a core.
//
// What happens without it: each neighbour of a host sends it the document, and
// sends it again until an answer has come. The links are full of copies that
// nobody needs, answers come later, so more copies are sent; requests and
// news that are urgent wait behind them for seconds.
//
// How it works: documents are announced, and fetched by those that lack them,
// from one peer at a time. Who gives a document away gives no more of it at
// once than its link carries, and names others that have it by now; so the
// number of those that give it doubles with each round. Peers of the same part
// of the fleet go first: between data centres a document goes only where a
// part has nobody else.
//
// Neither type is safe for concurrent use; times are on the steady clock.
package fetch

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Config holds the figures.
type Config struct {
	// FarAfter is how long the host that ranks first in its part of the fleet has
	// to lack what was announced before it asks a peer of another part for it.
	// Each further rank waits FarStep longer, up to FarRanks of them, so that
	// the first to have it can give it to the others.
	FarAfter, FarStep time.Duration
	FarRanks          int
	// BusyPause is the time until a peer that was busy is asked again,
	// FailedPause until one that did not answer is.
	BusyPause, FailedPause time.Duration
	// FirstTimeout bounds the first transfer; each that runs into its timeout
	// doubles the next one's, up to LastTimeout: a document that is on its way
	// over a slow link would else be begun anew for ever.
	FirstTimeout, LastTimeout time.Duration
	// LateAfter is the time without an announcement after which a peer is asked
	// only when there is no other: it may stand still or be cut off.
	LateAfter time.Duration
}

// DefaultConfig gives the figures in use. A host asks for news every 200 ms, so a
// peer of its own part that has the document is heard of within FarAfter.
func DefaultConfig() Config {
	return Config{
		FarAfter: 250 * time.Millisecond, FarStep: 500 * time.Millisecond, FarRanks: 3,
		BusyPause: 60 * time.Millisecond, FailedPause: 2 * time.Second,
		FirstTimeout: time.Second, LastTimeout: 8 * time.Second, LateAfter: 500 * time.Millisecond,
	}
}

// Outcome says how a transfer ended.
type Outcome int

// The outcomes of a transfer.
const (
	// Succeeded: the peer's document was taken, or was known by then.
	Succeeded Outcome = iota + 1
	// Busy: the peer gives to as many others as it can.
	Busy
	// Failed: the peer did not answer, or what it gave can't be used.
	Failed
)

// PeerSelector decides from whom one host fetches.
type PeerSelector struct {
	cfg     Config
	draw    *rand.Rand
	peers   map[string]*source
	timeout time.Duration
	// held is the newest revision that the host was known to hold, since when it
	// lacks something newer: not when the newest was announced, or a host would
	// wait for as long as there is anything new.
	held    uint64
	since   time.Duration
	fetches bool
}

// source is a peer that announced a document.
type source struct {
	revision uint64
	near     bool
	// heard is when it was last heard of.
	heard time.Duration
	// after is the time from which it may be asked.
	after time.Duration
}

// NewPeerSelector returns a plan that has heard of nobody.
func NewPeerSelector(cfg Config, draw *rand.Rand) *PeerSelector {
	return &PeerSelector{cfg: cfg, draw: draw, peers: map[string]*source{}, timeout: cfg.FirstTimeout}
}

// RecordAnnouncement notes that a peer holds a revision; near tells that it belongs to
// this host's part of the fleet.
func (p *PeerSelector) RecordAnnouncement(now time.Duration, peer string, near bool, revision uint64) {
	if len(p.peers) == 0 {
		p.since = now
	}
	s := p.peers[peer]
	if s == nil {
		s = &source{}
		p.peers[peer] = s
	}
	s.revision, s.near, s.heard = max(s.revision, revision), near, now
}

// StartTransfer gives the peer to fetch from, and the time to allow, when this host
// holds a revision and has a rank in its part of the fleet, 0 for the first;
// false when there is nobody to ask now. The transfer counts as begun until
// Done.
func (p *PeerSelector) StartTransfer(now time.Duration, held uint64, rank int) (peer string, timeout time.Duration, ok bool) {
	p.forget(held)
	if p.held > 0 && held > p.held {
		p.since = now
	}
	p.held = max(p.held, held)
	if p.fetches || len(p.peers) == 0 {
		return "", 0, false
	}
	var near, far []string
	for name, s := range p.peers {
		switch {
		case now < s.after:
		case s.near:
			near = append(near, name)
		default:
			far = append(far, name)
		}
	}
	from := near
	if len(from) == 0 && now >= p.since+p.cfg.FarAfter+time.Duration(min(rank, p.cfg.FarRanks))*p.cfg.FarStep {
		from = far
	}
	if len(from) == 0 {
		return "", 0, false
	}
	from = p.heardLately(now, from)
	slices.Sort(from)
	p.fetches = true
	return from[p.draw.IntN(len(from))], p.timeout, true
}

// heardLately gives those of some peers that were heard of lately; all where none
// was.
func (p *PeerSelector) heardLately(now time.Duration, peers []string) []string {
	var out []string
	for _, name := range peers {
		if now-p.peers[name].heard < p.cfg.LateAfter {
			out = append(out, name)
		}
	}
	if len(out) == 0 {
		return peers
	}
	return out
}

// IsBehind tells whether some peer holds what this host lacked at the last Next.
func (p *PeerSelector) IsBehind() bool { return len(p.peers) > 0 }

// forget drops peers that hold nothing newer.
func (p *PeerSelector) forget(held uint64) {
	for name, s := range p.peers {
		if s.revision <= held {
			delete(p.peers, name)
		}
	}
}

// FinishTransfer ends the transfer that Next began.
func (p *PeerSelector) FinishTransfer(now time.Duration, peer string, outcome Outcome) {
	p.fetches = false
	s := p.peers[peer]
	switch outcome {
	case Succeeded:
		p.timeout = p.cfg.FirstTimeout
	case Busy:
		if s != nil {
			s.after = now + p.cfg.BusyPause
		}
	case Failed:
		p.timeout = min(2*p.timeout, p.cfg.LastTimeout)
		if s != nil {
			s.after = now + p.cfg.FailedPause
		}
	}
}
