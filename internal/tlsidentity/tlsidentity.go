// Package tlsidentity creates a process's TLS identity and listeners from its
// settings.
package tlsidentity

import (
	"crypto/tls"
	"net"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/rpc"
	"filbertdeck/internal/settings"
	"filbertdeck/internal/tlsfiles"
)

// Identity is the TLS identity of a process. A process without certificate uses
// plain text, which must be enabled and is allowed on loopback addresses only.
type Identity struct {
	source    *tlsfiles.Source
	plainText bool
}

// New loads the certificate files from the settings.
func New(c *settings.Common) (*Identity, error) {
	if c.TLSCert == "" && c.TLSKey == "" {
		return &Identity{plainText: c.PlainText}, nil
	}
	if c.TLSCert == "" || c.TLSKey == "" || c.TLSCA == "" {
		return nil, failure.New(failure.KindSettingInvalid,
			"--tls-cert (FILBERT_TLS_CERT), --tls-key (FILBERT_TLS_KEY) and --tls-ca (FILBERT_TLS_CA) must be set together; allowed: all three or none")
	}
	source, err := tlsfiles.Load(tlsfiles.Files{Cert: c.TLSCert, Key: c.TLSKey, CA: c.TLSCA})
	if err != nil {
		return nil, err
	}
	return &Identity{source: source}, nil
}

// Listen opens a TCP listener for a gRPC server, which adds TLS itself.
func (i *Identity) Listen(address string) (net.Listener, error) {
	if err := tlsfiles.CheckListener(address, i.source != nil, i.plainText); err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindSettingInvalid, "cannot listen on address %s", address)
	}
	return l, nil
}

// ListenHTTP opens a listener for HTTP. Callers authenticate with bearer keys,
// so no client certificate is requested.
func (i *Identity) ListenHTTP(address string) (net.Listener, error) {
	l, err := i.Listen(address)
	if err != nil || i.source == nil {
		return l, err
	}
	config := i.source.ServerConfig().Clone()
	config.ClientAuth = tls.NoClientCert
	config.NextProtos = []string{"h2", "http/1.1"}
	if getConfig := config.GetConfigForClient; getConfig != nil {
		config.GetConfigForClient = func(h *tls.ClientHelloInfo) (*tls.Config, error) {
			c, err := getConfig(h)
			if c != nil {
				c = c.Clone()
				c.ClientAuth, c.NextProtos = tls.NoClientCert, config.NextProtos
			}
			return c, err
		}
	}
	return tls.NewListener(l, config), nil
}

// Credentials returns the gRPC credentials for mutual TLS between processes of
// the system.
func (i *Identity) Credentials() rpc.Credentials {
	if i.source == nil {
		return rpc.Credentials{}
	}
	return rpc.Credentials{
		Client: i.source.ClientCredentials(),
		Server: i.source.ServerCredentials(),
	}
}
