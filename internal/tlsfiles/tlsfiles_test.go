package tlsfiles_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	filbertv1 "filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/tlsfiles"
)

func TestTLSFiles(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tlsfiles")
}

// authority is a CA that signs certificates for 127.0.0.1.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	der  []byte
}

func newAuthority() *authority {
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	cert, _ := x509.ParseCertificate(der)
	return &authority{cert, key, der}
}

var lastSerial int64 = 10

// writeFiles writes a new certificate, its key and the CA certificate to dir.
func (a *authority) writeFiles(dir string) (files tlsfiles.Files, serialNumber int64) {
	lastSerial++
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(lastSerial), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	Expect(err).NotTo(HaveOccurred())
	keyDER, _ := x509.MarshalECPrivateKey(key)
	files = tlsfiles.Files{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), CA: filepath.Join(dir, "ca")}
	for name, block := range map[string]*pem.Block{
		files.Cert: {Type: "CERTIFICATE", Bytes: der},
		files.Key:  {Type: "EC PRIVATE KEY", Bytes: keyDER},
		files.CA:   {Type: "CERTIFICATE", Bytes: a.der},
	} {
		Expect(os.WriteFile(name, pem.EncodeToMemory(block), 0o600)).To(Succeed())
		changed := time.Now().Add(time.Duration(lastSerial) * time.Minute) // distinct for each version
		Expect(os.Chtimes(name, changed, changed)).To(Succeed())
	}
	return files, lastSerial
}

func loadSource(files tlsfiles.Files) *tlsfiles.Source {
	s, err := tlsfiles.Load(files)
	Expect(err).NotTo(HaveOccurred())
	return s
}

// handshake opens one connection and returns the serial number of the server's
// certificate.
func handshake(server, client *tls.Config) (int64, error) {
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	go func() {
		if conn, err := l.Accept(); err == nil {
			_, _ = conn.Write([]byte("x"))
			_ = conn.Close()
		}
	}()
	conn, err := tls.Dial("tcp", l.Addr().String(), client)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return 0, err // a rejected client certificate is reported by this read
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

var _ = Describe("an identity from files", func() {
	It("verifies clients and servers", func() {
		trusted, other := newAuthority(), newAuthority()
		files, serialNumber := trusted.writeFiles(GinkgoT().TempDir())
		source := loadSource(files)
		Expect(handshake(source.ServerConfig(), source.ClientConfig())).To(Equal(serialNumber))
		otherFiles, _ := other.writeFiles(GinkgoT().TempDir())
		otherSource := loadSource(otherFiles)
		for name, configs := range map[string][2]*tls.Config{
			"a client of another CA":       {source.ServerConfig(), withRoots(otherSource.ClientConfig(), source.ClientConfig())},
			"a client without certificate": {source.ServerConfig(), {InsecureSkipVerify: true}},
			"a server of another CA":       {otherSource.ServerConfig(), source.ClientConfig()},
			"a server of another name":     {source.ServerConfig(), withServerName(source.ClientConfig(), "127.0.0.2")},
		} {
			_, err := handshake(configs[0], configs[1])
			Expect(err).To(HaveOccurred(), name)
		}
		Expect(source.ExpiresAt()).To(BeTemporally(">", time.Now()))
	})

	// The platform renews certificates in place. Processes that kept the old one
	// would all lose their peers when it expires. A renewal that is only partly
	// written must not take effect before it is complete.
	It("is reloaded when a complete set of files has changed", func() {
		dir := GinkgoT().TempDir()
		files, oldSerial := newAuthority().writeFiles(dir)
		source := loadSource(files)
		server := source.ServerConfig()
		Expect(handshake(server, source.ClientConfig())).To(Equal(oldSerial))

		oldKey, err := os.ReadFile(files.Key)
		Expect(err).NotTo(HaveOccurred())
		_, newSerial := newAuthority().writeFiles(dir)
		newKey, err := os.ReadFile(files.Key)
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(files.Key, oldKey, 0o600)).To(Succeed())
		Eventually(func() int64 {
			Expect(handshake(server, source.ClientConfig())).To(Equal(oldSerial), "the renewal is incomplete")
			return source.ReloadFailures()
		}, "10s", "100ms").Should(BeNumerically(">", 0))

		Expect(os.WriteFile(files.Key, newKey, 0o600)).To(Succeed())
		Eventually(func() (int64, error) { return handshake(server, source.ClientConfig()) }, "10s", "100ms").Should(Equal(newSerial))
	})

	It("authenticates gRPC clients and servers", func() {
		files, _ := newAuthority().writeFiles(GinkgoT().TempDir())
		source := loadSource(files)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := grpc.NewServer(grpc.Creds(source.ServerCredentials()))
		go func() { _ = server.Serve(l) }()
		DeferCleanup(server.Stop)
		for creds, want := range map[credentials.TransportCredentials]codes.Code{
			source.ClientCredentials().Clone(): codes.Unimplemented, // the call reached the server
			insecure.NewCredentials():          codes.Unavailable,
			credentials.NewTLS(&tls.Config{}):  codes.Unavailable,
		} {
			conn, err := grpc.NewClient(l.Addr().String(), grpc.WithTransportCredentials(creds))
			Expect(err).NotTo(HaveOccurred())
			err = conn.Invoke(context.Background(), "/none/None", &filbertv1.RunOnceRequest{}, &filbertv1.RunOnceReply{})
			Expect(status.Code(err)).To(Equal(want))
			_ = conn.Close()
		}
	})

	It("is rejected with a typed error when a file is invalid", func() {
		dir := GinkgoT().TempDir()
		files, _ := newAuthority().writeFiles(dir)
		Expect(os.WriteFile(filepath.Join(dir, "empty"), nil, 0o600)).To(Succeed())
		for _, invalid := range []tlsfiles.Files{
			{Cert: filepath.Join(dir, "none"), Key: files.Key},
			{Cert: files.Key, Key: files.Cert},
			{Cert: files.Cert, Key: files.Key, CA: filepath.Join(dir, "empty")},
		} {
			_, err := tlsfiles.Load(invalid)
			Expect(failure.KindOf(err)).To(Equal(failure.KindSettingInvalid))
		}
	})
})

// withRoots makes a client trust the server, so that only the server can reject
// the connection.
func withRoots(c, rootsFrom *tls.Config) *tls.Config {
	c.RootCAs = rootsFrom.RootCAs
	return c
}

func withServerName(c *tls.Config, name string) *tls.Config {
	c.ServerName = name
	return c
}

var _ = DescribeTable("a plain text listener must be enabled and on loopback",
	func(address string, hasTLS, plainTextAllowed, valid bool) {
		err := tlsfiles.CheckListener(address, hasTLS, plainTextAllowed)
		if valid {
			Expect(err).NotTo(HaveOccurred())
			return
		}
		Expect(failure.KindOf(err)).To(Equal(failure.KindSettingInvalid))
	},
	Entry(nil, "10.0.0.1:80", true, false, true), Entry(nil, "127.0.0.1:80", false, true, true), Entry(nil, "[::1]:80", false, true, true),
	Entry(nil, "127.0.0.1:80", false, false, false), Entry(nil, "10.0.0.1:80", false, true, false), Entry(nil, ":80", false, true, false),
	Entry(nil, "0.0.0.0:80", false, true, false), Entry(nil, "localhost", false, true, false),
)
