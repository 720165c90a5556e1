package gateway

import (
	"cmp"
	"math/rand/v2"
	"sync"
	"time"

	"filbertdeck/internal/call"
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
	other func(target string) (running, tokens int)
}

// targetLoad is what runs at one target from this host.
type targetLoad struct {
	running, tokens int
	// failedAt is when a request last failed there by the target's fault.
	failedAt time.Duration
	failures int
}

const (
	// penaltyFor is how long a failure counts against a target. Grey targets
	// fail two in five of their requests; at one request a second to each
	// target the next failure comes within this time.
	penaltyFor = 4 * time.Second
	// penaltyEach is added to the fullness for each failure, up to penaltyMost.
	penaltyEach, penaltyMost = 0.25, 1.0
)

// NewLoads returns empty counts.
func NewLoads(dataCentre string, now func() time.Duration) *Loads {
	return &Loads{
		dataCentre: dataCentre, now: now, own: map[string]*targetLoad{},
		other: func(string) (int, int) { return 0, 0 },
	}
}

func (l *Loads) of(target string) *targetLoad {
	t := l.own[target]
	if t == nil {
		t = &targetLoad{failedAt: -penaltyFor}
		l.own[target] = t
	}
	return t
}

// Nearness says how much being near weighs in a choice.
type Nearness struct {
	// dataCentre is where the work comes from; empty means this host's.
	dataCentre string
	remote     float64
}

// Anywhere prefers the own data centre among about equals only.
var Anywhere = Nearness{remote: placement.RemoteCharge}

// Near prefers a data centre unless its targets are much fuller: copies to
// another one take twice as long.
func Near(dataCentre string) Nearness {
	return Nearness{dataCentre: dataCentre, remote: placement.RemoteCopyCharge}
}

// Acquire chooses a target of a service for a request of so many tokens and
// counts it there until release is called; false when there is none. Targets
// in avoid are left out.
func (l *Loads) Acquire(view *directory.View, service string, tokens int, near Nearness, avoid []string) (target *directory.Seen, release func(), ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	candidates, targets := l.candidates(view, service, near, avoid)
	i := placement.Choose(candidates, tokens, rand.Float64())
	if i < 0 {
		return nil, nil, false
	}
	t := l.of(targets[i].ID)
	t.running++
	t.tokens += tokens
	return targets[i], sync.OnceFunc(func() { l.release(targets[i].ID, tokens) }), true
}

func (l *Loads) release(target string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.of(target)
	t.running--
	t.tokens -= tokens
}

// Hold counts a request at a target that was chosen before.
func (l *Loads) Hold(target string, tokens int) (release func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.of(target)
	t.running++
	t.tokens += tokens
	return sync.OnceFunc(func() { l.release(target, tokens) })
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

func (l *Loads) candidates(view *directory.View, service string, near Nearness, avoid []string) ([]placement.Candidate, []*directory.Seen) {
	var candidates []placement.Candidate
	var targets []*directory.Seen
	memory := 0
	if s, ok := view.Service(service); ok && s.Engine != nil {
		memory = s.Engine.MemoryTokens
	}
	for _, t := range view.Pool(service) {
		if !view.TakesNew(t) || contains(avoid, t.ID) {
			continue
		}
		own := l.of(t.ID)
		running, tokens := l.other(t.ID)
		c := placement.Candidate{
			ID: t.ID, Running: own.running + running, Slots: t.Slots,
			Tokens: own.tokens + tokens, Memory: memory,
		}
		if l.now()-own.failedAt < penaltyFor {
			c.Penalty = min(float64(own.failures)*penaltyEach, penaltyMost)
		}
		if t.DataCentre != cmp.Or(near.dataCentre, l.dataCentre) {
			c.Penalty += near.remote
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
