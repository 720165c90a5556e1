package slopes

import (
	"runtime"

	"google.golang.org/protobuf/proto"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/control/poolmanager"
	"filbertdeck/internal/table"
)

// planRounds is how often each plan is made.
const planRounds = 3

// Plan measures the plan of pools that every control process makes anew at
// each edit of the table or the lists, and the list of pools that it sends to
// the entry of its host.
func (out Printer) Plan() {
	for _, size := range []struct{ targets, hosts int }{
		{100, 33}, {1000, 33}, {1000, 330}, {TargetServers, 330}, {TargetServers, TargetHosts},
	} {
		t, _ := table.Parse(1, tablePages(1, 0))
		t = withTargets(t, targetList(size.targets))
		hosts := hostList(size.hosts)
		before := ownHeap()
		plans := poolmanager.ComputePlans(t, hosts)
		held := ownHeap() - before
		cpu := cpuOf(planRounds, func() { poolmanager.ComputePlans(t, hosts) })
		section := poolsSection(plans)
		text, _ := proto.Marshal(section)
		encode := cpuOf(planRounds, func() { _, _ = proto.Marshal(poolsSection(plans)) })
		decode := cpuOf(planRounds, func() { _ = proto.Unmarshal(text, &filbertv1.PoolsSection{}) })
		out.line("plan: %d targets, %d hosts: %d pools, cpu %v a plan, %.2f MB held; list to the entry %d bytes, cpu %v to build and encode, %v to decode",
			size.targets, size.hosts, len(plans), cpu, megabytes(held), len(text), encode, decode)
		runtime.KeepAlive(plans)
	}
}

// poolsSection has the fields that a control process sends to its entry.
func poolsSection(plans []poolmanager.Plan) *filbertv1.PoolsSection {
	section := &filbertv1.PoolsSection{}
	for _, p := range plans {
		section.Pools = append(section.Pools, &filbertv1.Pool{
			Name: p.ID, Services: p.Services, DataCentre: p.DataCentre, Owners: p.Owners, Targets: p.Targets,
		})
	}
	return section
}
