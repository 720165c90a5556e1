package gateway

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"filbertdeck/internal/call"
	"filbertdeck/internal/decide/brittle"
	"filbertdeck/internal/decide/coldlimit"
	"filbertdeck/internal/decide/departure"
	"filbertdeck/internal/decide/enginespeed"
	"filbertdeck/internal/decide/failurereports"
	"filbertdeck/internal/decide/placement"
	"filbertdeck/internal/decide/reportedload"
	"filbertdeck/internal/decide/rest"
	"filbertdeck/internal/decide/roomgrant"
	"filbertdeck/internal/decide/targetload"
	"filbertdeck/internal/decide/targetrate"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/wake"
)

// TargetLoads holds the load of each target, from this host and from others,
// and chooses targets by it.
type TargetLoads struct {
	address, dataCentre string
	now                 func() time.Duration

	mu        sync.Mutex
	byTarget  map[string]*targetLoad
	hostLoads *targetload.Table
	// alerts holds which targets broke requests or are about to stop. All hosts
	// need alerts, while loads concern only the hosts that choose among the
	// same targets.
	alerts *targetload.Table
	speeds *enginespeed.Estimator
	// remoteFailures holds the target failures that other hosts reported.
	remoteFailures *failurereports.Tracker
	coldRateLimit  ColdRateLimit
	// rates holds the rate limits that targets advertised. borrowShare borrows
	// one request of another host's share of a rate or of a brittle target's places;
	// nil when none can be borrowed. returnPlace returns a place.
	rates       *targetrate.Limiter
	borrowShare BorrowFunc
	returnPlace ReturnFunc
	// brittle holds the targets that fall over when they turn away too many requests.
	brittle *brittle.Tracker
	// departures holds the targets that said in an answer that they leave.
	departures *departure.Tracker
	// rests holds the targets that asked this host for a rest.
	rests *rest.Tracker
	// reports holds the load that targets reported to this host.
	reports *reportedload.Tracker
	// ownerQuery queries the host that has the newest counts of a target; nil
	// for none.
	ownerQuery OwnerQueryFunc
	// roomOwners asks owners for room; nil for none. rooms holds the room that this host
	// granted as an owner.
	roomOwners RoomOwners
	rooms      *roomgrant.Ledger
	// reportedRoom holds the room that owners reported as granted to other hosts.
	reportedRoom *roomgrant.Reported
	roomCounts   roomCounters
	// hostCount returns the number of hosts that choose targets.
	hostCount func() int
	// rng breaks ties and draws the sampled targets.
	rng *rand.Rand
	// loadsChanged is signalled when there are loads to send to other hosts,
	// alertsChanged when there are alerts, targetLeaving when a target was
	// reported to be leaving.
	loadsChanged, alertsChanged, targetLeaving chan struct{}
}

// targetLoad is the load of one target from this host.
type targetLoad struct {
	targetload.Load
	// failedAt is the time of the last failure there that was the target's
	// fault.
	failedAt time.Duration
	failures int
	// unreachableAt is the last time at which it could not be reached.
	unreachableAt time.Duration
	// coldUntil is the end of the warm-up that it reported in a health check.
	coldUntil time.Duration
	// coldLimiter limits the sends while the target is cold.
	coldLimiter coldlimit.Limiter
	// sentVersion is the version of this host's count that was last sent to an owner.
	sentVersion uint64
	// answeredAt is the time of the last answer of the owner of its counts.
	answeredAt time.Duration
}

// NewTargetLoads returns the TargetLoads of a host, with no load recorded yet.
// Other hosts identify the host by its address.
func NewTargetLoads(host, dataCentre string, now func() time.Duration) *TargetLoads {
	start := uint64(time.Now().UnixMicro())
	return &TargetLoads{
		address: host, dataCentre: dataCentre, now: now, byTarget: map[string]*targetLoad{},
		hostLoads: targetload.New(host, start), alerts: targetload.New(host, start), speeds: enginespeed.New(), remoteFailures: failurereports.New(), rates: targetrate.New(),
		brittle: brittle.New(), departures: departure.New(), rests: rest.New(), reports: reportedload.New(),
		rooms: roomgrant.New(), reportedRoom: roomgrant.NewReported(), roomCounts: newRoomCounters(unregisteredCounter),
		rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), hostCount: func() int { return 1 },
		loadsChanged: make(chan struct{}, 1), alertsChanged: make(chan struct{}, 1), targetLeaving: make(chan struct{}, 1),
	}
}

// SetRand sets the source of random numbers, for reproducible tests and
// simulations.
func (l *TargetLoads) SetRand(rng *rand.Rand) { l.rng = rng }

// SetHostCount sets the function that returns the number of hosts that choose
// targets. The number is one until then.
func (l *TargetLoads) SetHostCount(hosts func() int) { l.hostCount = hosts }

