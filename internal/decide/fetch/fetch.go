// Package fetch decides from which peer a host fetches a large document that
// other hosts announced, and to how many peers a host uploads it at once.
//
// Operators add a thousand routes at once while a third of the hosts is cut off
// from the service that publishes them. Every host then needs the same hundred
// kilobytes at the same moment, on links of ten megabits a second and a tenth
// of a core. If each neighbour of a host sent it the document, and sent it
// again until an answer came, the links would be full of copies that nobody
// needs, answers would be delayed and more copies sent; requests and urgent
// updates would wait behind them for seconds.
//
// Therefore documents are announced, and a host that lacks one fetches it from
// one peer at a time. A host limits its uploads to the rate of its link and
// refers further peers to hosts that it has already sent the document, so the
// number of uploading hosts doubles with each round. The fleet is divided into
// parts, usually one per data centre, and a host prefers peers of its own part:
// a document is sent between data centres only if no host of a part has it.
//
// No type of the package is safe for concurrent use; times are on the monotonic
// clock.
package fetch

import (
	"math/rand/v2"
	"slices"
	"time"

	"filbertdeck/internal/directory"
)

// Config holds the settings.
type Config struct {
	// RemoteDelay is how long the host that ranks first in its part of the
	// fleet must have lacked what was announced before it asks a peer of
	// another part. Each further rank waits longer by RemoteRankDelay, for up
	// to MaxRemoteRank ranks, so that the first host to have the document can
	// give it to the others.
	RemoteDelay, RemoteRankDelay time.Duration
	MaxRemoteRank                int
	// BusyBackoff is the time until a peer that was busy is asked again;
	// FailureBackoff is that time for a peer that did not answer.
	BusyBackoff, FailureBackoff time.Duration
	// InitialTimeout bounds the first transfer. Each transfer that fails
	// doubles the next one's timeout, up to MaxTimeout: otherwise a transfer
	// over a slow link would time out and restart indefinitely.
	InitialTimeout, MaxTimeout time.Duration
	// StaleAfter is the time without an announcement after which a peer is
	// asked only if there is no other: it may be paused or cut off.
	StaleAfter time.Duration
}

// DefaultConfig returns the settings in use. A host asks for updates every
// 200 ms, so before it may ask another part it learns of any peer of its own part
// that has the document.
func DefaultConfig() Config {
	return Config{
		RemoteDelay: 250 * time.Millisecond, RemoteRankDelay: 500 * time.Millisecond, MaxRemoteRank: 3,
		BusyBackoff: 60 * time.Millisecond, FailureBackoff: 2 * time.Second,
		InitialTimeout: time.Second, MaxTimeout: 8 * time.Second, StaleAfter: 500 * time.Millisecond,
	}
}

// Outcome is the result of a transfer.
type Outcome int

// The outcomes of a transfer.
const (
	// OutcomeSucceeded means that the peer's document was applied, or was known here by
	// the time it arrived.
	OutcomeSucceeded Outcome = iota + 1
	// OutcomeBusy means that the peer's upload limit was reached.
	OutcomeBusy
	// OutcomeFailed means that the peer did not answer, or that what it sent can't be
	// used.
	OutcomeFailed
)

// PeerSelector decides from which peer one host fetches.
type PeerSelector struct {
	cfg     Config
	rng     *rand.Rand
	sources map[string]*source
	timeout time.Duration
	// held is the newest data that the host was known to hold, and behindSince
	// the time since which it has lacked something newer. Counted from the latest
	// announcement instead, the wait would never end while new data keep being
	// announced.
	held        Holding
	behindSince time.Duration
	inProgress  bool
}

// Holding says which published data a host holds.
type Holding struct {
	// Config is the version of the configuration, 0 for none.
	Config uint64
	// Records is the position of the store up to which all other records are
	// known.
	Records directory.Position
}

// Covers reports whether nothing in other is newer than in h.
func (h Holding) Covers(other Holding) bool {
	return other.Config <= h.Config && !other.Records.After(h.Records)
}

