package burnreport_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/accounting"
	"filbertdeck/internal/adminapi"
	"filbertdeck/internal/burnreport"
)

func TestBurn(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "burn report")
}

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func host(version string, rows ...adminapi.AccountingRow) burnreport.Host {
	return burnreport.Host{
		Control:    "127.0.0.1:1",
		Accounting: &adminapi.AccountingDocument{Rows: rows},
		Accounts:   &adminapi.AccountsDocument{Accounts: []adminapi.AccountStatus{{Name: "big", Weight: 3}, {Name: "small", Weight: 1}}},
		Rollout:    &adminapi.RolloutDocument{Documents: []adminapi.DocumentStatus{{Document: "table", Version: version}}},
		Targets:    &adminapi.TargetsDocument{},
	}
}

func row(life, tokens, good, total uint64) adminapi.AccountingRow {
	return adminapi.AccountingRow{
		Entry: "host-1", Incarnation: life, Account: "big", Service: "reports", Received: total, Ran: total,
		Tokens: tokens, FirstToken: accounting.Ratio{Good: good, Total: total}, Complete: accounting.Ratio{Good: total, Total: total},
	}
}

func at(seconds int, hosts ...burnreport.Host) burnreport.Sample {
	return burnreport.Sample{At: start.Add(time.Duration(seconds) * time.Second), Hosts: hosts}
}

func objective(r burnreport.Report, name string) burnreport.ServiceObjective {
	for _, o := range r.Objectives {
		if o.Name == name {
			return o
		}
	}
	Fail("no objective " + name)
	return burnreport.ServiceObjective{}
}

func promise(r burnreport.Report, part string) burnreport.Promise {
	for _, p := range r.Promises {
		if strings.Contains(p.Text, part) {
			return p
		}
	}
	Fail("no promise " + part)
	return burnreport.Promise{}
}

var _ = Describe("a burn report", func() {
	It("divides bad events by the budget, over each window", func() {
		r := burnreport.Build([]burnreport.Sample{
			at(0, host("1.1", row(1, 0, 100, 100))),
			at(60, host("1.1", row(1, 0, 190, 200))),
		}, []time.Duration{time.Minute, time.Hour})
		o := objective(r, "first token")
		Expect(o.Since.Burn).To(BeNumerically("~", 1, 1e-9)) // 5% bad, 5% allowed
		Expect(o.Windows).To(HaveLen(1), "an hour was not observed")
		Expect(o.Windows[0].Burn).To(BeNumerically("~", 2, 1e-9))
	})

	// A host is cut off and cannot be read. Its callers may see nothing but
	// errors; a report that leaves it out would show the rest as perfect.
	It("never counts missing data as good", func() {
		s := at(0, host("1.1", row(1, 5, 9, 9)), burnreport.Host{Control: "127.0.0.1:2", Problem: "does not answer"})
		r := burnreport.Build([]burnreport.Sample{s}, nil)
		Expect(r.Complete()).To(BeFalse())
		Expect(promise(r, "every token").Verdict).To(Equal(burnreport.Incomplete))
		var text bytes.Buffer
		Expect(burnreport.Text(&text, r)).To(Succeed())
		Expect(text.String()).To(ContainSubstring("NOT READ: 127.0.0.1:2"))
	})

	// An entry is replaced and counts from zero. Taking its new counters for
	// the old ones would make requests disappear from the account.
	It("keeps the counts of an entry that was replaced", func() {
		r := burnreport.Build([]burnreport.Sample{
			at(0, host("1.1", row(1, 500, 90, 100))),
			at(10, host("1.1", row(2, 20, 10, 10))),
		}, nil)
		Expect(objective(r, "first token").Since.Events).To(Equal(accounting.Ratio{Good: 100, Total: 110}))
		Expect(r.Shares[0].Tokens).To(BeEquivalentTo(520))
		Expect(r.Restarts).To(Equal(1))
	})

	// The configuration service is restored to yesterday and a host takes
	// yesterday's table. An accepted edit is gone, and only the version tells.
	It("shows an edit that was taken back", func() {
		r := burnreport.Build([]burnreport.Sample{at(0, host("2.9", row(1, 1, 1, 1))), at(1, host("2.8", row(1, 1, 1, 1)))}, nil)
		Expect(promise(r, "accepted edit").Verdict).To(Equal(burnreport.Broken))
		Expect(r.HasBreach()).To(BeTrue())
	})

	// An edit reaches two of three hosts. The third serves by the old weights,
	// and one that cannot be read must not pass for one that holds the edit.
	It("counts hosts without the newest table, and hosts that were not read, as bad", func() {
		r := burnreport.Build([]burnreport.Sample{at(0, host("1.2"), host("1.1"), burnreport.Host{Control: "127.0.0.1:2", Problem: "gone"})}, nil)
		Expect(objective(r, "edits in force").Since.Events).To(Equal(accounting.Ratio{Good: 1, Total: 3}))
	})

	It("shows a target above what it bears, and rows that do not balance", func() {
		h := host("1.1", row(1, 1, 1, 1))
		h.Targets.Targets = []adminapi.TargetStatus{{Address: "127.0.0.1:9", Known: true, Capacity: 2, Running: 3}}
		h.Accounting.Unbalanced = []adminapi.AccountingRow{{Received: 1}}
		r := burnreport.Build([]burnreport.Sample{at(0, h)}, nil)
		Expect(promise(r, "just started").Verdict).To(Equal(burnreport.Broken))
		Expect(r.Unbalanced).To(Equal(1))
	})

	It("compares service per weight", func() {
		small := row(1, 100, 1, 1)
		small.Account = "small"
		r := burnreport.Build([]burnreport.Sample{at(0, host("1.1", row(1, 150, 1, 1), small))}, nil)
		Expect(r.Shares[0].PerWeight).To(BeNumerically("~", 0.5, 1e-9))
		Expect(r.Spread).To(BeNumerically("~", 2, 1e-9))
	})

	It("is one page that needs nothing else and escapes what hosts say", func() {
		h := burnreport.Host{Control: "127.0.0.1:2", Problem: "<script>alert(1)</script>"}
		r := burnreport.Build([]burnreport.Sample{at(0, host("1.1", row(1, 1, 1, 1))), at(1, host("1.1", row(1, 2, 1, 2)), h)}, nil)
		var page bytes.Buffer
		Expect(burnreport.HTML(&page, r)).To(Succeed())
		Expect(page.String()).To(And(ContainSubstring("<svg"), ContainSubstring("@media print")))
		Expect(page.String()).NotTo(Or(ContainSubstring("<script"), ContainSubstring("http://"), ContainSubstring("src=")))
	})

	It("names a control process that answers rubbish or refuses", func() {
		bad := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) }))
		defer bad.Close()
		c := &burnreport.Collector{ControlAddresses: []string{bad.Listener.Addr().String()}, Scheme: "http", Client: bad.Client()}
		Expect(c.Collect(context.Background()).Hosts[0].Problem).To(ContainSubstring("no document"))
	})
})
