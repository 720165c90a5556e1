package fleet

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/tlsfiles"
)

// CertificateAuthority signs the certificates of a local deployment. It is
// valid for an hour; real hosts get their certificates from the platform.
type CertificateAuthority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

const certificateLifetime = time.Hour

// NewCertificateAuthority creates a self-signed authority with a new key.
func NewCertificateAuthority() (*CertificateAuthority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindInternal, "cannot generate the CA key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "filbertdeck local authority"},
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
		NotBefore: time.Now().Add(-certificateLifetime), NotAfter: time.Now().Add(certificateLifetime),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindInternal, "cannot create the CA certificate")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindInternal, "cannot parse the CA certificate")
	}
	return &CertificateAuthority{cert: cert, key: key}, nil
}

// WriteHostCertificate writes a certificate for 127.0.0.1, its private key and
// the CA certificate to dir. Calling it again replaces these files with a
// renewed certificate.
func (a *CertificateAuthority) WriteHostCertificate(dir string) (tlsfiles.Files, error) {
	files := tlsfiles.Files{
		Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem"),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, failure.Wrap(err, failure.KindInternal, "cannot generate the host key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-certificateLifetime), NotAfter: time.Now().Add(certificateLifetime),
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return files, failure.Wrap(err, failure.KindInternal, "cannot create the host certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return files, failure.Wrap(err, failure.KindInternal, "cannot encode the host key")
	}
	for name, block := range map[string]*pem.Block{
		files.Cert: {Type: "CERTIFICATE", Bytes: der},
		files.Key:  {Type: "PRIVATE KEY", Bytes: keyDER},
		files.CA:   {Type: "CERTIFICATE", Bytes: a.cert.Raw},
	} {
		if err := os.WriteFile(name, pem.EncodeToMemory(block), 0o600); err != nil {
			return files, failure.Wrap(err, failure.KindInternal, "cannot write the certificate files")
		}
	}
	return files, nil
}
