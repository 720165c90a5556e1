package process_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/accounting"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/fleet"
)

func TestProcess(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "programs as real processes")
}

const (
	schoolKey = "process-test-school"
	clinicKey = "process-test-clinic"
)

var (
	bin  string
	deck *fleet.Fleet
)

var tableText = "kind,name,weight,max_running,tokens_per_second,priority,key_sha256,services,type,delivery,max_tokens,max_wait_ms,queue_limit\n" +
	"account,school,1,,,," + fleet.KeyDigest(schoolKey) + ",,,,,,\n" +
	"account,clinic,1,,,," + fleet.KeyDigest(clinicKey) + ",sites,,,,,\n" +
	"service,reports,,,,,,,generation,stream,2000,30000,200\n" +
	"service,sites,,,,,,,lookup,,,5000,500\n" +
	"service,orders,,,,,,,once,,,5000,500\n"

var _ = BeforeSuite(func() {
	bin = GinkgoT().TempDir()
	Expect(fleet.BuildPrograms(bin)).To(Succeed())
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var err error
	deck, err = fleet.Start(ctx, fleet.Spec{
		BinDir: bin, Table: tableText, Hosts: []string{"a", "a"}, Engines: []string{"a"}, Apps: []string{"a"},
		EngineServices: []string{"reports"}, AppServices: []string{"sites", "orders"},
		EntryArgs: []string{"--body-limit", "4096"},
	})
	Expect(err).NotTo(HaveOccurred())
})

var _ = AfterSuite(func() {
	if deck != nil {
		deck.Close()
	}
})

type request struct {
	method, path, key, body string
	header                  http.Header
}

func send(r request) (int, failure.Problem, string) {
	req, err := http.NewRequest(r.method, "http://"+deck.Hosts[0].ClientAddress+r.path, strings.NewReader(r.body))
	Expect(err).NotTo(HaveOccurred())
	for name, values := range r.header {
		req.Header[name] = values
	}
	if r.key != "" {
		req.Header.Set("Authorization", "Bearer "+r.key)
	}
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	var p failure.Problem
	if resp.Header.Get("Content-Type") == failure.ProblemType {
		Expect(json.Unmarshal(body, &p)).To(Succeed())
	}
	return resp.StatusCode, p, string(body)
}

func completion(model, prompt string, extra string) string {
	return fmt.Sprintf(`{"model":%q,"prompt":%q%s}`, model, prompt, extra)
}

