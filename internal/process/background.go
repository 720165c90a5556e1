package process

import (
	"context"
	"net"
	"net/http"
	"time"

	"go.uber.org/fx"
	"google.golang.org/grpc"

	"filbertdeck/internal/callerconn"
	"filbertdeck/internal/failure"
)

// RunInBackground starts run in a goroutine when the program starts. When the
// program stops, it cancels the context and waits for run to return.
func RunInBackground(lc fx.Lifecycle, run func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go func() { defer close(done); run(ctx) }()
			return nil
		},
		OnStop: func(stop context.Context) error {
			cancel()
			select {
			case <-done:
			case <-stop.Done():
			}
			return nil
		},
	})
}

// RunPeriodically runs a job periodically from the program's start to its stop.
func RunPeriodically(lc fx.Lifecycle, interval time.Duration, job func()) {
	RunInBackground(lc, func(ctx context.Context) {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				job()
			case <-ctx.Done():
				return
			}
		}
	})
}

// ListenFunc opens a listener on an ip:port.
type ListenFunc func(address string) (net.Listener, error)

// ServeRPC serves gRPC from the program's start to its stop.
func ServeRPC(lc fx.Lifecycle, server *grpc.Server, listen ListenFunc, address string) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			l, err := listen(address)
			if err != nil {
				return err
			}
			go func() { _ = server.Serve(l) }()
			return nil
		},
		OnStop: func(context.Context) error { server.Stop(); return nil },
	})
}

// Limits of administration requests.
const (
	// adminReadHeaderTimeout is the timeout for reading the headers of a request,
	// adminIdleTimeout that of an idle connection.
	adminReadHeaderTimeout = 10 * time.Second
	adminIdleTimeout       = 2 * time.Minute
	// adminHeaderBytes is the largest request header that is read, in bytes.
	adminHeaderBytes = 8 << 10
)

// ServeAdmin serves an administration interface from the program's start to
// its stop.
func ServeAdmin(lc fx.Lifecycle, handler http.Handler, listen ListenFunc, address string) {
	server := &http.Server{
		Handler: callerconn.Handler(handler, failure.Write), ReadHeaderTimeout: adminReadHeaderTimeout, IdleTimeout: adminIdleTimeout, MaxHeaderBytes: adminHeaderBytes,
		ConnState: callerconn.TrackState, ConnContext: callerconn.Context,
	}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return StartHTTP(server, listen, address) },
		OnStop:  func(context.Context) error { return server.Close() },
	})
}

// StartHTTP opens a server's listener and serves in the background.
func StartHTTP(server *http.Server, listen ListenFunc, address string) error {
	l, err := listen(address)
	if err != nil {
		return err
	}
	go func() { _ = server.Serve(l) }()
	return nil
}
