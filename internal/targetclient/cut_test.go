package targetclient_test

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"net/http/httptest"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/targetclient"
	"filbertdeck/internal/tcpconn/cuttest"
)

var _ = Describe("a response that is cut off while its request is written", func() {
	plain := func() (targetclient.Settings, func(net.Conn) net.Conn) { return targetclient.Settings{}, nil }
	// With TLS the end of a connection is one of the peer's even without its close-notify if it
	// comes between two records.
	encrypted := func() (targetclient.Settings, func(net.Conn) net.Conn) {
		server := httptest.NewTLSServer(nil)
		DeferCleanup(server.Close)
		roots := x509.NewCertPool()
		roots.AddCert(server.Certificate())
		settings := targetclient.Settings{TLS: func() *tls.Config { return &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13} }}
		return settings, func(conn net.Conn) net.Conn {
			return tls.Server(conn, &tls.Config{Certificates: server.TLS.Certificates, MinVersion: tls.VersionTLS13})
		}
	}

	// Guards against the part of a response that looks whole to a caller of either client.
	DescribeTable("ends with an error", func(setUp func() (targetclient.Settings, func(net.Conn) net.Conn), answer string) {
		settings, wrap := setUp()
		target, err := cuttest.Start(answer, wrap)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(target.Close)
		once, ordinary := targetclient.NewAtMostOnceClient(settings), targetclient.New(settings)
		for name, send := range map[string]func(*http.Request) (*http.Response, error){
			"once":     func(req *http.Request) (*http.Response, error) { return once.Do(req, nil) },
			"ordinary": ordinary.Do,
		} {
			whole := 0
			for range 2 * len(cuttest.Pauses) {
				req, err := http.NewRequest(http.MethodPost, "http://"+target.Address()+"/x", bytes.NewReader(make([]byte, cuttest.UploadBytes)))
				Expect(err).NotTo(HaveOccurred())
				resp, err := send(req)
				if err != nil {
					continue
				}
				if _, err := io.ReadAll(resp.Body); err == nil {
					whole++
				}
				_ = resp.Body.Close()
			}
			Expect(whole).To(BeZero(), name)
		}
	},
		Entry("with a part", plain, "HTTP/1.1 200 OK\r\n\r\npart"),
		Entry("with a part in the older version", plain, "HTTP/1.0 200 OK\r\n\r\npart"),
		Entry("without a body", plain, "HTTP/1.1 422 Unprocessable Content\r\nConnection: close\r\n\r\n"),
		Entry("with a part, over TLS", encrypted, "HTTP/1.1 200 OK\r\n\r\npart"),
	)
})