var _ = Describe("a caller's bad input", func() {
	// Clients send rubbish: a truncated body, a wrong key, a service of
	// another deployment. A caller without a typed answer cannot tell whether
	// its work order was booked, and a process that falls over takes the
	// requests of everybody else with it.
	DescribeTable("gets a problem document, and the process goes on",
		func(r request, status int, kind failure.Kind) {
			got, problem, body := send(r)
			Expect(got).To(Equal(status), body)
			Expect(problem.Title).To(Equal(string(kind)))
			Expect(problem.Executed).NotTo(Equal(failure.ExecutedYes))
			got, _, body = send(request{method: "GET", path: "/v1/services/sites/x", key: schoolKey})
			Expect(got).To(Equal(http.StatusOK), body)
		},
		Entry("no key", request{method: "POST", path: "/v1/completions", body: "{}"}, 401, failure.KindUnauthorized),
		Entry("a wrong key", request{method: "POST", path: "/v1/completions", key: "nobody", body: "{}"}, 401, failure.KindUnauthorized),
		Entry("an empty body", request{method: "POST", path: "/v1/completions", key: schoolKey}, 400, failure.KindBadRequest),
		Entry("half a body", request{method: "POST", path: "/v1/completions", key: schoolKey, body: `{"model":`}, 400, failure.KindBadRequest),
		Entry("a wrong type", request{method: "POST", path: "/v1/completions", key: schoolKey, body: `{"model":7}`}, 400, failure.KindBadRequest),
		Entry("no prompt", request{method: "POST", path: "/v1/completions", key: schoolKey, body: `{"model":"reports"}`}, 400, failure.KindBadRequest),
		Entry("two answers", request{method: "POST", path: "/v1/completions", key: schoolKey, body: completion("reports", "x", `,"n":2`)}, 400, failure.KindBadRequest),
		Entry("too many tokens", request{method: "POST", path: "/v1/completions", key: schoolKey, body: completion("reports", "x", `,"max_tokens":2001`)}, 400, failure.KindBadRequest),
		Entry("an unknown service", request{method: "POST", path: "/v1/completions", key: schoolKey, body: completion("novels", "x", "")}, 404, failure.KindUnknownService),
		Entry("a plain service as a model", request{method: "POST", path: "/v1/completions", key: schoolKey, body: completion("sites", "x", "")}, 400, failure.KindBadRequest),
		Entry("another account's service", request{method: "POST", path: "/v1/completions", key: clinicKey, body: completion("reports", "x", "")}, 403, failure.KindForbidden),
		Entry("an oversized body", request{method: "POST", path: "/v1/completions", key: schoolKey, body: completion("reports", strings.Repeat("x", 5000), "")}, 413, failure.KindBodyTooLarge),
		Entry("a wrong method", request{method: "GET", path: "/v1/completions", key: schoolKey}, 405, failure.KindMethod),
		Entry("an unknown path", request{method: "GET", path: "/v2/x", key: schoolKey}, 404, failure.KindNotFound),
		Entry("a forged handle", request{method: "POST", path: "/v1/completions", key: schoolKey, body: completion("reports", "x", `,"stream":true`), header: http.Header{"Last-Event-Id": {"AAAA"}}}, 400, failure.KindHandleInvalid),
		Entry("a booking without a key", request{method: "POST", path: "/v1/services/orders/book", key: schoolKey}, 400, failure.KindKeyRequired),
		Entry("a forged minted key", request{method: "POST", path: "/v1/services/orders/book", key: schoolKey, header: http.Header{"Idempotency-Key": {"fdk1.AAAA"}}}, 400, failure.KindKeyInvalid),
	)

	It("leaves the accounting balanced", func() {
		var s accounting.Snapshot
		Expect(deck.GetJSON("http://"+deck.Hosts[0].EntryAdminAddress+"/accounting", &s)).To(Succeed())
		Expect(s.Unbalanced).To(BeZero())
		Expect(s.Rows).NotTo(BeEmpty())
	})
})

var _ = Describe("a program's settings", func() {
	DescribeTable("end the process with exit code 2 and one clear line",
		func(program string, args []string, parts ...string) {
			var stderr bytes.Buffer
			cmd := exec.Command(filepath.Join(bin, program), args...)
			cmd.Stderr = &stderr
			_ = cmd.Run()
			Expect(cmd.ProcessState.ExitCode()).To(Equal(2), stderr.String())
			for _, part := range parts {
				Expect(stderr.String()).To(ContainSubstring(part))
			}
		},
		Entry("a bad address", "filbert-entry", []string{"--listen", "everywhere"}, "--listen", "FILBERT_ENTRY_LISTEN", "everywhere"),
		Entry("plain text that nobody asked for", "filbert-entry", []string{"--listen", "127.0.0.1:0"}, "plain text"),
		Entry("plain text beyond loopback", "filbert-control", []string{"--plain-text", "--listen", "0.0.0.0:0"}, "loopback"),
		Entry("a certificate without its key", "filbert-control", []string{"--tls-cert", "/dev/null"}, "--tls-key"),
		Entry("a stop without notice", "filbert-entry", []string{"--plain-text", "--stop-notice", "0s", "--listen", "127.0.0.1:1"}, "--stop-notice", "FILBERT_STOP_NOTICE", "0s"),
		Entry("a key ring that is none", "filbert-entry", []string{"--plain-text", "--key-ring", "/dev/null"}, "key"),
	)
})
