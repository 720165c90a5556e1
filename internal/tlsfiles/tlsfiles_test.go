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

// authority signs certificates for 127.0.0.1.
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

var serial int64 = 10

// write puts a new certificate, its key and the authority into dir.
func (a *authority) write(dir string) (files tlsfiles.Files, number int64) {
	serial++
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
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
		changed := time.Now().Add(time.Duration(serial) * time.Minute) // a time of its own for each version
		Expect(os.Chtimes(name, changed, changed)).To(Succeed())
	}
	return files, serial
}

func load(files tlsfiles.Files) *tlsfiles.Source {
	s, err := tlsfiles.Load(files)
	Expect(err).NotTo(HaveOccurred())
	return s
}

// shake makes one connection and gives the server certificate's number.
func shake(server, client *tls.Config) (int64, error) {
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
		return 0, err // a refusal of the client's certificate shows here
	}
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

var _ = Describe("an identity from files", func() {
	It("verifies both sides", func() {
		ours, other := newAuthority(), newAuthority()
		files, number := ours.write(GinkgoT().TempDir())
		source := load(files)
		Expect(shake(source.Server(), source.Client())).To(Equal(number))
		foreignFiles, _ := other.write(GinkgoT().TempDir())
		foreign := load(foreignFiles)
		for name, pair := range map[string][2]*tls.Config{
			"a client of another authority": {source.Server(), withRoots(foreign.Client(), source.Client())},
			"a client without certificate":  {source.Server(), {InsecureSkipVerify: true}},
			"a server of another authority": {foreign.Server(), source.Client()},
			"a server of another name":      {source.Server(), named(source.Client(), "127.0.0.2")},
		} {
			_, err := shake(pair[0], pair[1])
			Expect(err).To(HaveOccurred(), name)
		}
		Expect(source.Expires()).To(BeTemporally(">", time.Now()))
	})

	// The platform renews a certificate in place. Processes that went on with
	// the old one would be cut off from their peers at its expiry, all at once.
	// A renewal that is caught half-way must change nothing until it is whole.
	It("follows its files, and only whole sets of them", func() {
		dir := GinkgoT().TempDir()
		files, before := newAuthority().write(dir)
		source := load(files)
		server := source.Server()
		Expect(shake(server, source.Client())).To(Equal(before))

		oldKey, err := os.ReadFile(files.Key)
		Expect(err).NotTo(HaveOccurred())
		_, after := newAuthority().write(dir)
		newKey, err := os.ReadFile(files.Key)
		Expect(err).NotTo(HaveOccurred())
		Expect(os.WriteFile(files.Key, oldKey, 0o600)).To(Succeed())
		Eventually(func() int64 {
			Expect(shake(server, source.Client())).To(Equal(before), "half a renewal")
			return source.Failures()
		}, "10s", "100ms").Should(BeNumerically(">", 0))

		Expect(os.WriteFile(files.Key, newKey, 0o600)).To(Succeed())
		Eventually(func() (int64, error) { return shake(server, source.Client()) }, "10s", "100ms").Should(Equal(after))
	})

	It("secures gRPC in both directions", func() {
		files, _ := newAuthority().write(GinkgoT().TempDir())
		source := load(files)
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		server := grpc.NewServer(grpc.Creds(source.GRPCServer()))
		go func() { _ = server.Serve(l) }()
		DeferCleanup(server.Stop)
		for creds, want := range map[credentials.TransportCredentials]codes.Code{
			source.GRPCClient().Clone():       codes.Unimplemented, // it got through
			insecure.NewCredentials():         codes.Unavailable,
			credentials.NewTLS(&tls.Config{}): codes.Unavailable,
		} {
			conn, err := grpc.NewClient(l.Addr().String(), grpc.WithTransportCredentials(creds))
			Expect(err).NotTo(HaveOccurred())
			err = conn.Invoke(context.Background(), "/none/None", &filbertv1.RunOnceRequest{}, &filbertv1.RunOnceReply{})
			Expect(status.Code(err)).To(Equal(want))
			_ = conn.Close()
		}
	})

	It("is refused with a type when a file can't be used", func() {
		dir := GinkgoT().TempDir()
		files, _ := newAuthority().write(dir)
		Expect(os.WriteFile(filepath.Join(dir, "empty"), nil, 0o600)).To(Succeed())
		for _, broken := range []tlsfiles.Files{
			{Cert: filepath.Join(dir, "none"), Key: files.Key},
			{Cert: files.Key, Key: files.Cert},
			{Cert: files.Cert, Key: files.Key, CA: filepath.Join(dir, "empty")},
		} {
			_, err := tlsfiles.Load(broken)
			Expect(failure.KindOf(err)).To(Equal(failure.KindSettingInvalid))
		}
	})
})

// withRoots makes a client accept the server, so that the refusal is the
// server's.
func withRoots(c, trusting *tls.Config) *tls.Config {
	c.RootCAs = trusting.RootCAs
	return c
}

func named(c *tls.Config, name string) *tls.Config {
	c.ServerName = name
	return c
}

var _ = DescribeTable("a listener in plain text must be asked for and local",
	func(address string, secured, asked, ok bool) {
		err := tlsfiles.CheckListener(address, secured, asked)
		if ok {
			Expect(err).NotTo(HaveOccurred())
			return
		}
		Expect(failure.KindOf(err)).To(Equal(failure.KindSettingInvalid))
	},
	Entry(nil, "10.0.0.1:80", true, false, true), Entry(nil, "127.0.0.1:80", false, true, true), Entry(nil, "[::1]:80", false, true, true),
	Entry(nil, "127.0.0.1:80", false, false, false), Entry(nil, "10.0.0.1:80", false, true, false), Entry(nil, ":80", false, true, false),
	Entry(nil, "0.0.0.0:80", false, true, false), Entry(nil, "localhost", false, true, false),
)
