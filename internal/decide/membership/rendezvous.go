package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank orders members by rendezvous hashing: all processes with the same list
// agree on the order for a key, and one member's coming or going moves only
// what it takes over or held.
func Rank(key string, members []string) []string {
	type ranked struct {
		address string
		hash    uint64
	}
	all := make([]ranked, len(members))
	for i, m := range members {
		all[i] = ranked{m, hash(key, m)}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.address, b.address))
	})
	out := make([]string, len(all))
	for i, r := range all {
		out[i] = r.address
	}
	return out
}

// ReadersPerDataCentre is how many processes of a data centre watch the configuration
// service. Three outlast two failures at once; more would spend calls of a
// rate that grows more slowly than the fleet.
const ReadersPerDataCentre = 3

// readerKey is the rendezvous key of the role.
const readerKey = "configuration-reader"

// IsReader tells whether this view's own process is to watch the service. A
// process that is cut off from its data centre finds itself alone and reads,
// which costs a call a second and harms nothing.
func (v *View) IsReader() bool {
	ranked := Rank(readerKey, v.LiveAddresses(v.Self.DataCentre))
	return slices.Contains(ranked[:min(ReadersPerDataCentre, len(ranked))], v.Self.Address)
}

func hash(key, address string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(address)
	return d.Sum64()
}
