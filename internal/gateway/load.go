package gateway

import (
	"cmp"
	"math/rand/v2"
	"sync"
	"time"

	"filbertdeck/internal/call"
	"filbertdeck/internal/decide/coldshare"
	"filbertdeck/internal/decide/loadshare"
	"filbertdeck/internal/decide/placement"
	"filbertdeck/internal/directory"
)

// Loads counts what this host has running at each target and chooses targets
// by it.
type Loads struct {
	dataCentre string
	now        func() time.Duration

	mu    sync.Mutex
	own   map[string]*targetLoad
	share *loadshare.Board
	cold  ColdBound
	// changed is signalled when there are counts to tell other hosts, leaving
	// when a target was heard to leave.
	changed, leaving chan struct{}
}

// targetLoad is what runs at one target from this host.
type targetLoad struct {
	loadshare.Load
	// failedAt is when a request last failed there by the target's fault.
	failedAt time.Duration
	failures int
	// unreachableAt is when it could last not be reached.
	unreachableAt time.Duration
	// gate counts the sends while the target is cold.
	gate coldshare.Gate
}

// ColdBound bounds what all hosts send to a cold target in a second: its own
// rate times Factor, plus Extra.
type ColdBound struct {
	Factor, Extra float64
	// Rank gives this host's rank among the hosts for a target, and how many
	// hosts there are.
	Rank func(target string) (rank, hosts int)
}

// BoundCold sets the bound; without one cold targets are treated like warm
// ones.
func (l *Loads) BoundCold(b ColdBound) { l.cold = b }

const (
	// penaltyFor is how long a failure counts against a target. Grey targets
	// fail two in five of their requests; at one request a second to each
	// target the next failure comes within this time.
	penaltyFor = 4 * time.Second
	// penaltyEach is added to the fullness for each failure, up to penaltyMost.
	penaltyEach, penaltyMost = 0.25, 1.0
	// unreachableFor is how long a target that could not be reached is passed
	// over while there are others: one that left while the store was away is
	// listed for seconds, one that crashed is back after some.
	unreachableFor = 2 * time.Second
	// coldPenalty keeps work off a cold target unless others are that much
	// fuller: it is slow, and joins empty.
	coldPenalty = 0.2
	// coldAgain is how long a target counts as cold after it could not be
	// reached: it may have started anew while nobody could publish that.
	coldAgain = 5 * time.Second
	// unreachablePenalty is above what any other target's load comes to.
	unreachablePenalty = 100
)

// NewLoads returns empty counts of a host, which is named by its address for
// other hosts.
func NewLoads(host, dataCentre string, now func() time.Duration) *Loads {
	return &Loads{
		dataCentre: dataCentre, now: now, own: map[string]*targetLoad{},
		share: loadshare.New(host, uint64(time.Now().UnixMicro())), changed: make(chan struct{}, 1),
		leaving: make(chan struct{}, 1),
	}
}

// Changed is received from when there are counts to tell other hosts.
func (l *Loads) Changed() <-chan struct{} { return l.changed }

// News gives the counts that another host was not told yet.
func (l *Loads) News(host string) []loadshare.Count {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.share.News(l.now(), host)
}

// Take takes counts that another host told.
func (l *Loads) Take(host string, counts []loadshare.Count) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share.Take(l.now(), host, counts)
	for _, c := range counts {
		if c.Leaving {
			signal(l.leaving)
		}
	}
}

// DropHost forgets the counts of a host that is gone.
func (l *Loads) DropHost(host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share.DropHost(host)
}

// set changes the count at a target.
func (l *Loads) set(target string, load loadshare.Load) {
	t := l.of(target)
	plain := t.Tokens == 0 && load.Tokens == 0
	t.Load = load
	l.share.SetOwn(l.now(), target, load)
	if plain {
		// Requests of plain services come and go within milliseconds; what is
		// told of them is out of date when it arrives.
		return
	}
	signal(l.changed)
}

