package slopes

import (
	"runtime"

	"google.golang.org/protobuf/proto"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/control/poolmanager"
	"filbertdeck/internal/table"
)

// planRounds is the number of runs that are averaged.
const planRounds = 3

// MeasurePlan measures the plan of pools that every control process recomputes at each
// edit of the table or of the host and target lists, and the list of pools that
// it sends to the entry of its host.
func (printer Printer) MeasurePlan() {
	for _, size := range []struct{ targets, hosts int }{
		{100, 33}, {1000, 33}, {1000, 330}, {FullScaleTargets, 330}, {FullScaleTargets, FullScaleHosts},
	} {
		t, _ := table.Parse(1, tablePages(1, 0))
		t = withTargets(t, targetList(size.targets))
		hosts := hostList(size.hosts)
		heapBefore := heapInUse()
		plans := poolmanager.ComputePlans(t, hosts)
		heapUsed := heapInUse() - heapBefore
		planCPU := meanCPU(planRounds, func() { poolmanager.ComputePlans(t, hosts) })
		section := poolsSection(plans)
		encoded, _ := proto.Marshal(section)
		encodeCPU := meanCPU(planRounds, func() { _, _ = proto.Marshal(poolsSection(plans)) })
		decodeCPU := meanCPU(planRounds, func() { _ = proto.Unmarshal(encoded, &filbertv1.PoolsSection{}) })
		printer.printLine("plan: %d targets, %d hosts: %d pools, cpu %v per plan, %.2f MB allocated; list to the entry %d bytes, cpu %v to build and encode, %v to decode",
			size.targets, size.hosts, len(plans), planCPU, megabytes(heapUsed), len(encoded), encodeCPU, decodeCPU)
		runtime.KeepAlive(plans)
	}
}

// poolsSection returns the message that a control process sends to its entry.
func poolsSection(plans []poolmanager.Plan) *filbertv1.PoolsSection {
	section := &filbertv1.PoolsSection{}
	for _, p := range plans {
		section.Pools = append(section.Pools, &filbertv1.Pool{
			Name: p.ID, Services: p.Services, DataCentre: p.DataCentre, Owners: p.Owners, Targets: p.Targets,
		})
	}
	return section
}
