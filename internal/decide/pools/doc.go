// Package pools divides a service's targets into pools, names the processes
// that admit for a pool, and chooses the pool that an entry asks.
//
// Load pattern: a thousand entries see the same gossiped backlogs, up to some
// seconds old. Targets and hosts come and go all day. Requests of one client
// share long prompt prefixes that one or two targets have cached.
//
// What happens without it: every entry asks the pool with the least backlog.
// It gets the whole fleet's requests until the news changes, then another one
// does; backlogs swing between nothing and seconds. Numbering pools by the
// position of their targets in a list moves most targets to another pool when
// one leaves, and with it their allocators' knowledge. Requests spread without
// regard to prefixes compute each of them on every target.
//
// How it works: everything here is a function of published values, so that all
// processes come to the same answer without a message. Targets join pools and
// processes rank for pools by rendezvous hashing: a change moves only what it
// concerns. An entry compares a few candidates only: the two pools that rank
// first for the request's prefix, and one at random. Two choices suffice to
// keep backlogs even; choices that differ by request and entry keep entries
// from moving together; what the entry itself sent since the news counts.
package pools

import "github.com/cespare/xxhash/v2"

// rank is the rendezvous weight of a member for a key: a member's rank does not
// depend on which other members there are.
func rank(key, member uint64) uint64 { return mix(key ^ mix(member)) }

// mix spreads a 64-bit number over all bits (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

func hash(s string) uint64 { return xxhash.Sum64String(s) }