// LoadsChanged returns a channel that receives when there are loads to send to
// other hosts.
func (l *TargetLoads) LoadsChanged() <-chan struct{} { return l.loadsChanged }

// AlertsChanged returns a channel that receives when there are alerts to send
// to other hosts.
func (l *TargetLoads) AlertsChanged() <-chan struct{} { return l.alertsChanged }

// SendsToOwnersOnly reports whether loads are sent only to the owners of
// targets. In a small fleet all hosts send their loads to each other. In a large
// one each load would pass through every host although few choose among the same
// targets at that moment, and the traffic of a host would grow with the fleet.
func (l *TargetLoads) SendsToOwnersOnly() bool { return !placement.KnowsRecentChoices(l.hostCount()) }

// PendingLoads returns the loads that another host has not been sent yet; none
// when loads are sent to owners.
func (l *TargetLoads) PendingLoads(host string) []targetload.HostLoad {
	if l.SendsToOwnersOnly() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hostLoads.PeerUpdates(l.now(), host)
}

// PendingOwnLoads returns this host's loads that the owners of their targets
// have not been sent yet.
func (l *TargetLoads) PendingOwnLoads() []targetload.HostLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	updates := l.hostLoads.OwnerUpdates(l.now())
	for _, c := range updates {
		l.loadOf(c.Target).sentVersion = c.Version
	}
	return updates
}

// MergeLoads merges loads received from another host.
func (l *TargetLoads) MergeLoads(host string, loads []targetload.HostLoad) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mergeLoads(host, loads)
}

// mergeLoads is MergeLoads for callers that hold mu.
func (l *TargetLoads) mergeLoads(host string, loads []targetload.HostLoad) {
	l.hostLoads.Merge(l.now(), host, loads)
	l.confirmGrants(loads)
	l.rememberIdle(loads)
	l.learnSpeeds(loads)
}

// learnSpeeds merges the engine speeds that other hosts' loads contain.
func (l *TargetLoads) learnSpeeds(loads []targetload.HostLoad) {
	byTarget := map[string][]time.Duration{}
	for _, c := range loads {
		if c.Host != l.address && c.TimePerToken > 0 {
			byTarget[c.Target] = append(byTarget[c.Target], c.TimePerToken)
		}
	}
	for target, timesPerToken := range byTarget {
		l.speeds.SetRemote(target, timesPerToken)
	}
}

// PendingAlerts returns the alerts that another host has not been sent yet.
func (l *TargetLoads) PendingAlerts(host string) []targetload.HostLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.alerts.PeerUpdates(l.now(), host)
}

// MergeAlerts merges alerts received from another host. It returns the targets
// of which this host learns that they said that they leave.
func (l *TargetLoads) MergeAlerts(host string, alerts []targetload.HostLoad) (leaving []directory.Lifetime) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.alerts.Merge(l.now(), host, alerts)
	l.mergeRates(alerts)
	l.mergeBrittle(alerts)
	leaving = l.mergeDepartures(alerts)
	for _, c := range alerts {
		if c.Host != l.address {
			l.remoteFailures.RecordFailures(l.now(), c.Host, c.Target, c.FailureSeq)
		}
		if c.Leaving {
			wake.Signal(l.targetLeaving)
		}
	}
	return leaving
}

// Prune removes targets that are gone and have no load from this host. Dozens
// of engines an hour come and go, each under a new id.
func (l *TargetLoads) Prune(view *directory.View) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, t := range l.byTarget {
		if _, known := view.Target(id); !known && t.Load == (targetload.Load{}) {
			delete(l.byTarget, id)
		}
	}
	known := func(id string) bool {
		_, found := view.Target(id)
		return found
	}
	l.speeds.Retain(known)
	l.remoteFailures.Retain(known)
	l.rates.Retain(known)
	l.brittle.Retain(known)
	l.departures.Retain(l.now(), known)
	l.rests.Prune(l.now())
	l.reports.Prune(l.now())
	l.expireGrants()
}

// setLoad sets this host's load at a target.
func (l *TargetLoads) setLoad(target string, load targetload.Load) {
	t := l.loadOf(target)
	plain := t.ReservedTokens+t.BackupTokens == 0 && load.ReservedTokens+load.BackupTokens == 0
	t.Load = load
	l.hostLoads.SetLocalLoad(l.now(), target, load)
	if plain {
		// Requests of plain services end within milliseconds, so their loads
		// would be out of date when other hosts receive them.
		return
	}
	wake.Signal(l.loadsChanged)
}

func (l *TargetLoads) loadOf(target string) *targetLoad {
	t := l.byTarget[target]
	if t == nil {
		t = &targetLoad{failedAt: -failurePenaltyDuration, unreachableAt: -coldAfterUnreachable, answeredAt: neverAnswered}
		l.byTarget[target] = t
	}
	return t
}

