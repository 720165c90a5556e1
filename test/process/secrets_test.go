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

var _ = Describe("what a process tells about its callers", func() {
	// Logs go to many readers. A key, a prompt or an answer that slips into a
	// line or a problem document is out for good.
	It("holds no key, no prompt and no body in logs and refusals", func() {
		const prompt = "confidential-family-waiver"
		var said []string
		for _, r := range []request{
			{method: "POST", path: "/v1/completions", key: schoolKey, body: completion("reports", prompt+" [tokens=3]", "")},
			{method: "POST", path: "/v1/completions", key: schoolKey, body: completion("novels", prompt, "")},
			{method: "POST", path: "/v1/completions", key: "wrong-" + schoolKey, body: completion("reports", prompt, "")},
			{method: "POST", path: "/v1/completions", key: schoolKey, body: `{"model":"reports","prompt":"` + prompt},
			{method: "POST", path: "/v1/services/orders/book", key: schoolKey, body: prompt, header: http.Header{"Idempotency-Key": {"fdk1." + prompt}}},
		} {
			status, _, body := send(r)
			if status != http.StatusOK {
				said = append(said, body)
			}
		}
		Expect(said).To(HaveLen(4))
		for _, h := range deck.Hosts {
			said = append(said, h.EntryProcess.Log(), h.ControlProcess.Log())
		}
		for _, text := range said {
			for _, secret := range []string{schoolKey, clinicKey, fleet.OperatorKey, fleet.MonitorKey, prompt} {
				Expect(text).NotTo(ContainSubstring(secret))
			}
		}
	})

	It("names the line of a key ring that cannot be read, never its key", func() {
		ring := filepath.Join(GinkgoT().TempDir(), "ring")
		Expect(os.WriteFile(ring, []byte("1:c2VjcmV0LXNlY3JldC1zZWNyZXQ\n"), 0o600)).To(Succeed())
		code, out := run("filbert-entry", "--plain-text", "--key-ring", ring)
		Expect(code).To(Equal(2), out)
		Expect(out).NotTo(ContainSubstring("c2VjcmV0"))
		Expect(out).To(ContainSubstring("line 1"))
	})
})

var _ = Describe("a request's headers", func() {
	It("are bounded, and the process goes on", func() {
		status, _, _ := send(request{method: "GET", path: "/v1/services/sites/x", key: schoolKey, header: http.Header{"X-Long": {strings.Repeat("x", 64<<10)}}})
		Expect(status).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		status, _, body := send(request{method: "GET", path: "/v1/services/sites/x", key: schoolKey})
		Expect(status).To(Equal(http.StatusOK), body)
	})
})
