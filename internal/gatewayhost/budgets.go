package gatewayhost

import (
	"cmp"
	"log/slog"
	"net"

	gometrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"
	"google.golang.org/grpc"
	"google.golang.org/grpc/peer"

	"filbertdeck/internal/callerconn"
	"filbertdeck/internal/decide/connbudget"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/gateway"
	"filbertdeck/internal/process"
	"filbertdeck/internal/rpc"
)

const (
	// peerConnBytes is what a connection of another host holds, in bytes.
	peerConnBytes = 20 << 10
	// adminBytes is what all requests to an administration port may hold beyond their
	// connections, in bytes.
	adminBytes = 2 << 20
	// connReserveDivisor divides a budget; the quotient is left for connections with ordinary
	// requests.
	connReserveDivisor = 16
	bytesPerMB         = 1_000_000
)

// hostBudgets are the budgets of the listeners of a process, from the limits of its host.
type hostBudgets struct {
	settings *Settings
	shares   connbudget.Shares
	callers  *callerconn.Budget
	peers    *callerconn.Peers
	log      *slog.Logger
	reg      gometrics.Registry
}

func newHostBudgets(s *Settings, log *slog.Logger, reg gometrics.Registry) (*hostBudgets, error) {
	host, err := hostLimits(s.Deployment.Host)
	if err != nil {
		return nil, err
	}
	b := &hostBudgets{settings: s, shares: connbudget.Share(connbudget.HostLimits(host), gateway.MinBufferedBytes, gateway.MaxBufferedBytes), log: log, reg: reg}
	if err := b.applySettings(host); err != nil {
		return nil, err
	}
	b.callers = b.newBudget("callers", b.shares.CallerBytes, b.shares.CallerConns, callerconn.ConnBytes)
	b.peers = callerconn.NewPeers(b.newBudget("peers", b.shares.PeerBytes, b.shares.PeerConns, peerConnBytes))
	log.Info("limits of the host", "memory_bytes", host.MemoryBytes, "sockets", host.Sockets, "shares", b.shares)
	return b, nil
}

// applySettings replaces the shares that the settings name. Errors: KindSettingInvalid if the host
// has less.
func (b *hostBudgets) applySettings(host HostLimits) error {
	mostMB := (b.shares.RuntimeBytes - b.shares.AnswerBytes - b.shares.PeerBytes) / bytesPerMB
	if named := int64(b.settings.CallerMemoryMB); named > mostMB {
		return failure.New(failure.KindSettingInvalid, "setting caller-memory-mb is %d; allowed on this host: up to %d", named, mostMB)
	} else if named > 0 {
		b.shares.CallerBytes = named * bytesPerMB
	}
	if most := host.Sockets / 2; b.settings.CallerConnections > most {
		return failure.New(failure.KindSettingInvalid, "setting caller-connections is %d; allowed on this host: up to %d", b.settings.CallerConnections, most)
	}
	b.shares.CallerConns = cmp.Or(b.settings.CallerConnections, b.shares.CallerConns)
	return nil
}

// hostLimits completes the limits that the platform does not name with those of the operating
// system.
func hostLimits(host HostLimits) (HostLimits, error) {
	if host.MemoryBytes == 0 {
		var info unix.Sysinfo_t
		if err := unix.Sysinfo(&info); err != nil {
			return host, failure.Wrap(err, failure.KindInternal, "the memory of the host can't be read")
		}
		host.MemoryBytes = int64(info.Totalram) * int64(info.Unit)
	}
	if host.Sockets == 0 {
		var files unix.Rlimit
		if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &files); err != nil {
			return host, failure.Wrap(err, failure.KindInternal, "the limit of descriptors can't be read")
		}
		host.Sockets = int(min(files.Cur, 1<<20))
	}
	return host, nil
}

func (b *hostBudgets) newBudget(name string, maxBytes int64, maxConns int, connBytes int64) *callerconn.Budget {
	return callerconn.NewBudget(name, connbudget.Config{
		MaxBytes: maxBytes, MaxConns: maxConns, ConnBytes: connBytes, ConnReserve: maxBytes / connReserveDivisor,
		Grace: b.settings.CallerGrace, MinRate: float64(b.settings.CallerMinRate),
	}, b.log, b.reg)
}

// listenCallers returns the function that opens the listener for callers.
func (b *hostBudgets) listenCallers(g *gateway.Gateway) process.ListenFunc {
	return b.listenHTTP(callerconn.HTTPConfig{Budget: b.callers, Limits: g.CallerLimits, WriteError: g.WriteError})
}

// listenAdmin returns the function that opens the listener of an administration port.
func (b *hostBudgets) listenAdmin(name string) process.ListenFunc {
	maxBytes := adminBytes + int64(b.shares.AdminConns)*callerconn.ConnBytes
	return b.listenHTTP(callerconn.HTTPConfig{Budget: b.newBudget(name, maxBytes, b.shares.AdminConns, callerconn.ConnBytes), WriteError: failure.Write})
}

func (b *hostBudgets) listenHTTP(cfg callerconn.HTTPConfig) process.ListenFunc {
	cfg.StallTimeout = b.settings.CallerStallTimeout
	return func(address string) (net.Listener, error) {
		l, err := listen(address)
		if err != nil {
			return nil, err
		}
		return callerconn.ListenHTTP(l, cfg), nil
	}
}

// listenPeers opens the listener for other hosts.
func (b *hostBudgets) listenPeers(address string) (net.Listener, error) {
	l, err := listen(address)
	if err != nil {
		return nil, err
	}
	return b.peers.Listen(rpc.LimitUnacknowledged(l)), nil
}

// servePeerStream is the interceptor of streaming calls of other hosts, which are requests that
// they send through this one.
func (b *hostBudgets) servePeerStream(srv any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, handler grpc.StreamHandler) error {
	if from, ok := peer.FromContext(stream.Context()); ok {
		defer b.peers.Serve(from.Addr)()
	}
	return handler(srv, stream)
}
