// Package rpc creates the gRPC connections and servers that processes of the
// system use among themselves.
//
// gRPC retries a call by itself when a connection breaks before the server
// responded ("transparent retry"), and also as a service config says. Calls
// that must not run twice therefore carry ids that the server checks, and
// service configs are disabled, so that a name service can't supply one. The
// users of this package detect an unresponsive peer by missing responses (each
// long-lived stream has a heartbeat), since gRPC's keepalive pings at most
// every ten seconds.
package rpc

import (
	"context"
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"filbertdeck/internal/failure"
)

const (
	// maxMessageSize is the size limit of one message, in bytes. A full table of
	// 11,000 accounts is below two megabytes.
	maxMessageSize = 8 << 20
	// maxHeaderListSize is the size limit of a call's headers, in bytes. The calls of the system
	// have short ones; what is relayed stands in messages.
	maxHeaderListSize = 16 << 10
	// maxStreams limits the calls at a time on a connection.
	maxStreams = 1024
	// handshakeTimeout bounds the time until a new connection has begun to speak HTTP/2.
	handshakeTimeout = 5 * time.Second
	// The reconnect delays are short, since the connection to a restarted peer
	// should be restored within a second, and each process has few peers.
	reconnectBaseDelay = 50 * time.Millisecond
	reconnectMaxDelay  = time.Second
	connectTimeout     = time.Second

	// flowControlWindow is the fixed flow-control window, in bytes. Without a
	// fixed window, gRPC estimates the bandwidth and sends a ping for each data
	// frame, which made up a third to a half of the bytes of an idle session.
	flowControlWindow = 1 << 20

	keepaliveInterval    = 10 * time.Second
	keepaliveTimeout     = 2 * time.Second
	keepaliveMinInterval = 5 * time.Second
)

// Credentials holds the transport credentials of clients and servers; nil
// means plain text.
type Credentials struct {
	Client, Server credentials.TransportCredentials
}

func (c Credentials) client() credentials.TransportCredentials {
	if c.Client == nil {
		return insecure.NewCredentials()
	}
	return c.Client
}

// Dial returns a connection to an ip:port that is established on first use. It
// uses no proxy and no name resolution. The options replace those of this package.
func Dial(address string, c Credentials, options ...grpc.DialOption) (*grpc.ClientConn, error) {
	conn, err := grpc.NewClient("passthrough:///"+address, append([]grpc.DialOption{
		grpc.WithTransportCredentials(c.client()),
		grpc.WithNoProxy(),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithIdleTimeout(0),
		grpc.WithInitialWindowSize(flowControlWindow),
		grpc.WithInitialConnWindowSize(flowControlWindow),
		grpc.WithContextDialer(dialTCP),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageSize)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: reconnectBaseDelay, Multiplier: 1.6, Jitter: 0.2, MaxDelay: reconnectMaxDelay},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time: keepaliveInterval, Timeout: keepaliveTimeout, PermitWithoutStream: true,
		}),
	}, options...)...)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindControlLost, "cannot create a client for address %s", address)
	}
	return conn, nil
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: connectTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// LimitUnacknowledged returns a listener whose connections end when what was sent on them stays
// unacknowledged for as long as a keepalive ping. A server sets that itself, but only on
// connections that nothing wraps.
func LimitUnacknowledged(l net.Listener) net.Listener { return timeoutListener{l} }

type timeoutListener struct{ net.Listener }

// Accept implements net.Listener.
func (l timeoutListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	// The option can fail only on a connection that has ended already, which its reader notices.
	_ = setTCPUserTimeout(conn, keepaliveTimeout)
	return conn, nil
}

func setTCPUserTimeout(conn net.Conn, timeout time.Duration) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.Join(err, setErr)
}

// NewServer returns a server that permits the keepalive pings of Dial's
// connections. The options replace those of this package.
func NewServer(c Credentials, more ...grpc.ServerOption) *grpc.Server {
	options := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessageSize),
		grpc.MaxHeaderListSize(maxHeaderListSize),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.InitialWindowSize(flowControlWindow),
		grpc.InitialConnWindowSize(flowControlWindow),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime: keepaliveMinInterval, PermitWithoutStream: true,
		}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
	}
	if c.Server != nil {
		options = append(options, grpc.Creds(c.Server))
	}
	return grpc.NewServer(append(options, more...)...)
}
