package directory

import (
	"iter"
	"maps"
	"slices"
	"strings"
	"time"

	"filbertdeck/internal/decide/contention"
)

// View is an immutable snapshot of the published state.
type View struct {
	// Era and Revision are the newest position of the store that the view
	// covers.
	Era, Revision uint64
	// Config is nil until a configuration is known.
	Config             *Config
	index              *Index
	targetsByID        map[string]*ObservedTarget
	targetsByService   map[string]*serviceTargets
	drainedDataCentres map[string]bool
}

// ObservedTarget is a target with the time at which this process first saw it in its
// current lifetime, on the process's monotonic clock.
type ObservedTarget struct {
	Target
	FirstSeen time.Duration
	// WarmAt is the end of the target's warm-up as the target reported it, on
	// the monotonic clock.
	WarmAt time.Duration
	// Published is false once the target's record is deleted. Such a target is kept
	// for the requests that still run on it.
	Published bool
}

// Index holds the lookup tables of one configuration. It is built once for each
// configuration: targets change far more often, and sorting a thousand routes
// at each of their changes would use up a small host's CPU.
type Index struct {
	config         *Config
	servicesByName map[string]*Service
	accountsByKey  map[string]*Account
	routesByHost   map[string][]*Route
	// routeNames and accountNames hold the names of all routes and client accounts.
	routeNames, accountNames map[string]struct{}
	// mostUrgent holds the lowest priority value of each service's generation
	// routes.
	mostUrgent map[string]int
	// contention holds how the generations of each service with engines share them.
	contention map[string]contention.Policy
}

