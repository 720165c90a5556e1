// Package rpc makes the gRPC connections between our processes.
//
// gRPC re-sends a call by itself when a connection breaks before the server
// answered ("transparent retry"), and retries by service configuration. Calls
// that may not run twice therefore carry ids that the callee checks; the
// service configuration is ignored, so that none can be published by a name
// service. A connection that goes silent is noticed by the callers of this
// package through answers that stay out (each long-lived stream has a
// heartbeat), since gRPC's own keepalive asks at most every ten seconds.
package rpc

import (
	"context"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"filbertdeck/internal/failure"
)

const (
	// maxMessage bounds one message: a whole table of 11,000 accounts is below
	// two megabytes.
	maxMessage = 8 << 20
	// The reconnection delays are short: a peer that was restarted is wanted
	// back within a second, and each process has few peers.
	reconnectBase = 50 * time.Millisecond
	reconnectMax  = time.Second
	connectLimit  = time.Second

	// window is the fixed flow-control window. Without one gRPC estimates the
	// bandwidth with a ping for each piece of data, which was a third to a half
	// of the bytes of an idle session; a fixed window ends that.
	window = 1 << 20

	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 2 * time.Second
	keepaliveLeast   = 5 * time.Second
)

// Credentials are the transport credentials of both directions; nil means
// plain text.
type Credentials struct {
	Client, Server credentials.TransportCredentials
}

func (c Credentials) client() credentials.TransportCredentials {
	if c.Client == nil {
		return insecure.NewCredentials()
	}
	return c.Client
}

// Dial returns a connection to an ip:port that is opened on first use. It
// never asks a proxy or a name service.
func Dial(address string, c Credentials) (*grpc.ClientConn, error) {
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(c.client()),
		grpc.WithNoProxy(),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithIdleTimeout(0),
		grpc.WithInitialWindowSize(window),
		grpc.WithInitialConnWindowSize(window),
		grpc.WithContextDialer(dialTCP),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: reconnectBase, Multiplier: 1.6, Jitter: 0.2, MaxDelay: reconnectMax},
			MinConnectTimeout: connectLimit,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time: keepaliveTime, Timeout: keepaliveTimeout, PermitWithoutStream: true,
		}))
	if err != nil {
		return nil, failure.Wrap(err, failure.KindControlLost, "address %s cannot be dialled", address)
	}
	return conn, nil
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: connectLimit}
	return d.DialContext(ctx, "tcp", address)
}

// NewServer returns a server whose callers may send keepalive pings.
func NewServer(c Credentials) *grpc.Server {
	options := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessage),
		grpc.InitialWindowSize(window),
		grpc.InitialConnWindowSize(window),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime: keepaliveLeast, PermitWithoutStream: true,
		}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
	}
	if c.Server != nil {
		options = append(options, grpc.Creds(c.Server))
	}
	return grpc.NewServer(options...)
}