func (l *Loads) of(target string) *targetLoad {
	t := l.own[target]
	if t == nil {
		t = &targetLoad{failedAt: -penaltyFor, unreachableAt: -coldAgain}
		l.own[target] = t
	}
	return t
}

// Nearness says how much being near weighs in a choice.
type Nearness struct {
	// dataCentre is where the work comes from; empty means this host's.
	dataCentre string
	remote     float64
	// away is added for targets in a data centre that a copy should not lie in;
	// awayFrom is empty for none.
	awayFrom string
	away     float64
}

// Away prefers another data centre than one, so that its loss takes no copy
// with it.
func Away(dataCentre string) Nearness {
	return Nearness{remote: placement.RemoteCharge, awayFrom: dataCentre, away: placement.RemoteCopyCharge}
}

// Anywhere prefers the own data centre among about equals only.
var Anywhere = Nearness{remote: placement.RemoteCharge}

// Near prefers a data centre unless its targets are much fuller: copies to
// another one take twice as long.
func Near(dataCentre string) Nearness {
	return Nearness{dataCentre: dataCentre, remote: placement.RemoteCopyCharge}
}

// Place is a request's place at a target.
type Place struct {
	loads  *Loads
	target string
	load   loadshare.Load
}

// Acquire chooses a target of a service for a request and counts it there
// until the place is released; false when there is none. Targets in avoid are
// left out.
func (l *Loads) Acquire(view *directory.View, service string, p call.Prompt, near Nearness, avoid []string) (*directory.Seen, *Place, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	candidates, targets := l.candidates(view, service, near, avoid)
	i := placement.Choose(candidates, tokensOf(p), rand.Float64())
	if i < 0 {
		return nil, nil, false
	}
	return targets[i], l.place(targets[i].ID, p), true
}

// Keep chooses a target that keeps a backup of a generation which runs at
// another, and counts its memory there; false when none has room.
func (l *Loads) Keep(view *directory.View, p call.Prompt, runs *directory.Seen) (*directory.Seen, *Place, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	candidates, targets := l.candidates(view, runs.Service, Away(runs.DataCentre), []string{runs.ID})
	i := placement.Choose(candidates, tokensOf(p), rand.Float64())
	if i < 0 || placement.Load(candidates[i], tokensOf(p)) > fullestKeeper {
		return nil, nil, false
	}
	return targets[i], l.count(targets[i].ID, loadshare.Load{Tokens: tokensOf(p)}), true
}

// fullestKeeper is the fullness up to which an engine keeps backups; the rest
// is for generations that run there. The mean worth hardly depends on it: 36
// days without backups and with them up to 0.6 and 0.8 gave 0.751, 0.748 and
// 0.752, 12 days on which a data centre's engines crash 0.651, 0.660 and 0.662,
// 24 days on which engines are scarce 0.627, 0.624 and 0.624 at 0.5, 0.65, 0.8.
const fullestKeeper = 0.7

// Hold counts a request at a target that was chosen before.
func (l *Loads) Hold(target string, p call.Prompt) *Place {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.place(target, p)
}

func (l *Loads) place(target string, p call.Prompt) *Place {
	return l.count(target, loadshare.Load{Running: 1, Tokens: tokensOf(p), Unread: p.Tokens})
}

func (l *Loads) count(target string, load loadshare.Load) *Place {
	if load.Running > 0 {
		l.of(target).gate.Send(l.now())
	}
	l.set(target, l.of(target).Plus(load))
	return &Place{loads: l, target: target, load: load}
}

// Started notes that the prompt has been read.
func (p *Place) Started() {
	load := p.load
	load.Unread = 0
	p.change(load)
}

// Release gives the place up; it may be called more than once, and on nil.
func (p *Place) Release() {
	if p != nil {
		p.change(loadshare.Load{})
	}
}

