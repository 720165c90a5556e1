package ctl_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/adminapi"
	"filbertdeck/internal/ctl"
	"filbertdeck/internal/failure"
)

func TestCtl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ctl")
}

func run(args ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	code = ctl.Run(context.Background(), args, &o, &e)
	return code, o.String(), e.String()
}

func file(text string) string {
	path := filepath.Join(GinkgoT().TempDir(), "table.csv")
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

// control is a control process's administration API that answers the same to
// everything.
func control(doc any) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer t" {
			failure.Write(w, failure.New(failure.KindUnauthorized, "token unknown"))
			return
		}
		_ = json.NewEncoder(w).Encode(doc)
	}))
	DeferCleanup(s.Close)
	return s.Listener.Addr().String()
}

func rolloutOf(version, refused string) adminapi.RolloutDocument {
	return adminapi.RolloutDocument{Ready: true, Documents: []adminapi.DocumentStatus{
		{Document: "table", Version: version, Digest: "d" + version, RefusedVersion: refused, RefusedReason: strings.Repeat("weight", min(1, len(refused)))}}}
}

const good = "kind,name,weight\nservice,reports,\naccount,clinic,2\n"

var _ = Describe("filbertctl", func() {
	It("checks a table and names every fault with its place", func() {
		code, out, _ := run("table", "check", file(good))
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(Equal("valid: 1 accounts, 1 services\n"))
		code, out, _ = run("table", "check", file(good+"account,x,-1\naccount,x y,\n"))
		Expect(code).To(Equal(ctl.ExitFault))
		Expect(out).To(ContainSubstring(`row 4, column weight: "-1"; allowed: a number above 0`))
		Expect(out).To(HaveSuffix("2 faults\n"))
		code, out, _ = run("--json", "table", "check", file(good+"user,x,\n"))
		Expect(code).To(Equal(ctl.ExitFault))
		Expect(out).To(And(ContainSubstring(`"valid": false`), ContainSubstring(`"row": 4`)))
	})

	It("shows what an edit changes for whom", func() {
		code, out, _ := run("table", "diff", file(good), file(strings.Replace(good, "clinic,2", "clinic,3", 1)))
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(Equal("changed account clinic: weight 2 -> 3\n1 rows differ\n"))
		code, _, errs := run("table", "diff", file(good), file("nothing"))
		Expect(code).To(Equal(ctl.ExitFault))
		Expect(errs).To(ContainSubstring("header"))
	})

	DescribeTable("shows the rollout", func(a, b adminapi.RolloutDocument, code int, contains string) {
		got, out, _ := run("--token", "t", "--control", control(a), "--control", control(b), "table", "rollout")
		Expect(got).To(Equal(code))
		Expect(out).To(ContainSubstring(contains))
	},
		Entry("the same everywhere", rolloutOf("0.7", ""), rolloutOf("0.7", ""), ctl.ExitOK, "in force"),
		Entry("hosts differ", rolloutOf("0.7", ""), rolloutOf("0.8", ""), ctl.ExitFault, "0.8"),
		Entry("a revision was refused", rolloutOf("0.7", "0.8"), rolloutOf("0.7", "0.8"), ctl.ExitFault, "refused 0.8"),
	)

	// One of two hosts is down. Printing only the other's answer with exit code
	// 0 would read as if the edit were in force everywhere.
	It("says which hosts it could not reach, and does not call it good", func() {
		gone := httptest.NewServer(http.NotFoundHandler())
		address := gone.Listener.Addr().String()
		gone.Close()
		code, out, errs := run("--token", "t", "--control", control(rolloutOf("0.7", "")), "--control", address, "table", "rollout")
		Expect(code).To(Equal(ctl.ExitUnreachable))
		Expect(out).To(ContainSubstring("not reached"))
		Expect(errs).To(ContainSubstring(address))
	})

	DescribeTable("shows", func(command string, doc any, contains string) {
		code, out, _ := run("--token", "t", "--control", control(doc), "--control", control(doc), command)
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(ContainSubstring(contains))
		code, out, _ = run("--json", "--token", "t", "--control", control(doc), command)
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(json.Valid([]byte(out))).To(BeTrue())
	},
		Entry("hosts", "hosts", adminapi.HostsDocument{Hosts: []adminapi.HostStatus{{Name: "h1", Member: "suspect"}}}, "suspect"),
		Entry("targets", "targets", adminapi.TargetsDocument{Targets: []adminapi.TargetStatus{{Address: "10.1.0.1:1", UsedTokens: 5, MemoryTokens: 9}}}, "5/9"),
		Entry("accounts summed over hosts", "accounts", adminapi.AccountsDocument{Accounts: []adminapi.AccountStatus{{Name: "clinic", Tokens: 450}}}, "900"),
	)

	DescribeTable("tells wrong use apart", func(code int, contains string, args ...string) {
		got, out, errs := run(args...)
		Expect(got).To(Equal(code))
		Expect(out + errs).To(ContainSubstring(contains))
	},
		Entry("nothing", ctl.ExitUsage, "Usage"),
		Entry("unknown command", ctl.ExitUsage, "Usage", "dance"),
		Entry("no control", ctl.ExitUsage, "--control", "hosts"),
		Entry("no address by number", ctl.ExitUsage, "ip:port", "--control", "h1:80", "hosts"),
		Entry("no file", ctl.ExitUsage, "table file", "table", "check", "/nonexistent.csv"),
		Entry("help", ctl.ExitOK, "Exit codes", "--help"),
		Entry("version", ctl.ExitOK, "filbertctl", "--version"),
		Entry("no CA", ctl.ExitUsage, "--ca", "--ca", "/nonexistent.pem", "--control", "127.0.0.1:1", "hosts"),
	)

	It("reports a wrong token as a host it could not ask", func() {
		code, _, errs := run("--token", "other", "--control", control(nil), "hosts")
		Expect(code).To(Equal(ctl.ExitUnreachable))
		Expect(errs).To(ContainSubstring("unauthorized"))
	})
})

var _ = Describe("explain", func() {
	const refused = `{"time":"2026-01-15T00:00:01Z","level":"INFO","msg":"request refused","host":"h1","request":"r1","kind":"no-target"}`

	// The engineer on call has a request's id and the logs of all hosts.
	It("names the cause and the line that decided it", func() {
		code, out, _ := run("explain", "--log", file(refused), "r1")
		Expect(code).To(Equal(ctl.ExitFault))
		Expect(out).To(HavePrefix("r1: refused (no-target)\n"))
		Expect(out).To(ContainSubstring("decided by: " + refused))
	})

	It("counts all requests by cause", func() {
		code, out, _ := run("--json", "explain", "--log", file(refused), "--tally")
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(MatchJSON(`[{"cause":"refused","detail":"no-target","requests":1}]`))
	})

	DescribeTable("refuses what makes no sense", func(args ...string) {
		code, _, errs := run(args...)
		Expect(code).To(Equal(ctl.ExitUsage))
		Expect(errs).NotTo(BeEmpty())
	},
		Entry("neither ids nor a tally", "explain", "--log", "-"),
		Entry("a log that is not there", "explain", "--log", "/nonexistent/log", "r1"),
		Entry("no log", "explain", "r1"),
	)
})
