package tlsfiles

import (
	"context"
	"net"

	"google.golang.org/grpc/credentials"
)

// GRPCServer returns credentials of a gRPC server that follow the files.
func (s *Source) GRPCServer() credentials.TransportCredentials {
	return credentials.NewTLS(s.Server())
}

// GRPCClient returns credentials of a gRPC client that follow the files, the
// authority's too.
func (s *Source) GRPCClient() credentials.TransportCredentials {
	return clientCredentials{credentials.NewTLS(s.Client()), s}
}

type clientCredentials struct {
	credentials.TransportCredentials
	source *Source
}

// ClientHandshake secures one connection with the settings of the moment.
func (c clientCredentials) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(c.source.Client()).ClientHandshake(ctx, authority, conn)
}

// Clone implements credentials.TransportCredentials.
func (c clientCredentials) Clone() credentials.TransportCredentials {
	return clientCredentials{c.TransportCredentials.Clone(), c.source}
}
