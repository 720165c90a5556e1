// Package tlsidentity turns the settings of a process into its TLS identity and its
// listeners.
package tlsidentity

import (
	"crypto/tls"
	"net"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/rpc"
	"filbertdeck/internal/settings"
	"filbertdeck/internal/tlsfiles"
)

// Identity is the process's TLS identity; without one it speaks plain text,
// which must be asked for and is for loopback only.
type Identity struct {
	source *tlsfiles.Source
	plain  bool
}

// New reads the identity that the settings name.
func New(c *settings.Common) (*Identity, error) {
	if c.TLSCert == "" && c.TLSKey == "" {
		return &Identity{plain: c.PlainText}, nil
	}
	if c.TLSCert == "" || c.TLSKey == "" || c.TLSCA == "" {
		return nil, failure.New(failure.KindSettingInvalid,
			"--tls-cert (FILBERT_TLS_CERT), --tls-key (FILBERT_TLS_KEY) and --tls-ca (FILBERT_TLS_CA) go together; allowed: all three or none")
	}
	source, err := tlsfiles.Load(tlsfiles.Files{Cert: c.TLSCert, Key: c.TLSKey, CA: c.TLSCA})
	if err != nil {
		return nil, err
	}
	return &Identity{source: source}, nil
}

// Listen opens a listener without TLS of its own (gRPC brings it).
func (i *Identity) Listen(address string) (net.Listener, error) {
	if err := tlsfiles.CheckListener(address, i.source != nil, i.plain); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindSettingInvalid, "address %s cannot be listened on", address)
	}
	return l, nil
}

// ListenHTTP opens a listener for HTTP. Callers show bearer keys, not
// certificates, so they are not asked for one.
func (i *Identity) ListenHTTP(address string) (net.Listener, error) {
	l, err := i.Listen(address)
	if err != nil || i.source == nil {
		return l, err
	}
	config := i.source.Server().Clone()
	config.ClientAuth = tls.NoClientCert
	config.NextProtos = []string{"h2", "http/1.1"}
	if per := config.GetConfigForClient; per != nil {
		config.GetConfigForClient = func(h *tls.ClientHelloInfo) (*tls.Config, error) {
			c, err := per(h)
			if c != nil {
				c = c.Clone()
				c.ClientAuth, c.NextProtos = tls.NoClientCert, config.NextProtos
			}
			return c, err
		}
	}
	return tls.NewListener(l, config), nil
}

// Credentials are those of gRPC, mutual between our processes.
func (i *Identity) Credentials() rpc.Credentials {
	if i.source == nil {
		return rpc.Credentials{}
	}
	return rpc.Credentials{
		Client: i.source.GRPCClient(),
		Server: i.source.GRPCServer(),
	}
}
