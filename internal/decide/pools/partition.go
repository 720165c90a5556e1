package pools

import (
	"cmp"
	"slices"
	"strconv"
)

// targetsPerPool is the usual size of a pool. With four targets, the loss of
// one adds a third to the load of the others, and one allocator can poll all of
// them a few times a second.
const targetsPerPool = 4

// maxExtraTargets is how many targets a pool may have beyond the usual size.
// With none, a full pool would push its last target to the next pool, and a
// change would propagate through several pools.
const maxExtraTargets = 2

// Target is one target of a service.
type Target struct {
	Address    string
	DataCentre string
}

// Pool is a group of targets in one data centre that share one allocator.
type Pool struct {
	// ID has the form service/dataCentre/number.
	ID         string
	Service    string
	DataCentre string
	Targets    []string
}

// Partition divides a service's targets into pools of about four in each data
// centre, ordered by data centre and number. The result depends only on the set
// of targets, so that all processes agree. Leaving targets are included until
// they are gone: removing them earlier would move others.
func Partition(service string, targets []Target) []Pool {
	var out []Pool
	addresses := map[string][]string{}
	for _, t := range targets {
		addresses[t.DataCentre] = append(addresses[t.DataCentre], t.Address)
	}
	dataCentres := make([]string, 0, len(addresses))
	for dc := range addresses {
		dataCentres = append(dataCentres, dc)
	}
	slices.Sort(dataCentres)
	for _, dc := range dataCentres {
		out = append(out, partitionDataCentre(service, dc, addresses[dc])...)
	}
	return out
}

func partitionDataCentre(service, dc string, addresses []string) []Pool {
	count := max(1, (len(addresses)+targetsPerPool/2)/targetsPerPool)
	pools := make([]Pool, count)
	for i := range pools {
		pools[i] = Pool{ID: service + "/" + dc + "/" + strconv.Itoa(i), Service: service, DataCentre: dc}
	}
	for _, address := range sortByHash(addresses) {
		p := &pools[selectPool(address, pools)]
		p.Targets = append(p.Targets, address)
	}
	return slices.DeleteFunc(pools, func(p Pool) bool { return len(p.Targets) == 0 })
}

// sortByHash sorts addresses by hash and removes duplicates. The relative order
// of two addresses does not change when others are added or removed.
func sortByHash(addresses []string) []string {
	out := slices.Clone(addresses)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(hash(a), hash(b)), cmp.Compare(a, b))
	})
	return slices.Compact(out)
}

// selectPool returns the index of the pool that ranks first for the target
// among those that are not full.
func selectPool(address string, pools []Pool) int {
	best, found := 0, false
	key := hash(address)
	for i := range pools {
		full := len(pools) > 1 && len(pools[i].Targets) >= targetsPerPool+maxExtraTargets
		if full {
			continue
		}
		if !found || rank(key, uint64(i)) > rank(key, uint64(best)) {
			best, found = i, true
		}
	}
	return best
}
