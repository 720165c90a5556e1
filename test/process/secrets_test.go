package process_test

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/fleet"
)

var _ = Describe("the logs and problem documents of a process", func() {
	// Logs have many readers. A key, a prompt or a response that is written to a
	// log line or a problem document cannot be taken back.
	It("contain no key, no prompt and no body", func() {
		const prompt = "confidential-family-waiver"
		var outputs []string
		for _, r := range []request{
			{method: "POST", path: "/v1/completions", key: schoolKey, body: completionBody("reports", prompt+" [tokens=3]", "")},
			{method: "POST", path: "/v1/completions", key: schoolKey, body: completionBody("novels", prompt, "")},
			{method: "POST", path: "/v1/completions", key: "wrong-" + schoolKey, body: completionBody("reports", prompt, "")},
			{method: "POST", path: "/v1/completions", key: schoolKey, body: `{"model":"reports","prompt":"` + prompt},
			{method: "POST", path: "/v1/services/orders/book", key: schoolKey, body: prompt, header: http.Header{"Idempotency-Key": {"fdk1." + prompt}}},
		} {
			status, _, body := sendRequest(r)
			if status != http.StatusOK {
				outputs = append(outputs, body)
			}
		}
		Expect(outputs).To(HaveLen(4))
		for _, h := range deployment.Hosts {
			outputs = append(outputs, h.EntryProcess.LogTail(), h.ControlProcess.LogTail())
		}
		for _, text := range outputs {
			for _, secret := range []string{schoolKey, clinicKey, fleet.OperatorKey, fleet.MonitorKey, prompt} {
				Expect(text).NotTo(ContainSubstring(secret))
			}
		}
	})

	It("name the line of a malformed key ring, never its key", func() {
		keyRingPath := filepath.Join(GinkgoT().TempDir(), "ring")
		Expect(os.WriteFile(keyRingPath, []byte("1:c2VjcmV0LXNlY3JldC1zZWNyZXQ\n"), 0o600)).To(Succeed())
		code, out := runProgram("filbert-entry", "--plain-text", "--key-ring", keyRingPath)
		Expect(code).To(Equal(2), out)
		Expect(out).NotTo(ContainSubstring("c2VjcmV0"))
		Expect(out).To(ContainSubstring("line 1"))
	})
})

var _ = Describe("a request's headers", func() {
	It("are limited in size, and the process keeps serving", func() {
		status, _, _ := sendRequest(request{method: "GET", path: "/v1/services/sites/x", key: schoolKey, header: http.Header{"X-Long": {strings.Repeat("x", 64<<10)}}})
		Expect(status).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		status, _, body := sendRequest(request{method: "GET", path: "/v1/services/sites/x", key: schoolKey})
		Expect(status).To(Equal(http.StatusOK), body)
	})
})
