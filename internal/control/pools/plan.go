// Package pools decides which pools there are and which control processes may
// admit to each, and runs those that this process may admit to.
package pools

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"filbertdeck/internal/decide/admission"
	"filbertdeck/internal/platform"
	"filbertdeck/internal/table"
)

// maxOwners is how many control processes are ranked for a pool: the owner and
// two that may stand in. With three hosts gone at once a pool of four targets
// waits for the list or the membership to notice.
const maxOwners = 3

// Plan is one pool as every process computes it from what is published.
type Plan struct {
	Name       string
	Service    string
	DataCentre string
	Generation bool
	// Owners are control addresses in the order of their rank by the published
	// list alone.
	Owners  []string
	Targets []admission.Target
	// Drained is set while the pool's data centre is taken out.
	Drained bool
}

// Name gives the name of a service's pool in a data centre.
func Name(service, dataCentre string) string { return service + "@" + dataCentre }

// Plans computes the pools. It depends on nothing but the table and the
// published hosts, so that all processes with the same view agree.
func Plans(t *table.Table, hosts []platform.Host) []Plan {
	var plans []Plan
	for _, s := range t.Services {
		byCentre := map[string][]admission.Target{}
		for _, target := range s.Targets {
			byCentre[target.DataCentre] = append(byCentre[target.DataCentre], admission.Target{
				Address: target.Address, Leaving: target.Leaving || t.Drained[target.DataCentre],
			})
		}
		for centre, targets := range byCentre {
			name := Name(s.Name, centre)
			plans = append(plans, Plan{
				Name: name, Service: s.Name, DataCentre: centre, Generation: s.Type == table.ServiceGeneration,
				Owners: rank(name, centre, hosts), Targets: targets, Drained: t.Drained[centre],
			})
		}
	}
	sort.Slice(plans, func(i, j int) bool { return plans[i].Name < plans[j].Name })
	return plans
}

// rank orders the live hosts for a pool by rendezvous hashing, those of the
// pool's data centre first: a change of one host moves only its own pools.
func rank(pool, centre string, hosts []platform.Host) []string {
	type candidate struct {
		control string
		near    bool
		weight  uint64
	}
	var candidates []candidate
	for _, h := range hosts {
		if h.State != platform.StateLive {
			continue
		}
		candidates = append(candidates, candidate{
			control: h.Control, near: h.DataCentre == centre, weight: xxhash.Sum64String(pool + "\x00" + h.Control),
		})
	}
	sort.Slice(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		if a.near != b.near {
			return a.near
		}
		if a.weight != b.weight {
			return a.weight > b.weight
		}
		return a.control < b.control
	})
	owners := make([]string, 0, maxOwners)
	for _, c := range candidates[:min(len(candidates), maxOwners)] {
		owners = append(owners, c.control)
	}
	return owners
}
