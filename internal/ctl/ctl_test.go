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

func runCtl(args ...string) (code int, out, errs string) {
	var outBuffer, errBuffer bytes.Buffer
	code = ctl.Run(context.Background(), args, &outBuffer, &errBuffer)
	return code, outBuffer.String(), errBuffer.String()
}

func writeFile(text string) string {
	path := filepath.Join(GinkgoT().TempDir(), "table.csv")
	Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed())
	return path
}

// startControl starts the administration API of a control process that returns
// the same document for every request.
func startControl(doc any) string {
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

func newRolloutDocument(version, refused string) adminapi.RolloutDocument {
	return adminapi.RolloutDocument{Ready: true, Documents: []adminapi.DocumentStatus{
		{Document: "table", Version: version, Digest: "d" + version, RefusedVersion: refused, RefusedReason: strings.Repeat("weight", min(1, len(refused)))}}}
}

const validTable = "kind,name,weight\nservice,reports,\naccount,clinic,2\n"

var _ = Describe("filbertctl", func() {
	It("checks a table and reports every fault with its position", func() {
		code, out, _ := runCtl("table", "check", writeFile(validTable))
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(Equal("valid: 1 accounts, 1 services\n"))
		code, out, _ = runCtl("table", "check", writeFile(validTable+"account,x,-1\naccount,x y,\n"))
		Expect(code).To(Equal(ctl.ExitFault))
		Expect(out).To(ContainSubstring(`row 4, column weight: "-1"; allowed: a number above 0`))
		Expect(out).To(HaveSuffix("2 faults\n"))
		code, out, _ = runCtl("--json", "table", "check", writeFile(validTable+"user,x,\n"))
		Expect(code).To(Equal(ctl.ExitFault))
		Expect(out).To(And(ContainSubstring(`"valid": false`), ContainSubstring(`"row": 4`)))
	})

	It("shows the changes that an edit makes to each account", func() {
		code, out, _ := runCtl("table", "diff", writeFile(validTable), writeFile(strings.Replace(validTable, "clinic,2", "clinic,3", 1)))
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(Equal("changed account clinic: weight 2 -> 3\n1 rows differ\n"))
		code, _, errs := runCtl("table", "diff", writeFile(validTable), writeFile("nothing"))
		Expect(code).To(Equal(ctl.ExitFault))
		Expect(errs).To(ContainSubstring("header"))
	})

	DescribeTable("shows the rollout", func(a, b adminapi.RolloutDocument, code int, contains string) {
		gotCode, out, _ := runCtl("--token", "t", "--control", startControl(a), "--control", startControl(b), "table", "rollout")
		Expect(gotCode).To(Equal(code))
		Expect(out).To(ContainSubstring(contains))
	},
		Entry("same version on all hosts", newRolloutDocument("0.7", ""), newRolloutDocument("0.7", ""), ctl.ExitOK, "in force"),
		Entry("different versions", newRolloutDocument("0.7", ""), newRolloutDocument("0.8", ""), ctl.ExitFault, "0.8"),
		Entry("refused revision", newRolloutDocument("0.7", "0.8"), newRolloutDocument("0.7", "0.8"), ctl.ExitFault, "refused 0.8"),
	)

	// Guards against reporting success when one of two hosts is down: exit code
	// 0 would suggest that the edit is in force everywhere.
	It("names the unreachable hosts and returns a non-zero exit code", func() {
		stoppedServer := httptest.NewServer(http.NotFoundHandler())
		address := stoppedServer.Listener.Addr().String()
		stoppedServer.Close()
		code, out, errs := runCtl("--token", "t", "--control", startControl(newRolloutDocument("0.7", "")), "--control", address, "table", "rollout")
		Expect(code).To(Equal(ctl.ExitUnreachable))
		Expect(out).To(ContainSubstring("not reached"))
		Expect(errs).To(ContainSubstring(address))
	})

	DescribeTable("prints", func(command string, doc any, contains string) {
		code, out, _ := runCtl("--token", "t", "--control", startControl(doc), "--control", startControl(doc), command)
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(ContainSubstring(contains))
		code, out, _ = runCtl("--json", "--token", "t", "--control", startControl(doc), command)
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(json.Valid([]byte(out))).To(BeTrue())
	},
		Entry("hosts", "hosts", adminapi.HostsDocument{Hosts: []adminapi.HostStatus{{Name: "h1", MemberState: "suspect"}}}, "suspect"),
		Entry("targets", "targets", adminapi.TargetsDocument{Targets: []adminapi.TargetStatus{{Address: "10.1.0.1:1", UsedTokens: 5, MemoryTokens: 9}}}, "5/9"),
		Entry("accounts summed over hosts", "accounts", adminapi.AccountsDocument{Accounts: []adminapi.AccountStatus{{Name: "clinic", Tokens: 450}}}, "900"),
	)

	DescribeTable("returns the exit code for each kind of usage", func(code int, contains string, args ...string) {
		gotCode, out, errs := runCtl(args...)
		Expect(gotCode).To(Equal(code))
		Expect(out + errs).To(ContainSubstring(contains))
	},
		Entry("no arguments", ctl.ExitUsage, "Usage"),
		Entry("unknown command", ctl.ExitUsage, "Usage", "dance"),
		Entry("no control", ctl.ExitUsage, "--control", "hosts"),
		Entry("no numeric address", ctl.ExitUsage, "ip:port", "--control", "h1:80", "hosts"),
		Entry("no file", ctl.ExitUsage, "table file", "table", "check", "/nonexistent.csv"),
		Entry("help", ctl.ExitOK, "Exit codes", "--help"),
		Entry("version", ctl.ExitOK, "filbertctl", "--version"),
		Entry("no CA", ctl.ExitUsage, "--ca", "--ca", "/nonexistent.pem", "--control", "127.0.0.1:1", "hosts"),
	)

	It("reports a host that rejects the token as unreachable", func() {
		code, _, errs := runCtl("--token", "other", "--control", startControl(nil), "hosts")
		Expect(code).To(Equal(ctl.ExitUnreachable))
		Expect(errs).To(ContainSubstring("unauthorized"))
	})
})

var _ = Describe("explain", func() {
	const refusedLine = `{"time":"2026-01-15T00:00:01Z","level":"INFO","msg":"request refused","host":"h1","request":"r1","kind":"no-target"}`

	// An engineer has the id of a request and the logs of all hosts.
	It("prints the cause and the decisive line", func() {
		code, out, _ := runCtl("explain", "--log", writeFile(refusedLine), "r1")
		Expect(code).To(Equal(ctl.ExitFault))
		Expect(out).To(HavePrefix("r1: refused (no-target)\n"))
		Expect(out).To(ContainSubstring("decided by: " + refusedLine))
	})

	It("counts all requests by cause", func() {
		code, out, _ := runCtl("--json", "explain", "--log", writeFile(refusedLine), "--tally")
		Expect(code).To(Equal(ctl.ExitOK))
		Expect(out).To(MatchJSON(`[{"cause":"refused","detail":"no-target","requests":1}]`))
	})

	DescribeTable("rejects invalid arguments", func(args ...string) {
		code, _, errs := runCtl(args...)
		Expect(code).To(Equal(ctl.ExitUsage))
		Expect(errs).NotTo(BeEmpty())
	},
		Entry("neither ids nor --tally", "explain", "--log", "-"),
		Entry("missing log file", "explain", "--log", "/nonexistent/log", "r1"),
		Entry("no --log", "explain", "r1"),
	)
})