// Merge returns the newer of each part of two holdings.
func (h Holding) Merge(other Holding) Holding {
	if other.Records.After(h.Records) {
		h.Records = other.Records
	}
	h.Config = max(h.Config, other.Config)
	return h
}

// source is a peer that announced a document.
type source struct {
	announced Holding
	local     bool
	// lastAnnouncedAt is when the peer last announced a document.
	lastAnnouncedAt time.Duration
	// retryAt is the time from which the peer may be asked.
	retryAt time.Duration
}

// NewPeerSelector returns the state of a host that has received no announcements.
func NewPeerSelector(cfg Config, rng *rand.Rand) *PeerSelector {
	return &PeerSelector{cfg: cfg, rng: rng, sources: map[string]*source{}, timeout: cfg.InitialTimeout}
}

// RecordAnnouncement records what a peer holds; local is set if the peer belongs
// to this host's part of the fleet.
func (p *PeerSelector) RecordAnnouncement(now time.Duration, peer string, local bool, announced Holding) {
	if len(p.sources) == 0 {
		p.behindSince = now
	}
	s := p.sources[peer]
	if s == nil {
		s = &source{}
		p.sources[peer] = s
	}
	s.announced, s.local, s.lastAnnouncedAt = s.announced.Merge(announced), local, now
}

// StartTransfer returns the peer to fetch from and the timeout of the transfer.
// held is what this host holds, and rank its rank in its part of
// the fleet, 0 for the first. ok is false if there is no peer to ask now. The
// transfer counts as in progress until FinishTransfer.
func (p *PeerSelector) StartTransfer(now time.Duration, held Holding, rank int) (peer string, timeout time.Duration, ok bool) {
	p.dropOutdated(held)
	if p.held != (Holding{}) && !p.held.Covers(held) {
		p.behindSince = now
	}
	p.held = p.held.Merge(held)
	if p.inProgress || len(p.sources) == 0 {
		return "", 0, false
	}
	var local, remote []string
	for name, s := range p.sources {
		switch {
		case now < s.retryAt:
		case s.local:
			local = append(local, name)
		default:
			remote = append(remote, name)
		}
	}
	candidates := local
	if len(candidates) == 0 && now >= p.behindSince+p.cfg.RemoteDelay+time.Duration(min(rank, p.cfg.MaxRemoteRank))*p.cfg.RemoteRankDelay {
		candidates = remote
	}
	if len(candidates) == 0 {
		return "", 0, false
	}
	candidates = p.recentlyAnnounced(now, candidates)
	slices.Sort(candidates)
	p.inProgress = true
	return candidates[p.rng.IntN(len(candidates))], p.timeout, true
}

// recentlyAnnounced returns those of the peers that sent an announcement
// recently, or all of them if none did.
func (p *PeerSelector) recentlyAnnounced(now time.Duration, peers []string) []string {
	var out []string
	for _, name := range peers {
		if now-p.sources[name].lastAnnouncedAt < p.cfg.StaleAfter {
			out = append(out, name)
		}
	}
	if len(out) == 0 {
		return peers
	}
	return out
}

// IsBehind reports whether some peer holds data that this host lacked when
// it last chose a peer.
func (p *PeerSelector) IsBehind() bool { return len(p.sources) > 0 }

// dropOutdated removes the peers that hold nothing newer than held.
func (p *PeerSelector) dropOutdated(held Holding) {
	for name, s := range p.sources {
		if held.Covers(s.announced) {
			delete(p.sources, name)
		}
	}
}

// FinishTransfer ends the transfer in progress.
func (p *PeerSelector) FinishTransfer(now time.Duration, peer string, outcome Outcome) {
	p.inProgress = false
	s := p.sources[peer]
	switch outcome {
	case OutcomeSucceeded:
		p.timeout = p.cfg.InitialTimeout
	case OutcomeBusy:
		if s != nil {
			s.retryAt = now + p.cfg.BusyBackoff
		}
	case OutcomeFailed:
		p.timeout = min(2*p.timeout, p.cfg.MaxTimeout)
		if s != nil {
			s.retryAt = now + p.cfg.FailureBackoff
		}
	}
}
