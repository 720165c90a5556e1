// Package poolmanager runs the allocators of the pools that this process may admit
// to. Which pools there are, and who may admit to each, is decided in
// internal/decide/pools from what is published, so that all processes with the
// same view agree without a message.
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

// maxOwners is how many control processes are ranked for a pool: the owner and
// two that may stand in. With three hosts gone at once a pool of four targets
// waits for the list or the membership to notice.
const maxOwners = 3

// Plan is one pool as every process computes it from what is published.
type Plan struct {
	decide.Pool
	// Services are those that the pool's targets serve.
	Services []string
	// Generation tells model engines from plain services.
	Generation bool
	// QueueLimit bounds the asks that wait, of all its services together.
	QueueLimit int
	// Owners are control addresses in the order of their rank by the published
	// list alone.
	Owners []string
	// TargetStates are the pool's targets with their state.
	TargetStates []admission.Target
	// Drained is set while the pool's data centre is taken out.
	Drained bool
}

// ComputePlans computes the pools. Services that share targets share pools: with an
// allocator for each service, every one of them would give a cold target the
// one request that it bears.
func ComputePlans(t *table.Table, hosts []configservice.Host) []Plan {
	ranking := decide.NewHostRanking(hostsOf(hosts))
	var plans []Plan
	for _, g := range groups(t) {
		for _, pool := range decide.Partition(g.name(), g.targets) {
			plans = append(plans, Plan{
				Pool: pool, Services: g.services, Generation: g.generation, QueueLimit: g.queueLimit,
				Owners: owners(pool, ranking), TargetStates: targetStates(pool, g.leaving), Drained: t.Drained[pool.DataCentre],
			})
		}
	}
	return plans
}

func hostsOf(hosts []configservice.Host) []decide.Host {
	out := make([]decide.Host, len(hosts))
	for i, h := range hosts {
		out[i] = decide.Host{ControlAddress: h.Control, DataCentre: h.DataCentre, Leaving: h.State != configservice.StateLive}
	}
	return out
}

func owners(pool decide.Pool, ranking *decide.HostRanking) []string {
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

// fingerprint is equal for tables that give the same plans for one list of
// hosts: accounts' rows take no part.
func fingerprint(t *table.Table) uint64 {
	d := xxhash.New()
	add := func(parts ...string) {
		for _, part := range parts {
			_, _ = d.WriteString(part)
			_, _ = d.Write([]byte{0})
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
	return d.Sum64()
}