func (p *Place) change(to loadshare.Load) {
	p.loads.mu.Lock()
	defer p.loads.mu.Unlock()
	if p.load == to {
		return
	}
	p.loads.set(p.target, p.loads.of(p.target).Minus(p.load).Plus(to))
	p.load = to
}

// coldRate is the rate that a target bears while it is cold, 0 when it is not.
func (l *Loads) coldRate(view *directory.View, t *directory.Seen) float64 {
	s, ok := view.Service(t.Service)
	if !ok || s.ColdRate <= 0 || l.cold.Rank == nil {
		return 0
	}
	if l.now() < t.ColdUntil || l.now()-l.of(t.ID).unreachableAt < coldAgain {
		return s.ColdRate
	}
	return 0
}

// coldPart is this host's part of the sends a second to a cold target.
func (l *Loads) coldPart(target string, rate float64) int {
	rank, hosts := l.cold.Rank(target)
	return coldshare.Part(rate*l.cold.Factor+l.cold.Extra, rank, hosts)
}

// Failed notes that a target failed a request by its own fault.
func (l *Loads) Failed(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.of(target)
	if l.now()-t.failedAt > penaltyFor {
		t.failures = 0
	}
	t.failures++
	t.failedAt = l.now()
}

// SetLeaving notes that a target told this host that it is about to stop.
func (l *Loads) SetLeaving(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share.SetLeaving(l.now(), target)
	signal(l.changed)
	signal(l.leaving)
}

// Leaving tells whether a target told any host that it is about to stop.
func (l *Loads) Leaving(target string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.share.Leaving(l.now(), target)
}

// Hosts counts the hosts that have something running at a target.
func (l *Loads) Hosts(target string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.share.Hosts(l.now(), target)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Unreachable notes that a target could not be reached.
func (l *Loads) Unreachable(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.of(target).unreachableAt = l.now()
}

func (l *Loads) candidates(view *directory.View, service string, near Nearness, avoid []string) ([]placement.Candidate, []*directory.Seen) {
	var candidates []placement.Candidate
	var targets []*directory.Seen
	memory := 0
	if s, ok := view.Service(service); ok && s.Engine != nil {
		memory = s.Engine.MemoryTokens
	}
	for _, t := range view.Pool(service) {
		if !view.TakesNew(t) || contains(avoid, t.ID) || l.share.Leaving(l.now(), t.ID) {
			continue
		}
		own := l.of(t.ID)
		cold := l.coldRate(view, t)
		if cold > 0 && !own.gate.Open(l.now(), l.coldPart(t.ID, cold)) {
			continue
		}
		all := own.Plus(l.share.Others(l.now(), t.ID))
		c := placement.Candidate{
			ID: t.ID, Running: all.Running, Slots: t.Slots, Tokens: all.Tokens, Unread: all.Unread, Memory: memory,
		}
		if l.now()-own.failedAt < penaltyFor {
			c.Penalty = min(float64(own.failures)*penaltyEach, penaltyMost)
		}
		if cold > 0 {
			c.Penalty += coldPenalty
		}
		if l.now()-own.unreachableAt < unreachableFor {
			c.Penalty += unreachablePenalty
		}
		if t.DataCentre != cmp.Or(near.dataCentre, l.dataCentre) {
			c.Penalty += near.remote
		}
		if t.DataCentre == near.awayFrom {
			c.Penalty += near.away
		}
		candidates = append(candidates, c)
		targets = append(targets, t)
	}
	return candidates, targets
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

// outputShare is the part of a generation's possible output that is counted
// when the client gives no estimate.
const outputShare = 0.5

// tokensOf is the memory that a request is expected to take at its largest.
func tokensOf(p call.Prompt) int {
	output := p.LengthHint
	if output == 0 {
		output = int(outputShare * float64(p.MaxOutput))
	}
	return p.Tokens + min(output, max(p.MaxOutput, output))
}