// NewIndex builds the index of a configuration, which may be nil.
func NewIndex(cfg *Config) *Index {
	index := &Index{config: cfg, servicesByName: map[string]*Service{}, accountsByKey: map[string]*Account{}, routesByHost: map[string][]*Route{}, routeNames: map[string]struct{}{}, accountNames: map[string]struct{}{}, mostUrgent: map[string]int{}, contention: map[string]contention.Policy{}}
	if cfg == nil {
		return index
	}
	for i := range cfg.Services {
		index.servicesByName[cfg.Services[i].Name] = &cfg.Services[i]
	}
	for i := range cfg.Accounts {
		index.accountNames[cfg.Accounts[i].Name] = struct{}{}
		for _, key := range cfg.Accounts[i].Keys {
			index.accountsByKey[key] = &cfg.Accounts[i]
		}
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		index.routeNames[r.Name] = struct{}{}
		index.routesByHost[r.Host] = append(index.routesByHost[r.Host], r)
		index.addPriority(r)
	}
	for _, routes := range index.routesByHost {
		// The first match is used, so the longest prefix comes first.
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	index.addContention()
	return index
}

// addContention computes the contention policies of the services with engines.
func (index *Index) addContention() {
	routes := map[string][]contention.Route{}
	for _, r := range index.config.Routes {
		if r.Kind != Generation {
			continue
		}
		for _, b := range r.Backends {
			routes[b.Service] = append(routes[b.Service], contention.Route{Priority: r.Priority, Objective: r.LatencyObjective})
		}
	}
	for name, s := range index.servicesByName {
		if s.Engine != nil {
			index.contention[name] = contention.PolicyOf(routes[name])
		}
	}
}

// addPriority adds the priority of a route to those of its services.
func (index *Index) addPriority(r *Route) {
	if r.Kind != Generation {
		return
	}
	for _, b := range r.Backends {
		if urgent, found := index.mostUrgent[b.Service]; !found || r.Priority < urgent {
			index.mostUrgent[b.Service] = r.Priority
		}
	}
}

// NewView builds a view of a configuration, which may be nil. Targets are
// keyed by ID.
func NewView(revision uint64, cfg *Config, targets map[string]*ObservedTarget, drained []string) *View {
	return NewViewFromIndex(revision, NewIndex(cfg), targets, drained)
}

// NewViewFromIndex builds a view from the existing index of a configuration.
func NewViewFromIndex(revision uint64, index *Index, targets map[string]*ObservedTarget, drained []string) *View {
	v := &View{
		Revision: revision, Config: index.config, index: index, targetsByID: targets,
		targetsByService: map[string]*serviceTargets{}, drainedDataCentres: map[string]bool{},
	}
	for _, dc := range drained {
		v.drainedDataCentres[dc] = true
	}
	for _, t := range sortedByID(targets) {
		pool := v.targetsByService[t.Service]
		if pool == nil {
			pool = &serviceTargets{byDataCentre: map[string][]*ObservedTarget{}, byVersion: map[string][]*ObservedTarget{}, leaving: map[string]int{}}
			v.targetsByService[t.Service] = pool
		}
		pool.add(t)
	}
	return v
}

func sortedByID(targets map[string]*ObservedTarget) []*ObservedTarget {
	return slices.SortedFunc(maps.Values(targets), func(a, b *ObservedTarget) int { return strings.Compare(a.ID, b.ID) })
}

// serviceTargets are the targets of one service, sorted by ID.
type serviceTargets struct {
	all          []*ObservedTarget
	byDataCentre map[string][]*ObservedTarget
	byVersion    map[string][]*ObservedTarget
	// leaving counts the leaving and withdrawn targets by version.
	leaving map[string]int
}

func (s *serviceTargets) add(t *ObservedTarget) {
	s.all = append(s.all, t)
	s.byDataCentre[t.DataCentre] = append(s.byDataCentre[t.DataCentre], t)
	s.byVersion[t.Version] = append(s.byVersion[t.Version], t)
	if t.Leaving || !t.Published {
		s.leaving[t.Version]++
	}
}

// Route returns the route of a host and path, the one with the longest
// matching prefix.
func (v *View) Route(host, path string) (*Route, bool) {
	for _, r := range v.index.routesByHost[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// HasRoute reports whether a route with a name is configured.
func (v *View) HasRoute(name string) bool {
	_, ok := v.index.routeNames[name]
	return ok
}

// HasAccount reports whether a client account with a name is configured.
func (v *View) HasAccount(name string) bool {
	_, ok := v.index.accountNames[name]
	return ok
}

// NeedsKey reports whether requests of a route need a client account's key.
func (v *View) NeedsKey(r *Route) bool { return v.Config.Accounts != nil && !r.Public }

// Account returns the client account that a key belongs to.
func (v *View) Account(key string) (*Account, bool) {
	a, ok := v.index.accountsByKey[key]
	return a, ok
}

// Service returns a service by name.
func (v *View) Service(name string) (*Service, bool) {
	s, ok := v.index.servicesByName[name]
	return s, ok
}

// MostUrgentPriority returns the priority of a service's most urgent generation
// route; a lower value is more urgent.
func (v *View) MostUrgentPriority(service string) int { return v.index.mostUrgent[service] }

// ContentionPolicy returns how the generations of a service share its engines; the zero
// value for services without engines.
func (v *View) ContentionPolicy(service string) contention.Policy { return v.index.contention[service] }

// Target returns a target by ID.
func (v *View) Target(id string) (*ObservedTarget, bool) {
	t, ok := v.targetsByID[id]
	return t, ok
}

// ServiceTargets returns a service's targets, including leaving and drained ones,
// sorted by ID. The caller must not modify the slice.
func (v *View) ServiceTargets(service string) []*ObservedTarget {
	if s := v.targetsByService[service]; s != nil {
		return s.all
	}
	return nil
}

// ServiceTargetsIn returns those of a service's targets that are in a data centre,
// sorted by ID. The caller must not modify the slice.
func (v *View) ServiceTargetsIn(service, dataCentre string) []*ObservedTarget {
	if s := v.targetsByService[service]; s != nil {
		return s.byDataCentre[dataCentre]
	}
	return nil
}

// ServiceTargetsOf returns those of a service's targets that run a version of its
// software, sorted by ID. The caller must not modify the slice.
func (v *View) ServiceTargetsOf(service, version string) []*ObservedTarget {
	if s := v.targetsByService[service]; s != nil {
		return s.byVersion[version]
	}
	return nil
}

// ServiceVersions returns the versions of the software of a service's targets, leaving
// and withdrawn ones included, sorted.
func (v *View) ServiceVersions(service string) []string {
	if s := v.targetsByService[service]; s != nil {
		return slices.Sorted(maps.Keys(s.byVersion))
	}
	return nil
}

// VersionLeaves reports whether targets of a version of a service's software leave, and
// there is another version of which none does.
func (v *View) VersionLeaves(service, version string) bool {
	s := v.targetsByService[service]
	if s == nil || s.leaving[version] == 0 {
		return false
	}
	for other := range s.byVersion {
		if s.leaving[other] == 0 {
			return true
		}
	}
	return false
}

// Services returns the names of the services that have targets.
func (v *View) Services() iter.Seq[string] { return maps.Keys(v.targetsByService) }

// IsDrained reports whether operators have drained a data centre.
func (v *View) IsDrained(dataCentre string) bool { return v.drainedDataCentres[dataCentre] }

// AcceptsNewRequests reports whether the published state allows new requests on a target.
func (v *View) AcceptsNewRequests(t *ObservedTarget) bool {
	return t.Published && !t.Leaving && !v.drainedDataCentres[t.DataCentre]
}

// LeadsTo reports whether the route gives a service a share of its requests.
func (r *Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.Backends, func(b Backend) bool { return b.Service == service && b.Weight > 0 })
}

// PickService selects a backend by weight and returns its service; random is in [0, 1).
func (r *Route) PickService(random float64) string {
	total := 0
	for _, b := range r.Backends {
		total += b.Weight
	}
	remaining := random * float64(total)
	for _, b := range r.Backends {
		remaining -= float64(b.Weight)
		if remaining < 0 {
			return b.Service
		}
	}
	return r.Backends[len(r.Backends)-1].Service
}
