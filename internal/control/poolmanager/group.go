package poolmanager

import (
	"maps"
	"slices"
	"strings"

	decide "filbertdeck/internal/decide/pools"
	"filbertdeck/internal/table"
)

// serviceGroup is a set of services that share targets, directly or through
// other services.
type serviceGroup struct {
	services   []string
	generation bool
	queueLimit int
	targets    []decide.Target
	leaving    map[string]bool
}

// name joins the sorted names of the services, so all processes agree on it.
func (g *serviceGroup) name() string { return strings.Join(g.services, "+") }

// groupServices partitions the services that have targets into groups.
func groupServices(t *table.Table) []*serviceGroup {
	byTarget := map[string]*serviceGroup{}
	var result []*serviceGroup
	for _, name := range slices.Sorted(maps.Keys(t.Services)) {
		s := t.Services[name]
		if len(s.Targets) == 0 {
			continue
		}
		g := &serviceGroup{leaving: map[string]bool{}}
		g.add(t, s)
		for _, target := range s.Targets {
			other := byTarget[target.Address]
			if i := slices.Index(result, other); i >= 0 {
				g.merge(other)
				result = slices.Delete(result, i, i+1)
			}
		}
		for _, target := range g.targets {
			byTarget[target.Address] = g
		}
		result = append(result, g)
	}
	for _, g := range result {
		slices.Sort(g.services)
	}
	slices.SortFunc(result, func(a, b *serviceGroup) int { return strings.Compare(a.name(), b.name()) })
	return result
}

func (g *serviceGroup) add(t *table.Table, s *table.Service) {
	g.services = append(g.services, s.Name)
	g.generation = g.generation || s.Type == table.ServiceGeneration
	g.queueLimit += s.QueueLimit
	for _, target := range s.Targets {
		leaving := target.Leaving || t.Drained[target.DataCentre]
		g.addTarget(decide.Target{Address: target.Address, DataCentre: target.DataCentre}, leaving)
	}
}

func (g *serviceGroup) addTarget(target decide.Target, leaving bool) {
	if _, known := g.leaving[target.Address]; !known {
		g.targets = append(g.targets, target)
	}
	g.leaving[target.Address] = g.leaving[target.Address] || leaving
}

// merge adds the services and targets of another group.
func (g *serviceGroup) merge(other *serviceGroup) {
	g.services = append(g.services, other.services...)
	g.generation = g.generation || other.generation
	g.queueLimit += other.queueLimit
	for _, target := range other.targets {
		g.addTarget(target, other.leaving[target.Address])
	}
}
