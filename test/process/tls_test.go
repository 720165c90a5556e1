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
	var tlsDeployment *fleet.Fleet
	var authority *fleet.CertificateAuthority
	var dir string

	BeforeAll(func() {
		dir = GinkgoT().TempDir()
		var err error
		authority, err = fleet.NewCertificateAuthority()
		Expect(err).NotTo(HaveOccurred())
		files, err := authority.WriteHostCertificate(dir)
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		tlsDeployment, err = fleet.Start(ctx, fleet.Spec{
			BinDir: binDir, Table: tableText, Hosts: []string{"a", "a"}, Engines: []string{"a"}, Apps: []string{"a"},
			EngineServices: []string{"reports"}, AppServices: []string{"sites", "orders"}, TLS: &files,
		})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(tlsDeployment.Close)
	})

	postCompletion := func() (*http.Response, error) {
		body := strings.NewReader(completionBody("reports", "x [tokens=5]", ""))
		req, err := http.NewRequest(http.MethodPost, "https://"+tlsDeployment.Hosts[1].ClientAddress+"/v1/completions", body)
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Authorization", "Bearer "+schoolKey)
		req.Close = true // a new TLS handshake per call
		return tlsDeployment.HTTPClient().Do(req)
	}

	It("secures the whole path, from the caller to the allocator of another host", func() {
		resp, err := postCompletion()
		Expect(err).NotTo(HaveOccurred())
		_ = resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
	})

	// Guards against a process in the network that connects to a control process
	// to obtain leases on targets or to read the table with its accounts. Only
	// holders of a certificate from the deployment's authority may connect.
	It("rejects a process without a client certificate", func() {
		conn, err := rpc.Dial(tlsDeployment.Hosts[0].ControlAddress, rpc.Credentials{})
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_, err = filbertv1.NewAdmissionClient(conn).Confirm(ctx, &filbertv1.ConfirmRequest{})
		Expect(err).To(HaveOccurred())
	})

	// The platform renews certificates in place while the process runs. A process
	// that kept the old certificate would lose its connections when it expires.
	It("presents a renewed certificate without a restart", func() {
		before, err := postCompletion()
		Expect(err).NotTo(HaveOccurred())
		_ = before.Body.Close()
		_, err = authority.WriteHostCertificate(dir)
		Expect(err).NotTo(HaveOccurred())
		serialNumber := func(s *tls.ConnectionState) string { return s.PeerCertificates[0].SerialNumber.String() }
		Eventually(func(g Gomega) {
			after, err := postCompletion()
			g.Expect(err).NotTo(HaveOccurred())
			_ = after.Body.Close()
			g.Expect(after.StatusCode).To(Equal(http.StatusOK))
			g.Expect(serialNumber(after.TLS)).NotTo(Equal(serialNumber(before.TLS)))
		}).WithTimeout(15 * time.Second).WithPolling(100 * time.Millisecond).Should(Succeed())
	})
})
