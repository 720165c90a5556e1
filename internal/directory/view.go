package directory

import (
	"slices"
	"strings"
	"time"
)

// View is an immutable picture of everything published.
type View struct {
	// Revision is the store's newest revision that the view covers.
	Revision uint64
	// Config is nil until a configuration is known.
	Config  *Config
	index   *Index
	targets map[string]*ObservedTarget
	pools   map[string][]*ObservedTarget
	drained map[string]bool
}

// ObservedTarget is a target with the moment at which this process first saw it in its
// present life, on the process's steady clock.
type ObservedTarget struct {
	Target
	FirstSeen time.Duration
	// WarmAt is when the target says it is warm, on the steady clock.
	WarmAt time.Duration
	// Published is false once the target's item is gone; it is kept for those
	// requests that still run there.
	Published bool
}

// Index finds the parts of one configuration. Targets come and go many times
// for each new configuration, and sorting a thousand routes for each of them
// would take a small host's processor.
type Index struct {
	config   *Config
	services map[string]*Service
	accounts map[string]*Account
	routes   map[string][]*Route
}

// NewIndex indexes a configuration; nil stands for none.
func NewIndex(cfg *Config) *Index {
	x := &Index{config: cfg, services: map[string]*Service{}, accounts: map[string]*Account{}, routes: map[string][]*Route{}}
	if cfg == nil {
		return x
	}
	for i := range cfg.Services {
		x.services[cfg.Services[i].Name] = &cfg.Services[i]
	}
	for i := range cfg.Accounts {
		for _, key := range cfg.Accounts[i].Keys {
			x.accounts[key] = &cfg.Accounts[i]
		}
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		x.routes[r.Host] = append(x.routes[r.Host], r)
	}
	for _, routes := range x.routes {
		// The longest prefix that fits wins, so it has to be met first.
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return x
}

// NewView builds a view of a configuration, nil for none. Targets are keyed by
// id.
func NewView(revision uint64, cfg *Config, targets map[string]*ObservedTarget, drained []string) *View {
	return NewViewFromIndex(revision, NewIndex(cfg), targets, drained)
}

// NewViewFromIndex builds a view of a configuration that was indexed before.
func NewViewFromIndex(revision uint64, index *Index, targets map[string]*ObservedTarget, drained []string) *View {
	v := &View{
		Revision: revision, Config: index.config, index: index, targets: targets,
		pools: map[string][]*ObservedTarget{}, drained: map[string]bool{},
	}
	for _, dc := range drained {
		v.drained[dc] = true
	}
	for _, t := range targets {
		v.pools[t.Service] = append(v.pools[t.Service], t)
	}
	for _, pool := range v.pools {
		slices.SortFunc(pool, func(a, b *ObservedTarget) int { return strings.Compare(a.ID, b.ID) })
	}
	return v
}

// Route gives the route of a host and path: the longest prefix that fits.
func (v *View) Route(host, path string) (*Route, bool) {
	for _, r := range v.index.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// NeedsKey tells whether the requests of a route need a client account's key.
func (v *View) NeedsKey(r *Route) bool { return v.Config.Accounts != nil && !r.Public }

// Account gives the client account that holds a key.
func (v *View) Account(key string) (*Account, bool) {
	a, ok := v.index.accounts[key]
	return a, ok
}

// Service gives a service by name.
func (v *View) Service(name string) (*Service, bool) {
	s, ok := v.index.services[name]
	return s, ok
}

// Target gives a target by id.
func (v *View) Target(id string) (*ObservedTarget, bool) {
	t, ok := v.targets[id]
	return t, ok
}

// ServiceTargets gives a service's targets, leaving and drained ones included, in the
// order of their ids. The caller must not change it.
func (v *View) ServiceTargets(service string) []*ObservedTarget { return v.pools[service] }

// IsDrained tells whether operators have taken a data centre out.
func (v *View) IsDrained(dataCentre string) bool { return v.drained[dataCentre] }

// AcceptsNewRequests tells whether a target may get new work as far as is published.
func (v *View) AcceptsNewRequests(t *ObservedTarget) bool {
	return t.Published && !t.Leaving && !v.drained[t.DataCentre]
}

// PickService chooses one of a route's backends by weight; draw is in [0, 1).
func (r *Route) PickService(draw float64) string {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	left := draw * float64(total)
	for _, b := range r.Backends {
		left -= float64(b.Weight)
		if left < 0 {
			return b.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}
