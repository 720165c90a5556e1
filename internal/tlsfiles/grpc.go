package tlsfiles

import (
	"context"
	"net"

	"google.golang.org/grpc/credentials"
)

// ServerCredentials returns the credentials of a gRPC server. New connections
// use the current files.
func (s *Source) ServerCredentials() credentials.TransportCredentials {
	return credentials.NewTLS(s.ServerConfig())
}

// ClientCredentials returns the credentials of a gRPC client. New connections
// use the current files, including the CA file.
func (s *Source) ClientCredentials() credentials.TransportCredentials {
	return clientCredentials{credentials.NewTLS(s.ClientConfig()), s}
}

type clientCredentials struct {
	credentials.TransportCredentials
	source *Source
}

// ClientHandshake implements credentials.TransportCredentials with the current
// TLS configuration.
func (c clientCredentials) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(c.source.ClientConfig()).ClientHandshake(ctx, authority, conn)
}

// Clone implements credentials.TransportCredentials.
func (c clientCredentials) Clone() credentials.TransportCredentials {
	return clientCredentials{c.TransportCredentials.Clone(), c.source}
}
