package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank orders members by rendezvous hashing: all processes with the same list
// agree on the order for a key, and a member that joins or leaves moves only the
// keys that it takes over or held.
func Rank(key string, members []string) []string {
	type scored struct {
		address string
		hash    uint64
	}
	scores := make([]scored, len(members))
	for i, m := range members {
		scores[i] = scored{m, hash(key, m)}
	}
	slices.SortFunc(scores, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.address, b.address))
	})
	out := make([]string, len(scores))
	for i, s := range scores {
		out[i] = s.address
	}
	return out
}

// TopRanked returns the first count members by Rank, in one pass over the members.
func TopRanked(key string, members []string, count int) []string {
	top := make([]string, 0, count+1)
	hashes := make([]uint64, 0, count+1)
	for _, m := range members {
		h := hash(key, m)
		i := len(top)
		for i > 0 && ranksBefore(h, m, hashes[i-1], top[i-1]) {
			i--
		}
		if i == count {
			continue
		}
		top, hashes = slices.Insert(top, i, m), slices.Insert(hashes, i, h)
		if len(top) > count {
			top, hashes = top[:count], hashes[:count]
		}
	}
	return top
}

// RankOf returns the position of an address by Rank: the number of members that come
// before it.
func RankOf(key string, members []string, address string) int {
	h, rank := hash(key, address), 0
	for _, m := range members {
		if ranksBefore(hash(key, m), m, h, address) {
			rank++
		}
	}
	return rank
}

// ranksBefore reports whether a member with one hash and address comes before another.
func ranksBefore(hashA uint64, a string, hashB uint64, b string) bool {
	return cmp.Or(cmp.Compare(hashB, hashA), cmp.Compare(a, b)) < 0
}

// ReadersPerDataCentre is the number of processes in a data centre that watch
// the configuration service. Three survive two failures at once; more would use up
// calls of a rate limit that grows more slowly than the fleet.
const ReadersPerDataCentre = 3

// readerKey is the rendezvous key of the reader role.
const readerKey = "configuration-reader"

// IsReader reports whether this process is to watch the configuration service.
// A process that is cut off from its data centre sees only itself and reads,
// which costs a call a second and does no harm.
func (v *View) IsReader() bool {
	ranked := Rank(readerKey, v.EligibleAddresses(v.Self.DataCentre))
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
