// Package state holds an entry's view of the deployment on a blackboard: the
// table in force, the published hosts, and the pools. A watcher updates it from
// the control process on the same host, or from another one of the data centre
// while that is unavailable.
package state

import (
	"time"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/blackboard"
	"filbertdeck/internal/table"
)

// Board is the entry's blackboard.
type Board struct {
	Table blackboard.Section[table.Table]
	Hosts blackboard.Section[Hosts]
	Pools blackboard.Section[Pools]
	// Backlogs holds the known queueing delay of each pool, in milliseconds.
	Backlogs blackboard.Section[map[string]uint32]
	// Confirmed records when the configuration service last confirmed the host
	// list in Hosts.
	Confirmed blackboard.Section[Confirmation]
}

// NewBoard returns an empty blackboard.
func NewBoard() *Board { return &Board{} }

// Ready reports whether requests can be served.
func (b *Board) Ready() bool {
	return b.Table.Get() != nil && b.Pools.Get() != nil
}

// Hosts is one revision of the published host list.
type Hosts struct {
	Revision uint64
	Entries  []*filbertv1.HostEntry
}

// LiveEntries returns the peer addresses of the entries on live hosts.
func (h *Hosts) LiveEntries() []string {
	var live []string
	for _, host := range h.Entries {
		if host.State == hostStateLive {
			live = append(live, host.Entry)
		}
	}
	return live
}

const hostStateLive = "live"

// Confirmation records how fresh the host list is.
type Confirmation struct {
	HostsRevision uint64
	// ConfirmedAt is the confirmation time on this process's clock. It is
	// computed from the time before the request was sent, so that it is never
	// too late.
	ConfirmedAt time.Time
}

// Pools is an immutable snapshot of the pools, indexed for lookups.
type Pools struct {
	ByService map[string][]*filbertv1.Pool
	ByName    map[string]*filbertv1.Pool
	// ByTarget maps a service's target to its pool.
	ByTarget map[TargetKey]*filbertv1.Pool
}

// TargetKey identifies a target of a service.
type TargetKey struct{ Service, Address string }

func newPools(list []*filbertv1.Pool) *Pools {
	p := &Pools{
		ByService: map[string][]*filbertv1.Pool{},
		ByName:    map[string]*filbertv1.Pool{},
		ByTarget:  map[TargetKey]*filbertv1.Pool{},
	}
	for _, pool := range list {
		p.ByName[pool.Name] = pool
		for _, service := range pool.Services {
			p.ByService[service] = append(p.ByService[service], pool)
			for _, target := range pool.Targets {
				p.ByTarget[TargetKey{service, target}] = pool
			}
		}
	}
	return p
}

// Owners returns the control processes that may admit requests to a pool.
func (b *Board) Owners(pool string) []string {
	pools := b.Pools.Get()
	if pools == nil {
		return nil
	}
	if p, ok := pools.ByName[pool]; ok {
		return p.Owners
	}
	return nil
}