// Reservation is the load that one request adds to a target until it is
// released.
type Reservation struct {
	loads    *TargetLoads
	targetID string
	load     targetload.Load
	// entry is the target's directory entry and candidate its load, both as of
	// the selection.
	entry     *directory.ObservedTarget
	candidate placement.Candidate
	// lender is the host that lent the place at a brittle target; empty for none.
	lender string
	// room is what a request for room at the target goes by.
	room pendingRoom
}

// Reserve counts a request at a target that was chosen before.
func (l *TargetLoads) Reserve(target string, p call.Prompt) *Reservation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reserve(target, p)
}

func (l *TargetLoads) reserve(target string, p call.Prompt) *Reservation {
	return l.reserveLoad(target, targetload.Load{Running: 1, ReservedTokens: expectedTokens(p), UnreadTokens: p.Tokens})
}

func (l *TargetLoads) reserveLoad(target string, load targetload.Load) *Reservation {
	r := &Reservation{loads: l, targetID: target, load: load}
	if load.Running > 0 {
		l.loadOf(target).coldLimiter.RecordSend(l.now())
		l.rates.TakeToken(target)
		r.lender = l.takePlace(target)
	}
	r.room.before = l.loadOf(target).Load
	l.setLoad(target, l.loadOf(target).Add(load))
	r.room.version = l.hostLoads.LocalCount(target).Version
	return r
}

// MarkPromptRead records that the engine has read the prompt.
func (r *Reservation) MarkPromptRead() {
	load := r.load
	load.UnreadTokens = 0
	r.setLoad(load)
}

// Release removes the load. It may be called more than once, and on nil.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.setLoad(targetload.Load{})
	r.releaseGrant()
	if lender := r.takeLender(); lender != "" && r.loads.returnPlace != nil {
		r.loads.returnPlace(r.targetID, lender)
	}
}

// takeLender ends the use of a lent place and returns its lender; empty for none.
func (r *Reservation) takeLender() (lender string) {
	r.loads.mu.Lock()
	defer r.loads.mu.Unlock()
	lender, r.lender = r.lender, ""
	if lender != "" {
		r.loads.brittle.EndBorrowed(r.targetID)
	}
	return lender
}

func (r *Reservation) setLoad(to targetload.Load) {
	r.loads.mu.Lock()
	defer r.loads.mu.Unlock()
	if r.load == to {
		return
	}
	r.loads.setLoad(r.targetID, r.loads.loadOf(r.targetID).Sub(r.load).Add(to))
	r.load = to
}

// SetLeaving records that a target's health check failed as that of a target
// that is about to stop. Health checks can be wrong, so this expires, unlike
// what RecordLeaving records.
func (l *TargetLoads) SetLeaving(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.alerts.SetLeaving(l.now(), target)
	wake.Signal(l.alertsChanged)
	wake.Signal(l.targetLeaving)
}

// IsLeaving reports whether a target said that it leaves, or looks to any host
// as if it is about to stop.
func (l *TargetLoads) IsLeaving(t directory.Target) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isLeavingLocked(t)
}

// isLeavingLocked is IsLeaving for callers that hold mu.
func (l *TargetLoads) isLeavingLocked(t directory.Target) bool {
	return l.departures.IsLeaving(t.Lifetime()) || l.alerts.Total(l.now(), t.ID).Leaving
}

// HostsUsing returns the number of hosts that have load at a target.
func (l *TargetLoads) HostsUsing(target string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hostLoads.Total(l.now(), target).Hosts
}

// Parameters of the expected output.
const (
	// defaultOutputShare is the fraction of a generation's maximum output that
	// is expected when nothing else is known.
	defaultOutputShare = 0.4
	// hintWeight is the weight of a client's estimate in the geometric mean
	// with the default estimate. Clients' estimates vary more than actual
	// lengths do.
	hintWeight = 0.3
)

// expectedOutputTokens returns the number of tokens that a generation is
// expected to produce; 0 when the request gives no indication of it.
func expectedOutputTokens(p call.Prompt) int {
	defaultOutput := defaultOutputShare * float64(p.MaxOutputTokens)
	switch {
	case p.LengthHint == 0:
		return int(defaultOutput)
	case p.MaxOutputTokens == 0:
		return p.LengthHint
	}
	combined := math.Pow(float64(p.LengthHint), hintWeight) * math.Pow(defaultOutput, 1-hintWeight)
	return min(int(combined), p.MaxOutputTokens)
}

// expectedTokens returns the memory, in tokens, that a request is expected to
// take at its largest.
func expectedTokens(p call.Prompt) int { return p.Tokens + expectedOutputTokens(p) }
