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

var _ = Describe("what is measured with", func() {
	// A table that the processes refuse, or an edit that changes more than a
	// row, gives figures of something else than an edit; the page would then
	// promise a cost that no operator sees.
	DescribeTable("tables are valid and edits change one row", func(accounts, pages int) {
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
		Entry("today's", 10, 1), Entry("a full page", pageRows, 1), Entry("the target size", TargetAccounts, 3),
	)

	It("lists are readable, and every host and target has an address of its own", func() {
		hosts, dropped, err := configservice.ParseHosts(jsonText(hostsDocument{1, hostList(TargetHosts)}))
		Expect(err).NotTo(HaveOccurred())
		Expect(dropped).To(BeZero())
		targets, dropped, err := configservice.ParseTargets(jsonText(targetsDocument{1, targetList(TargetServers)}))
		Expect(err).NotTo(HaveOccurred())
		Expect(dropped).To(BeZero())
		seen := map[string]bool{}
		for _, h := range hosts {
			seen[h.Control] = true
		}
		for _, t := range targets {
			seen[t.Address] = true
		}
		Expect(seen).To(HaveLen(TargetHosts + TargetServers))
		Expect(seen).To(HaveEach(BeTrue()))
	})
})

var _ = Describe("what is read", func() {
	DescribeTable("a process's usage", func(stat string, want usage.Usage, ok bool) {
		got, read := usage.ParseStat(stat)
		Expect(read).To(Equal(ok))
		Expect(got).To(Equal(want))
	},
		Entry("a name with a bracket", "7 (a) b) S 1 1 1 0 -1 0 0 0 0 0 250 50 0 0 20 0 9 0 99 1000 3 0",
			usage.Usage{CPU: 3 * time.Second, ResidentBytes: 3 * int64(os.Getpagesize())}, true),
		Entry("no name", "7", usage.Usage{}, false),
		Entry("cut off", "7 (a) S 1 1", usage.Usage{}, false),
		Entry("no number", "7 (a) "+strings.Repeat("x ", 23), usage.Usage{}, false),
	)

	It("bytes and segments of both directions", func() {
		var w wire
		l, err := w.listen()
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = l.Close() }()
		client, err := net.Dial("tcp", l.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		server, err := l.Accept()
		Expect(err).NotTo(HaveOccurred())
		_, _ = client.Write([]byte("ask"))
		_, _ = server.Read(make([]byte, 8))
		_, _ = server.Write([]byte("grant"))
		_ = client.Close()
		_, _ = server.Read(make([]byte, 8))
		payload, segments := w.sample()
		Expect([]int64{payload, segments}).To(Equal([]int64{8, 2}))
	})

	// A bench whose requests are refused measures refusals.
	It("admission grants and settles every request", func() {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		b, err := newBench(ctx)
		Expect(err).NotTo(HaveOccurred())
		defer b.close()
		for i := range 20 {
			Expect(b.one(ctx, i, 0)).To(Succeed())
		}
		Eventually(func() int { return b.runner.Snapshot().Running }).Should(BeZero())
	})
})
