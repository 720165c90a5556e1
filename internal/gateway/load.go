package gateway

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"filbertdeck/internal/call"
	"filbertdeck/internal/decide/coldlimit"
	"filbertdeck/internal/decide/enginespeed"
	"filbertdeck/internal/decide/failurereports"
	"filbertdeck/internal/decide/placement"
	"filbertdeck/internal/decide/targetload"
	"filbertdeck/internal/decide/targetrate"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/wake"
)

// TargetLoads counts what this host has running at each target and chooses targets
// by it.
type TargetLoads struct {
	self, dataCentre string
	now              func() time.Duration

	mu    sync.Mutex
	own   map[string]*targetLoad
	share *targetload.Table
	// alerts tells which targets broke requests or are about to stop. They
	// concern every host, loads only those that choose among the same targets.
	alerts *targetload.Table
	speed  *enginespeed.Estimator
	// accusers holds what other hosts tell of failing targets.
	accusers *failurereports.Tracker
	cold     ColdRateLimit
	// rates holds what targets said of the rates they take; borrow asks other hosts
	// for a request of their share, nil for nobody.
	rates  *targetrate.Limiter
	borrow BorrowRate
	// askOwner asks the host that has the newest counts of a target; nil for none.
	askOwner QueryOwner
	// hosts gives the number of hosts that choose targets.
	hosts func() int
	// draw breaks ties and draws the targets that are looked at.
	draw *rand.Rand
	// changed is signalled when there are loads to tell other hosts, alerted
	// when there are alerts, leaving when a target was heard to leave.
	changed, alerted, leaving chan struct{}
}

// targetLoad is what runs at one target from this host.
type targetLoad struct {
	targetload.Load
	// failedAt is when a request last failed there by the target's fault.
	failedAt time.Duration
	failures int
	// unreachableAt is when it could last not be reached.
	unreachableAt time.Duration
	// gate counts the sends while the target is cold.
	gate coldlimit.Limiter
}

// NewTargetLoads returns empty counts of a host, which is named by its address for
// other hosts.
func NewTargetLoads(host, dataCentre string, now func() time.Duration) *TargetLoads {
	start := uint64(time.Now().UnixMicro())
	return &TargetLoads{
		self: host, dataCentre: dataCentre, now: now, own: map[string]*targetLoad{},
		share: targetload.New(host, start), alerts: targetload.New(host, start), speed: enginespeed.New(), accusers: failurereports.New(), rates: targetrate.New(),
		draw: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), hosts: func() int { return 1 },
		changed: make(chan struct{}, 1), alerted: make(chan struct{}, 1), leaving: make(chan struct{}, 1),
	}
}

// Draw sets the source of random numbers, for plays that repeat.
func (l *TargetLoads) Draw(draw *rand.Rand) { l.draw = draw }

// SetHostCount sets what gives the number of hosts that choose targets; one until
// then.
func (l *TargetLoads) SetHostCount(hosts func() int) { l.hosts = hosts }

// LoadsChanged is received from when there are loads to tell other hosts.
func (l *TargetLoads) LoadsChanged() <-chan struct{} { return l.changed }

// AlertsChanged is received from when there are alerts to tell other hosts.
func (l *TargetLoads) AlertsChanged() <-chan struct{} { return l.alerted }

// SendsToOwnersOnly tells whether loads are told to the owners of targets alone. In a
// small fleet all hosts tell each other; in a large one each load would pass
// through every host, though few choose among the same targets at that moment,
// and the bytes of a host would grow with the fleet.
func (l *TargetLoads) SendsToOwnersOnly() bool { return !placement.KnowsRecentChoices(l.hosts()) }

// PendingLoads gives the loads that another host was not told yet; none where owners
// are told.
func (l *TargetLoads) PendingLoads(host string) []targetload.HostLoad {
	if l.SendsToOwnersOnly() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.share.PeerUpdates(l.now(), host)
}

// PendingOwnLoads gives this host's loads that the owners of their targets were not
// told yet.
func (l *TargetLoads) PendingOwnLoads() []targetload.HostLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.share.OwnerUpdates(l.now())
}

// MergeLoads takes loads that another host told.
func (l *TargetLoads) MergeLoads(host string, counts []targetload.HostLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share.Merge(l.now(), host, counts)
	l.learn(counts)
}

// learn takes what counts say of the speed of engines.
func (l *TargetLoads) learn(counts []targetload.HostLoad) {
	for _, c := range counts {
		l.speed.SetRemote(c.Target, c.TimePerToken)
	}
}

// PendingAlerts gives the alerts that another host was not told yet.
func (l *TargetLoads) PendingAlerts(host string) []targetload.HostLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.alerts.PeerUpdates(l.now(), host)
}

