package poolmanager

import (
	"maps"
	"slices"
	"strings"

	decide "filbertdeck/internal/decide/pools"
	"filbertdeck/internal/table"
)

// group is a set of services that share targets, directly or through others.
type group struct {
	services   []string
	generation bool
	queueLimit int
	targets    []decide.Target
	leaving    map[string]bool
}

// name is the same in all processes: the services in the order of their names.
func (g *group) name() string { return strings.Join(g.services, "+") }

// groups puts the services with targets into groups.
func groups(t *table.Table) []*group {
	byTarget := map[string]*group{}
	var all []*group
	for _, name := range slices.Sorted(maps.Keys(t.Services)) {
		s := t.Services[name]
		if len(s.Targets) == 0 {
			continue
		}
		g := &group{leaving: map[string]bool{}}
		g.add(t, s)
		for _, target := range s.Targets {
			other := byTarget[target.Address]
			if i := slices.Index(all, other); i >= 0 {
				g.join(other)
				all = slices.Delete(all, i, i+1)
			}
		}
		for _, target := range g.targets {
			byTarget[target.Address] = g
		}
		all = append(all, g)
	}
	for _, g := range all {
		slices.Sort(g.services)
	}
	slices.SortFunc(all, func(a, b *group) int { return strings.Compare(a.name(), b.name()) })
	return all
}

func (g *group) add(t *table.Table, s *table.Service) {
	g.services = append(g.services, s.Name)
	g.generation = g.generation || s.Type == table.ServiceGeneration
	g.queueLimit += s.QueueLimit
	for _, target := range s.Targets {
		leaving := target.Leaving || t.Drained[target.DataCentre]
		g.addTarget(decide.Target{Address: target.Address, DataCentre: target.DataCentre}, leaving)
	}
}

func (g *group) addTarget(target decide.Target, leaving bool) {
	if _, known := g.leaving[target.Address]; !known {
		g.targets = append(g.targets, target)
	}
	g.leaving[target.Address] = g.leaving[target.Address] || leaving
}

// join takes another group in.
func (g *group) join(other *group) {
	g.services = append(g.services, other.services...)
	g.generation = g.generation || other.generation
	g.queueLimit += other.queueLimit
	for _, target := range other.targets {
		g.addTarget(target, other.leaving[target.Address])
	}
}
