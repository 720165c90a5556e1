package process_test

import (
	"context"
	"crypto/tls"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/fleet"
	"filbertdeck/internal/rpc"
)

var _ = Describe("TLS", Ordered, func() {
	var secured *fleet.Fleet
	var authority *fleet.Authority
	var dir string

	BeforeAll(func() {
		dir = GinkgoT().TempDir()
		var err error
		authority, err = fleet.NewAuthority()
		Expect(err).NotTo(HaveOccurred())
		files, err := authority.Issue(dir)
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		secured, err = fleet.Start(ctx, fleet.Spec{
			BinDir: bin, Table: tableText, Hosts: []string{"a", "a"}, Engines: []string{"a"}, Apps: []string{"a"},
			EngineServices: []string{"reports"}, AppServices: []string{"sites", "orders"}, TLS: &files,
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(secured.Close)
	})

	call := func() (*http.Response, error) {
		body := strings.NewReader(completion("reports", "x [tokens=5]", ""))
		req, err := http.NewRequest(http.MethodPost, "https://"+secured.Hosts[1].ClientAddress+"/v1/completions", body)
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Authorization", "Bearer "+schoolKey)
		req.Close = true // each call shakes hands anew
		return secured.HTTP().Do(req)
	}

	It("carries the whole path, from the caller to the allocator of another host", func() {
		resp, err := call()
		Expect(err).NotTo(HaveOccurred())
		_ = resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
	})

	// Somebody within the network speaks to a control process and asks for
	// places on targets, or takes the table with its accounts. Without a
	// certificate of the fleet's authority nobody gets that far.
	It("lets no process in that shows no certificate", func() {
		conn, err := rpc.Dial(secured.Hosts[0].ControlAddress, rpc.Credentials{})
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_, err = filbertv1.NewAdmissionClient(conn).Confirm(ctx, &filbertv1.ConfirmRequest{})
		Expect(err).To(HaveOccurred())
	})

	// The platform renews certificates in place while the process runs. One
	// that kept the old certificate would be cut off at its expiry.
	It("shows a renewed certificate without a restart", func() {
		before, err := call()
		Expect(err).NotTo(HaveOccurred())
		_ = before.Body.Close()
		_, err = authority.Issue(dir)
		Expect(err).NotTo(HaveOccurred())
		serial := func(s *tls.ConnectionState) string { return s.PeerCertificates[0].SerialNumber.String() }
		Eventually(func(g Gomega) {
			after, err := call()
			g.Expect(err).NotTo(HaveOccurred())
			_ = after.Body.Close()
			g.Expect(after.StatusCode).To(Equal(http.StatusOK))
			g.Expect(serial(after.TLS)).NotTo(Equal(serial(before.TLS)))
		}).WithTimeout(15 * time.Second).WithPolling(100 * time.Millisecond).Should(Succeed())
	})
})
