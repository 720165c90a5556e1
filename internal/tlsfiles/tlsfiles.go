// Package tlsfiles provides TLS configurations from files that may change
// while the process runs: the platform renews certificates in place.
//
// The files are checked for changes during handshakes, at most once per
// interval, so that no goroutine is needed and an idle process reads nothing.
// An invalid set of files (partially written, or a key that does not match its
// certificate) is ignored: the last valid set stays in use, and the failed
// reload is counted. Otherwise a handshake in the middle of a renewal would
// disconnect the host.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"filbertdeck/internal/failure"
)

// minCheckInterval is the minimum interval between two checks for changed files.
// Certificates are renewed days before they expire, so a delay of seconds does
// not matter.
const minCheckInterval = time.Second

// Files holds the paths of one identity's PEM files.
type Files struct {
	Cert, Key string
	// CA contains the CA certificates that verify peers. If it is empty,
	// servers don't verify clients, and clients use the system's CAs.
	CA string
}

// Source is a TLS identity that is reloaded when its files change. It is safe
// for concurrent use.
type Source struct {
	files    Files
	now      func() time.Time
	current  atomic.Pointer[identity]
	failures atomic.Int64

	mu        sync.Mutex
	lastCheck time.Time
}

type identity struct {
	cert     *tls.Certificate
	roots    *x509.CertPool
	versions [3]fileVersion
}

// fileVersion distinguishes two contents of a file without reading it.
type fileVersion struct {
	modified time.Time
	size     int64
}

// Load reads the files. It fails with KindSettingInvalid when they are invalid.
// Errors contain file names, never contents.
func Load(files Files) (*Source, error) {
	s := &Source{files: files, now: time.Now}
	id, err := files.read()
	if err != nil {
		return nil, err
	}
	s.current.Store(id)
	s.lastCheck = s.now()
	return s, nil
}

// ReloadFailures returns the number of failed reloads.
func (s *Source) ReloadFailures() int64 { return s.failures.Load() }

// ExpiresAt returns the expiry time of the current certificate.
func (s *Source) ExpiresAt() time.Time { return s.refreshed().cert.Leaf.NotAfter }

// ServerConfig returns the TLS configuration of a listener. With a CA file,
// clients must present a certificate that the CA signed (mutual TLS).
func (s *Source) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.refreshed().server(), nil
		},
	}
}

func (id *identity) server() *tls.Config {
	config := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*id.cert}, NextProtos: []string{"h2", "http/1.1"}}
	if id.roots != nil {
		config.ClientAuth = tls.RequireAndVerifyClientCert
		config.ClientCAs = id.roots
	}
	return config
}

// ClientConfig returns the TLS configuration for one connection. It presents the
// current certificate and verifies the server with the current CA. A tls.Config
// has fixed root CAs, so a cached one does not follow a change of the CA;
// request a new one for each dial.
func (s *Source) ClientConfig() *tls.Config {
	id := s.refreshed()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*id.cert},
		RootCAs:      id.roots,
	}
}

// refreshed returns the current identity and first checks the files for changes
// if the interval has passed. Only one handshake at a time checks them; others
// use the identity that is loaded.
func (s *Source) refreshed() *identity {
	if s.mu.TryLock() {
		defer s.mu.Unlock()
		if now := s.now(); now.Sub(s.lastCheck) >= minCheckInterval {
			s.lastCheck = now
			s.reload()
		}
	}
	return s.current.Load()
}

func (s *Source) reload() {
	versions, err := s.files.versions()
	if err == nil && versions == s.current.Load().versions {
		return
	}
	id, err := s.files.read()
	if err != nil {
		s.failures.Add(1)
		return
	}
	s.current.Store(id)
}

func (f Files) read() (*identity, error) {
	// The versions are read first, so that a change before the files are read
	// is noticed at the next check.
	versions, err := f.versions()
	if err != nil {
		return nil, err
	}
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindSettingInvalid, "cannot load certificate %s with key %s", f.Cert, f.Key)
	}
	id := &identity{cert: &cert, versions: versions}
	if f.CA == "" {
		return id, nil
	}
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindSettingInvalid, "cannot read CA file %s", f.CA)
	}
	id.roots = x509.NewCertPool()
	if !id.roots.AppendCertsFromPEM(pem) {
		return nil, failure.New(failure.KindSettingInvalid, "CA file %s contains no certificate", f.CA)
	}
	return id, nil
}

func (f Files) versions() ([3]fileVersion, error) {
	var out [3]fileVersion
	for i, name := range []string{f.Cert, f.Key, f.CA} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return out, failure.Wrap(err, failure.KindSettingInvalid, "cannot stat file %s", name)
		}
		out[i] = fileVersion{modified: info.ModTime(), size: info.Size()}
	}
	return out, nil
}

// CheckListener rejects a plain text listener unless plain text is enabled and
// the address is a loopback address. Otherwise one forgotten setting would send
// bearer keys and bodies over the network unencrypted.
func CheckListener(address string, hasTLS, plainTextAllowed bool) error {
	if hasTLS {
		return nil
	}
	if !plainTextAllowed {
		return failure.New(failure.KindSettingInvalid, "listener %s has no certificate and plain text is not enabled", address)
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return failure.Wrap(err, failure.KindSettingInvalid, "invalid listener address %s", address)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return failure.New(failure.KindSettingInvalid, "listener %s: plain text is allowed on loopback addresses only", address)
	}
	return nil
}
