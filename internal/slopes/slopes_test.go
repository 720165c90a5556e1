package slopes

import (
	"context"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/configservice"
	"filbertdeck/internal/table"
	"filbertdeck/internal/usage"
)

func TestSlopes(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "slopes")
}

var _ = Describe("measurement inputs", func() {
	// With a table that the processes reject, or an edit that changes more than one
	// row, the measurement would not give the cost of an edit, and the documented
	// capacity would be wrong.
	DescribeTable("tables are valid and an edit changes one row", func(accounts, pages int) {
		list := tablePages(accounts, 0)
		Expect(list).To(HaveLen(pages))
		for _, page := range list {
			Expect(len(page)).To(BeNumerically("<=", table.MaxPageBytes))
		}
		before, faults := table.Parse(1, list)
		Expect(faults).To(BeEmpty())
		Expect(before.Accounts).To(HaveLen(accounts))
		changed := changedRow(accounts)
		Expect(changed).To(HaveLen(1))
		after, faults := before.Apply(0, 2, changed)
		Expect(faults).To(BeEmpty())
		edited, _ := table.Parse(2, tablePages(accounts, 1))
		Expect(after.EncodeRows()).To(Equal(edited.EncodeRows()))
		Expect(after.EncodeRows()).NotTo(Equal(before.EncodeRows()))
	},
		Entry("the current size", 10, 1), Entry("one full page", rowsPerPage, 1), Entry("full scale", FullScaleAccounts, 3),
	)

	It("lists are valid and all host and target addresses are unique", func() {
		hosts, dropped, err := configservice.ParseHosts(toJSON(hostsDocument{1, hostList(FullScaleHosts)}))
		Expect(err).NotTo(HaveOccurred())
		Expect(dropped).To(BeZero())
		targets, dropped, err := configservice.ParseTargets(toJSON(targetsDocument{1, targetList(FullScaleTargets)}))
		Expect(err).NotTo(HaveOccurred())
		Expect(dropped).To(BeZero())
		seen := map[string]bool{}
		for _, h := range hosts {
			seen[h.Control] = true
		}
		for _, t := range targets {
			seen[t.Address] = true
		}
		Expect(seen).To(HaveLen(FullScaleHosts + FullScaleTargets))
		Expect(seen).To(HaveEach(BeTrue()))
	})
})

var _ = Describe("measurements", func() {
	DescribeTable("parse the usage of a process", func(stat string, want usage.Usage, ok bool) {
		got, read := usage.ParseStat(stat)
		Expect(read).To(Equal(ok))
		Expect(got).To(Equal(want))
	},
		Entry("a name with a parenthesis", "7 (a) b) S 1 1 1 0 -1 0 0 0 0 0 250 50 0 0 20 0 9 0 99 1000 3 0",
			usage.Usage{CPU: 3 * time.Second, ResidentBytes: 3 * int64(os.Getpagesize())}, true),
		Entry("missing name", "7", usage.Usage{}, false),
		Entry("truncated", "7 (a) S 1 1", usage.Usage{}, false),
		Entry("invalid numbers", "7 (a) "+strings.Repeat("x ", 23), usage.Usage{}, false),
	)

	It("count bytes and segments in both directions", func() {
		var traffic trafficCounter
		listener, err := traffic.listen()
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = listener.Close() }()
		client, err := net.Dial("tcp", listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		server, err := listener.Accept()
		Expect(err).NotTo(HaveOccurred())
		_, _ = client.Write([]byte("ask"))
		_, _ = server.Read(make([]byte, 8))
		_, _ = server.Write([]byte("grant"))
		_ = client.Close()
		_, _ = server.Read(make([]byte, 8))
		payload, segments := traffic.sample()
		Expect([]int64{payload, segments}).To(Equal([]int64{8, 2}))
	})

	// If requests were refused, the benchmark would measure the cost of refusals.
	It("grant and settle every admission request", func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		b, err := newAdmissionBench(ctx)
		Expect(err).NotTo(HaveOccurred())
		defer b.close()
		for i := range 20 {
			Expect(b.runRequest(ctx, i, 0)).To(Succeed())
		}
		Eventually(func() int { return b.runner.Snapshot().Running }).Should(BeZero())
	})
})
