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

var startTime = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func hostReading(version string, rows ...adminapi.AccountingRow) burnreport.Host {
	return burnreport.Host{
		Control:    "127.0.0.1:1",
		Accounting: &adminapi.AccountingDocument{Rows: rows},
		Accounts:   &adminapi.AccountsDocument{Accounts: []adminapi.AccountStatus{{Name: "big", Weight: 3}, {Name: "small", Weight: 1}}},
		Rollout:    &adminapi.RolloutDocument{Documents: []adminapi.DocumentStatus{{Document: "table", Version: version}}},
		Targets:    &adminapi.TargetsDocument{},
	}
}

func accountingRow(incarnation, tokens, good, total uint64) adminapi.AccountingRow {
	return adminapi.AccountingRow{
		Entry: "host-1", Incarnation: incarnation, Account: "big", Service: "reports", Received: total, Ran: total,
		Tokens: tokens, FirstToken: accounting.Ratio{Good: good, Total: total}, Complete: accounting.Ratio{Good: total, Total: total},
	}
}

func sampleAt(seconds int, hosts ...burnreport.Host) burnreport.Sample {
	return burnreport.Sample{Time: startTime.Add(time.Duration(seconds) * time.Second), Hosts: hosts}
}

func findObjective(r burnreport.Report, name string) burnreport.ServiceObjective {
	for _, o := range r.Objectives {
		if o.Name == name {
			return o
		}
	}
	Fail("no objective " + name)
	return burnreport.ServiceObjective{}
}

func findPromise(r burnreport.Report, part string) burnreport.Promise {
	for _, p := range r.Promises {
		if strings.Contains(p.Text, part) {
			return p
		}
	}
	Fail("no promise " + part)
	return burnreport.Promise{}
}

var _ = Describe("a burn report", func() {
	It("calculates burn rates since the start and over each window", func() {
		r := burnreport.Build([]burnreport.Sample{
			sampleAt(0, hostReading("1.1", accountingRow(1, 0, 100, 100))),
			sampleAt(60, hostReading("1.1", accountingRow(1, 0, 190, 200))),
		}, []time.Duration{time.Minute, time.Hour})
		o := findObjective(r, "first token")
		Expect(o.SinceStart.BurnRate).To(BeNumerically("~", 1, 1e-9)) // 5% bad, 5% allowed
		Expect(o.Windows).To(HaveLen(1), "the samples do not cover an hour")
		Expect(o.Windows[0].BurnRate).To(BeNumerically("~", 2, 1e-9))
	})

	// A host that cannot be read may be returning errors to all of its callers.
	// Leaving it out of the report would show perfect results for the others.
	It("does not count missing data as good", func() {
		s := sampleAt(0, hostReading("1.1", accountingRow(1, 5, 9, 9)), burnreport.Host{Control: "127.0.0.1:2", Problem: "does not answer"})
		r := burnreport.Build([]burnreport.Sample{s}, nil)
		Expect(r.Complete()).To(BeFalse())
		Expect(findPromise(r, "every token").Verdict).To(Equal(burnreport.Incomplete))
		var text bytes.Buffer
		Expect(burnreport.WriteText(&text, r)).To(Succeed())
		Expect(text.String()).To(ContainSubstring("NOT READ: 127.0.0.1:2"))
	})

	// A replaced entry counts from zero again. Overwriting the old counters with
	// the new ones would lose requests from the totals.
	It("keeps the counts of a replaced entry", func() {
		r := burnreport.Build([]burnreport.Sample{
			sampleAt(0, hostReading("1.1", accountingRow(1, 500, 90, 100))),
			sampleAt(10, hostReading("1.1", accountingRow(2, 20, 10, 10))),
		}, nil)
		Expect(findObjective(r, "first token").SinceStart.Events).To(Equal(accounting.Ratio{Good: 100, Total: 110}))
		Expect(r.Shares[0].Tokens).To(BeEquivalentTo(520))
		Expect(r.EntryRestarts).To(Equal(1))
	})

	// The configuration service is restored from an old backup and a host loads the
	// old table. An accepted edit is lost; only the version number shows it.
	It("reports a reverted edit as a broken promise", func() {
		r := burnreport.Build([]burnreport.Sample{sampleAt(0, hostReading("2.9", accountingRow(1, 1, 1, 1))), sampleAt(1, hostReading("2.8", accountingRow(1, 1, 1, 1)))}, nil)
		Expect(findPromise(r, "accepted edit").Verdict).To(Equal(burnreport.Broken))
		Expect(r.HasBreach()).To(BeTrue())
	})

	// One host still serves with the old table and another cannot be read. The
	// unread host must not count as holding the edit.
	It("counts hosts without the newest table, and hosts that were not read, as bad", func() {
		r := burnreport.Build([]burnreport.Sample{sampleAt(0, hostReading("1.2"), hostReading("1.1"), burnreport.Host{Control: "127.0.0.1:2", Problem: "gone"})}, nil)
		Expect(findObjective(r, "edits in force").SinceStart.Events).To(Equal(accounting.Ratio{Good: 1, Total: 3}))
	})

	It("reports a target above its limit and unbalanced rows", func() {
		h := hostReading("1.1", accountingRow(1, 1, 1, 1))
		h.Targets.Targets = []adminapi.TargetStatus{{Address: "127.0.0.1:9", Known: true, Capacity: 2, Running: 3}}
		h.Accounting.Unbalanced = []adminapi.AccountingRow{{Received: 1}}
		r := burnreport.Build([]burnreport.Sample{sampleAt(0, h)}, nil)
		Expect(findPromise(r, "just started").Verdict).To(Equal(burnreport.Broken))
		Expect(r.UnbalancedRows).To(Equal(1))
	})

	It("compares tokens per weight between accounts", func() {
		small := accountingRow(1, 100, 1, 1)
		small.Account = "small"
		r := burnreport.Build([]burnreport.Sample{sampleAt(0, hostReading("1.1", accountingRow(1, 150, 1, 1), small))}, nil)
		Expect(r.Shares[0].PerWeight).To(BeNumerically("~", 0.5, 1e-9))
		Expect(r.Spread).To(BeNumerically("~", 2, 1e-9))
	})

	It("renders a self-contained HTML page and escapes text from hosts", func() {
		h := burnreport.Host{Control: "127.0.0.1:2", Problem: "<script>alert(1)</script>"}
		r := burnreport.Build([]burnreport.Sample{sampleAt(0, hostReading("1.1", accountingRow(1, 1, 1, 1))), sampleAt(1, hostReading("1.1", accountingRow(1, 2, 1, 2)), h)}, nil)
		var page bytes.Buffer
		Expect(burnreport.WriteHTML(&page, r)).To(Succeed())
		Expect(page.String()).To(And(ContainSubstring("<svg"), ContainSubstring("@media print")))
		Expect(page.String()).NotTo(Or(ContainSubstring("<script"), ContainSubstring("http://"), ContainSubstring("src=")))
	})

	It("reports a control process that returns an invalid document", func() {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("{")) }))
		defer server.Close()
		c := &burnreport.Collector{ControlAddresses: []string{server.Listener.Addr().String()}, Scheme: "http", Client: server.Client()}
		Expect(c.Collect(context.Background()).Hosts[0].Problem).To(ContainSubstring("with an invalid document"))
	})
})