// MergeAlerts takes alerts that another host told.
func (l *TargetLoads) MergeAlerts(host string, alerts []targetload.HostLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.alerts.Merge(l.now(), host, alerts)
	l.mergeRates(alerts)
	for _, c := range alerts {
		if c.Host != l.self {
			l.accusers.RecordFailures(l.now(), c.Host, c.Target, c.FailureSeq)
		}
		if c.Leaving {
			wake.Signal(l.leaving)
		}
	}
}

// Prune forgets targets that are gone and have nothing running from here;
// engines come and go by the dozen an hour, each under an id of its own.
func (l *TargetLoads) Prune(view *directory.View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, t := range l.own {
		if _, known := view.Target(id); !known && t.Load == (targetload.Load{}) {
			delete(l.own, id)
		}
	}
	known := func(id string) bool {
		_, found := view.Target(id)
		return found
	}
	l.speed.Retain(known)
	l.accusers.Retain(known)
	l.rates.Retain(known)
}

// set changes the count at a target.
func (l *TargetLoads) set(target string, load targetload.Load) {
	t := l.of(target)
	plain := t.ReservedTokens+t.BackupTokens == 0 && load.ReservedTokens+load.BackupTokens == 0
	t.Load = load
	l.share.SetLocalLoad(l.now(), target, load)
	if plain {
		// Requests of plain services come and go within milliseconds; what is
		// told of them is out of date when it arrives.
		return
	}
	wake.Signal(l.changed)
}

func (l *TargetLoads) of(target string) *targetLoad {
	t := l.own[target]
	if t == nil {
		t = &targetLoad{failedAt: -penaltyFor, unreachableAt: -coldAgain}
		l.own[target] = t
	}
	return t
}

// Place is a request's place at a target.
type Place struct {
	loads  *TargetLoads
	target string
	load   targetload.Load
	// at is the target, and chosen what was known of it, when it was chosen.
	at     *directory.ObservedTarget
	chosen placement.Candidate
}

// Reserve counts a request at a target that was chosen before.
func (l *TargetLoads) Reserve(target string, p call.Prompt) *Place {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.place(target, p)
}

func (l *TargetLoads) place(target string, p call.Prompt) *Place {
	return l.count(target, targetload.Load{Running: 1, ReservedTokens: tokensOf(p), UnreadTokens: p.Tokens})
}

func (l *TargetLoads) count(target string, load targetload.Load) *Place {
	if load.Running > 0 {
		l.of(target).gate.RecordSend(l.now())
		l.rates.TakeToken(target)
	}
	l.set(target, l.of(target).Add(load))
	return &Place{loads: l, target: target, load: load}
}

// Started notes that the prompt has been read.
func (p *Place) Started() {
	load := p.load
	load.UnreadTokens = 0
	p.change(load)
}

// Release gives the place up; it may be called more than once, and on nil.
func (p *Place) Release() {
	if p != nil {
		p.change(targetload.Load{})
	}
}

func (p *Place) change(to targetload.Load) {
	p.loads.mu.Lock()
	defer p.loads.mu.Unlock()
	if p.load == to {
		return
	}
	p.loads.set(p.target, p.loads.of(p.target).Sub(p.load).Add(to))
	p.load = to
}

// SetLeaving notes that a target told this host that it is about to stop.
func (l *TargetLoads) SetLeaving(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.alerts.SetLeaving(l.now(), target)
	wake.Signal(l.alerted)
	wake.Signal(l.leaving)
}

// Leaving tells whether a target told any host that it is about to stop.
func (l *TargetLoads) Leaving(target string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isLeaving(target)
}

// isLeaving is Leaving with the lock held.
func (l *TargetLoads) isLeaving(target string) bool { return l.alerts.Totals(l.now())[target].Leaving }

// Hosts counts the hosts that have something running at a target.
func (l *TargetLoads) Hosts(target string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.share.Totals(l.now())[target].Hosts
}

// Figures of the expected output.
const (
	// outputShare is the part of a generation's possible output that is expected
	// when nothing else is known.
	outputShare = 0.4
	// hintTrust is the weight of a client's estimate, in the logarithm, against
	// what is expected without one. Estimates vary more than lengths do.
	hintTrust = 0.3
)

// expectedOutput is the number of tokens that a generation is expected to make;
// 0 when the request says nothing of it.
func expectedOutput(p call.Prompt) int {
	usual := outputShare * float64(p.MaxOutput)
	switch {
	case p.LengthHint == 0:
		return int(usual)
	case p.MaxOutput == 0:
		return p.LengthHint
	}
	mixed := math.Pow(float64(p.LengthHint), hintTrust) * math.Pow(usual, 1-hintTrust)
	return min(int(mixed), p.MaxOutput)
}

// tokensOf is the memory that a request is expected to take at its largest.
func tokensOf(p call.Prompt) int { return p.Tokens + expectedOutput(p) }
