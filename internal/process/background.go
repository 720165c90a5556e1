package process

import (
	"context"
	"net"
	"net/http"
	"time"

	"go.uber.org/fx"
	"google.golang.org/grpc"
)

// RunInBackground runs a controller from the program's start to its stop, and waits
// for its end.
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

// RunPeriodically runs a job at an interval from the program's start to its stop.
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

// Listen opens a listener at an ip:port.
type Listen func(address string) (net.Listener, error)

// ServeRPC serves gRPC from the program's start to its stop.
func ServeRPC(lc fx.Lifecycle, server *grpc.Server, listen Listen, address string) {
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

// adminReadLimit bounds the time in which an operator's client sends its
// headers.
const adminReadLimit = 10 * time.Second

// ServeAdmin serves an administration interface from the program's start to
// its stop.
func ServeAdmin(lc fx.Lifecycle, handler http.Handler, listen Listen, address string) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: adminReadLimit}
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return StartHTTP(server, listen, address) },
		OnStop:  func(context.Context) error { return server.Close() },
	})
}

// StartHTTP opens the listener of a server and serves in the background.
func StartHTTP(server *http.Server, listen Listen, address string) error {
	l, err := listen(address)
	if err != nil {
		return err
	}
	go func() { _ = server.Serve(l) }()
	return nil
}
