package waitlist

import (
	"fmt"
	"maps"
	"math/bits"

	"github.com/cespare/xxhash/v2"

	"filbertdeck/internal/decide/membership"
)

const (
	// HoldersPerList is the number of hosts that may hold a list: the holder and the host
	// that takes over when it fails.
	HoldersPerList = 2
	// maxPartitionHosts is the largest number of hosts that share a list, and
	// meanPartitionHosts the largest mean in a fleet of several partitions: hashing
	// distributes hosts unevenly.
	maxPartitionHosts, meanPartitionHosts = 128, 96
	// maxRankedLists bounds the rankings that are kept of one fleet. A configuration names
	// a few services; their number only grows while services are removed and added.
	maxRankedLists = 256
)

// Key identifies a list: a service's generations at the hosts of a partition.
type Key struct {
	Service   string
	Partition int
}

// rankKey returns the text by which hosts rank as holders of the list.
func (k Key) rankKey() string {
	if k.Partition == 0 {
		return "waiting/" + k.Service
	}
	return fmt.Sprintf("waiting/%s/%d", k.Service, k.Partition)
}

// Fleet is the live hosts of one version of the membership, and the holders of lists among
// them. It is immutable: a host ranks all hosts once for a list, not at each report.
type Fleet struct {
	// Version is that of the membership.
	Version uint64
	hosts   []string
	holders map[Key][]string
}

// NewFleet returns a fleet of live hosts. The caller must not modify hosts afterwards.
func NewFleet(version uint64, hosts []string) *Fleet { return &Fleet{Version: version, hosts: hosts} }

// Hosts returns the live hosts. The caller must not modify the slice.
func (f *Fleet) Hosts() []string { return f.hosts }

// Partition returns the partition of a host. The number of partitions is a power of two, so
// that it rarely changes.
func (f *Fleet) Partition(host string) int {
	if len(f.hosts) <= maxPartitionHosts {
		return 0
	}
	partitions := uint64(1) << bits.Len(uint((len(f.hosts)-1)/meanPartitionHosts))
	return int(xxhash.Sum64String(host) % partitions)
}

// Holders returns the hosts that may hold a list, the first to do so in front; false if they
// were not ranked yet.
func (f *Fleet) Holders(key Key) ([]string, bool) {
	holders, ranked := f.holders[key]
	return holders, ranked
}

// WithHolders returns the fleet with the ranked holders of one more list.
func (f *Fleet) WithHolders(key Key) *Fleet {
	next := *f
	next.holders = map[Key][]string{}
	if len(f.holders) < maxRankedLists {
		maps.Copy(next.holders, f.holders)
	}
	next.holders[key] = membership.TopRanked(key.rankKey(), f.hosts, HoldersPerList)
	return &next
}
