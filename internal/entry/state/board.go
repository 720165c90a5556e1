// Package state keeps an entry's view of the world on its blackboard: the
// table in force, the published hosts and the pools. A watcher fills it from
// the control process of the same host, or from another one of the data
// centre while that is gone.
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
	// Backlogs holds the wait in each pool that is known, in milliseconds.
	Backlogs blackboard.Section[map[string]uint32]
	// Confirmed is when the host list in Hosts was last confirmed by the
	// configuration service.
	Confirmed blackboard.Section[Confirmation]
}

// NewBoard returns an empty blackboard.
func NewBoard() *Board { return &Board{} }

// Ready tells whether requests can be served.
func (b *Board) Ready() bool {
	return b.Table.Get() != nil && b.Pools.Get() != nil
}

// Hosts is one state of the published host list.
type Hosts struct {
	Revision uint64
	List     []*filbertv1.HostEntry
}

// LiveEntries lists the forward addresses of the live hosts' entries.
func (h *Hosts) LiveEntries() []string {
	var live []string
	for _, host := range h.List {
		if host.State == hostLive {
			live = append(live, host.Entry)
		}
	}
	return live
}

const hostLive = "live"

// Confirmation tells how fresh the host list is.
type Confirmation struct {
	HostsRevision uint64
	// At is on this process's own clock and counts from before the question
	// was asked.
	At time.Time
}

// Pools is one state of the pools.
type Pools struct {
	ByService map[string][]*filbertv1.Pool
	ByName    map[string]*filbertv1.Pool
	// ByTarget finds the pool of a target of a service.
	ByTarget map[TargetKey]*filbertv1.Pool
}

// TargetKey names a target of a service.
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

// Owners lists the control processes that may admit to a pool.
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
