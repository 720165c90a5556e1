// Package poolmanager runs the allocators of the pools that this process may admit
// to. internal/decide/pools derives the pools and their owners from the
// published state, so that all processes with the same view agree without
// exchanging messages.
package poolmanager

import (
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"filbertdeck/internal/configservice"
	"filbertdeck/internal/decide/admission"
	decide "filbertdeck/internal/decide/pools"
	"filbertdeck/internal/table"
)

// maxOwners is the number of control processes that may admit to a pool: the
// owner and two standbys. If the hosts of all three fail together, a pool of
// four targets waits until the host list or the membership reflects it.
const maxOwners = 3

// Plan is one pool as every process computes it from the published state.
type Plan struct {
	decide.Pool
	// Services are the services of the pool's targets.
	Services []string
	// Generation is set for pools of model engines.
	Generation bool
	// QueueLimit bounds the waiting requests of all its services together.
	QueueLimit int
	// Owners are control addresses, ranked by the published list alone.
	Owners []string
	// TargetStates holds the state of each of the pool's targets.
	TargetStates []admission.Target
	// Drained is set while the pool's data centre is drained.
	Drained bool
}

// ComputePlans computes the pools. Services that share targets share pools: with an
// allocator for each service, each of them would give a cold target the one
// request that it can take.
func ComputePlans(t *table.Table, hosts []configservice.Host) []Plan {
	ranking := decide.NewHostRanking(rankingHosts(hosts))
	var plans []Plan
	for _, g := range groupServices(t) {
		for _, pool := range decide.Partition(g.name(), g.targets) {
			plans = append(plans, Plan{
				Pool: pool, Services: g.services, Generation: g.generation, QueueLimit: g.queueLimit,
				Owners: rankedOwners(pool, ranking), TargetStates: targetStates(pool, g.leaving), Drained: t.Drained[pool.DataCentre],
			})
		}
	}
	return plans
}

func rankingHosts(hosts []configservice.Host) []decide.Host {
	out := make([]decide.Host, len(hosts))
	for i, h := range hosts {
		out[i] = decide.Host{ControlAddress: h.Control, DataCentre: h.DataCentre, Leaving: h.State != configservice.StateLive}
	}
	return out
}

func rankedOwners(pool decide.Pool, ranking *decide.HostRanking) []string {
	out := make([]string, 0, maxOwners)
	for _, h := range ranking.TopHosts(pool, maxOwners) {
		out = append(out, h.ControlAddress)
	}
	return out
}

func targetStates(pool decide.Pool, leaving map[string]bool) []admission.Target {
	out := make([]admission.Target, len(pool.Targets))
	for i, address := range pool.Targets {
		out[i] = admission.Target{Address: address, Leaving: leaving[address]}
	}
	return out
}

// planFingerprint is equal for tables that give the same plans for the same
// list of hosts. Account rows are not included.
func planFingerprint(t *table.Table) uint64 {
	digest := xxhash.New()
	add := func(parts ...string) {
		for _, part := range parts {
			_, _ = digest.WriteString(part)
			_, _ = digest.Write([]byte{0})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(t.Services)) {
		s := t.Services[name]
		add(name, string(s.Type), strconv.Itoa(s.QueueLimit))
		for _, target := range s.Targets {
			add(target.Address, target.DataCentre, strconv.FormatBool(target.Leaving))
		}
	}
	add(slices.Sorted(maps.Keys(t.Drained))...)
	return digest.Sum64()
}
