// Package tlsfiles gives TLS settings from files that may change while the
// process runs: the platform renews certificates in place.
//
// The files are looked at again at handshakes, at most once an interval, so no
// goroutine is needed and an idle process reads nothing. A set of files that
// can't be used (half written, key and certificate of different ages) changes
// nothing: the last good one stays in force and Failures counts it. Otherwise
// a renewal that is caught half-way would cut a host off.
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

// lookAgain is how often files are looked at, at most. Renewals happen days
// before an expiry; seconds do not matter.
const lookAgain = time.Second

// Files names the files of one identity, in PEM.
type Files struct {
	Cert, Key string
	// CA verifies the other side; empty leaves clients unverified and makes
	// Client use the system's authorities.
	CA string
}

// Source is an identity that follows its files. It is safe for concurrent use.
type Source struct {
	files    Files
	now      func() time.Time
	current  atomic.Pointer[identity]
	failures atomic.Int64

	mu     sync.Mutex
	looked time.Time
}

type identity struct {
	cert   *tls.Certificate
	roots  *x509.CertPool
	stamps [3]stamp
}

// stamp tells two contents of a file apart without reading it.
type stamp struct {
	modified time.Time
	size     int64
}

// Load reads the files; it fails with KindSettingInvalid when they can't be
// used. Errors name files, never contents.
func Load(files Files) (*Source, error) {
	s := &Source{files: files, now: time.Now}
	id, err := files.read()
	if err != nil {
		return nil, err
	}
	s.current.Store(id)
	s.looked = s.now()
	return s, nil
}

// Failures counts the changes that could not be taken over.
func (s *Source) Failures() int64 { return s.failures.Load() }

// Expires is when the certificate in force ends.
func (s *Source) Expires() time.Time { return s.latest().cert.Leaf.NotAfter }

// Server returns the settings of a listener. With a CA, clients must present a
// certificate that it signed (mutual TLS).
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.latest().server(), nil
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

// Client returns the settings for the next connection: they present the
// certificate and verify the server by the authority in force now. crypto/tls
// fixes its roots with the settings, so settings that are kept don't follow a
// change of the authority; ask for new ones at each dial.
func (s *Source) Client() *tls.Config {
	id := s.latest()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*id.cert},
		RootCAs:      id.roots,
	}
}

// latest gives the identity in force, after a look at the files when one is
// due. Only one handshake at a time looks; the others use what there is.
func (s *Source) latest() *identity {
	if s.mu.TryLock() {
		defer s.mu.Unlock()
		if now := s.now(); now.Sub(s.looked) >= lookAgain {
			s.looked = now
			s.reload()
		}
	}
	return s.current.Load()
}

func (s *Source) reload() {
	stamps, err := s.files.stamps()
	if err == nil && stamps == s.current.Load().stamps {
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
	// Stamps first: a change between the two is then seen at the next look.
	stamps, err := f.stamps()
	if err != nil {
		return nil, err
	}
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindSettingInvalid, "certificate %s and key %s", f.Cert, f.Key)
	}
	id := &identity{cert: &cert, stamps: stamps}
	if f.CA == "" {
		return id, nil
	}
	pem, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindSettingInvalid, "authority file %s", f.CA)
	}
	id.roots = x509.NewCertPool()
	if !id.roots.AppendCertsFromPEM(pem) {
		return nil, failure.New(failure.KindSettingInvalid, "authority file %s holds no certificate", f.CA)
	}
	return id, nil
}

func (f Files) stamps() ([3]stamp, error) {
	var out [3]stamp
	for i, name := range []string{f.Cert, f.Key, f.CA} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return out, failure.Wrap(err, failure.KindSettingInvalid, "file %s", name)
		}
		out[i] = stamp{modified: info.ModTime(), size: info.Size()}
	}
	return out, nil
}

// CheckListener refuses a listener in plain text unless it was asked for and
// its address is a loopback one. Bearer keys and bodies would otherwise cross
// the network in the clear because of one forgotten setting.
func CheckListener(address string, secured, plainAsked bool) error {
	if secured {
		return nil
	}
	if !plainAsked {
		return failure.New(failure.KindSettingInvalid, "listener %s has no certificate and plain text was not asked for", address)
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return failure.Wrap(err, failure.KindSettingInvalid, "listener %s", address)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return failure.New(failure.KindSettingInvalid, "listener %s: plain text is for loopback addresses", address)
	}
	return nil
}
