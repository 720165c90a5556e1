// Package pools divides a service's targets into pools, ranks the control
// processes that may admit requests for a pool, and selects the pool that an
// entry process asks for admission.
//
// All functions depend on published values only, so that all processes reach
// the same result without exchanging messages.
//
// Targets and hosts are added and removed all day. Numbering pools by the
// position of their targets in a list would move most targets to another pool
// whenever one leaves, and the new pool's allocator has no history of them.
// Therefore targets are assigned to pools, and processes ranked for pools, by
// rendezvous hashing: a change moves only the assignments that depend on the
// added or removed member.
//
// A thousand entries see the same gossiped backlogs, which are up to a few
// seconds old. If every entry selected the pool with the smallest backlog, that
// pool would receive the requests of the whole fleet until the next report, and
// then another one would; backlogs would oscillate between zero and several
// seconds. An entry therefore compares only a few candidates: the two pools
// that rank first for the request's prompt prefix, and random ones. Two choices
// suffice to keep backlogs even. Candidates differ by request and entry, so
// that entries do not move together, and an entry adds the requests that it has
// sent since the last report to the reported backlog.
//
// Requests of one client share long prompt prefixes that one or two targets
// have cached. Distributing requests without regard to prefixes would make
// every target compute each of them, so the prefix selects the first
// candidates.
package pools

import "github.com/cespare/xxhash/v2"

// rank returns the rendezvous weight of a member for a key. It does not depend
// on the other members.
func rank(key, member uint64) uint64 { return mix(key ^ mix(member)) }

// mix distributes the entropy of a 64-bit number over all bits (the finalizer
// of splitmix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func hash(s string) uint64 { return xxhash.Sum64String(s) }
