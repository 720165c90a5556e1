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

// Authority signs the certificates of a deployment on this machine. Its life
// is an hour; real hosts get theirs from the platform.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

const authorityLife = time.Hour

// NewAuthority makes an authority.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindInternal, "no key for the authority")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "filbertdeck local authority"},
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
		NotBefore: time.Now().Add(-authorityLife), NotAfter: time.Now().Add(authorityLife),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindInternal, "no certificate for the authority")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindInternal, "no certificate for the authority")
	}
	return &Authority{cert: cert, key: key}, nil
}

// Issue writes a certificate for 127.0.0.1, its key and the authority to dir.
// Called again it renews them in place.
func (a *Authority) Issue(dir string) (tlsfiles.Files, error) {
	files := tlsfiles.Files{
		Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem"),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, failure.Wrap(err, failure.KindInternal, "no key for the hosts")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-authorityLife), NotAfter: time.Now().Add(authorityLife),
		KeyUsage: x509.KeyUsageDigitalSignature, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return files, failure.Wrap(err, failure.KindInternal, "no certificate for the hosts")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return files, failure.Wrap(err, failure.KindInternal, "no key for the hosts")
	}
	for name, block := range map[string]*pem.Block{
		files.Cert: {Type: "CERTIFICATE", Bytes: der},
		files.Key:  {Type: "PRIVATE KEY", Bytes: keyDER},
		files.CA:   {Type: "CERTIFICATE", Bytes: a.cert.Raw},
	} {
		if err := os.WriteFile(name, pem.EncodeToMemory(block), 0o600); err != nil {
			return files, failure.Wrap(err, failure.KindInternal, "certificates cannot be written")
		}
	}
	return files, nil
}
