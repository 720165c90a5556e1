package pools

import (
	"cmp"
	"slices"
	"strconv"
)

// targetsPerPool is the usual size of a pool: four targets bear the loss of one
// with a third more load on the others, and one allocator can see them all a
// few times a second.
const targetsPerPool = 4

// slack is how many targets a pool may have beyond the usual size. With none a
// full pool pushes its last target on to the next, and a change runs through
// several pools.
const slack = 2

// Target is a back end of the service.
type Target struct {
	Address    string
	DataCentre string
}

// Pool is a group of targets in one data centre with one allocator.
type Pool struct {
	// ID is the service, the data centre and a number.
	ID         string
	Service    string
	DataCentre string
	Targets    []string
}

// Partition divides a service's targets into pools of about four in each data
// centre, in the order of data centre and number. It depends on the set of
// targets alone, so that all processes agree. Leaving targets belong to it
// until they are gone: taking them out early would move others.
func Partition(service string, targets []Target) []Pool {
	var out []Pool
	byCentre := map[string][]string{}
	for _, t := range targets {
		byCentre[t.DataCentre] = append(byCentre[t.DataCentre], t.Address)
	}
	centres := make([]string, 0, len(byCentre))
	for dc := range byCentre {
		centres = append(centres, dc)
	}
	slices.Sort(centres)
	for _, dc := range centres {
		out = append(out, divide(service, dc, byCentre[dc])...)
	}
	return out
}

func divide(service, dc string, addresses []string) []Pool {
	count := max(1, (len(addresses)+targetsPerPool/2)/targetsPerPool)
	pools := make([]Pool, count)
	for i := range pools {
		pools[i] = Pool{ID: service + "/" + dc + "/" + strconv.Itoa(i), Service: service, DataCentre: dc}
	}
	for _, a := range sorted(addresses) {
		p := &pools[place(a, pools)]
		p.Targets = append(p.Targets, a)
	}
	return slices.DeleteFunc(pools, func(p Pool) bool { return len(p.Targets) == 0 })
}

// sorted puts addresses in an order that others' coming and going leaves alone.
func sorted(addresses []string) []string {
	out := slices.Clone(addresses)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(hash(a), hash(b)), cmp.Compare(a, b))
	})
	return slices.Compact(out)
}

// place gives the pool that ranks first for the target among those with room.
func place(address string, pools []Pool) int {
	best, found := 0, false
	key := hash(address)
	for i := range pools {
		full := len(pools) > 1 && len(pools[i].Targets) >= targetsPerPool+slack
		if full {
			continue
		}
		if !found || rank(key, uint64(i)) > rank(key, uint64(best)) {
			best, found = i, true
		}
	}
	return best
}
