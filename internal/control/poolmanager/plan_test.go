package poolmanager_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/configservice"
	"filbertdeck/internal/control/poolmanager"
	"filbertdeck/internal/table"
)

func TestPools(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pools of a control process")
}

func service(name string, kind table.ServiceType, addresses ...string) *table.Service {
	s := &table.Service{Name: name, Type: kind, QueueLimit: 10}
	for _, a := range addresses {
		s.Targets = append(s.Targets, table.Target{Address: a, DataCentre: "north"})
	}
	return s
}

func tableOf(services ...*table.Service) *table.Table {
	t := &table.Table{Services: map[string]*table.Service{}, Drained: map[string]bool{}}
	for _, s := range services {
		t.Services[s.Name] = s
	}
	return t
}

var hosts = []configservice.Host{{Name: "h", DataCentre: "north", Control: "127.0.0.1:1", State: configservice.StateLive}}

var _ = Describe("the plan of pools", func() {
	// Reports and summaries run on the same engines. With a pool for each, two
	// allocators give a cold engine the one request that it bears, it falls
	// over, and callers of both services wait for its restart.
	It("gives each target to one pool, whatever services share it", func() {
		t := tableOf(
			service("reports", table.ServiceGeneration, "127.0.0.1:11", "127.0.0.1:12"),
			service("summaries", table.ServiceGeneration, "127.0.0.1:12", "127.0.0.1:13"),
			service("drafts", table.ServiceGeneration, "127.0.0.1:13"),
			service("sites", table.ServiceLookup, "127.0.0.1:21"),
			service("empty", table.ServiceLookup),
		)
		seen := map[string]string{}
		plans := poolmanager.ComputePlans(t, hosts)
		for _, p := range plans {
			for _, target := range p.Targets {
				Expect(seen).NotTo(HaveKey(target))
				seen[target] = p.ID
			}
		}
		Expect(seen).To(HaveLen(4))
		Expect(plans).To(HaveLen(2))
		Expect(plans[0].Services).To(Equal([]string{"drafts", "reports", "summaries"}))
		Expect(plans[0].QueueLimit).To(Equal(30))
		Expect(plans[0].Generation).To(BeTrue())
		Expect(plans[1].Generation).To(BeFalse())
	})

	It("marks targets that leave, by themselves or with their data centre", func() {
		t := tableOf(service("reports", table.ServiceGeneration, "127.0.0.1:11", "127.0.0.1:12"))
		t.Services["reports"].Targets[0].Leaving = true
		Expect(poolmanager.ComputePlans(t, hosts)[0].TargetStates).To(ContainElement(HaveField("Leaving", true)))
		t.Drained["north"] = true
		plan := poolmanager.ComputePlans(t, hosts)[0]
		Expect(plan.Drained).To(BeTrue())
		Expect(plan.TargetStates).To(HaveEach(HaveField("Leaving", true)))
	})
})
