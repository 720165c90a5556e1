package callerconn

import (
	"context"
	"net"
	"net/http"
	"time"

	"filbertdeck/internal/decide/connbudget"
	"filbertdeck/internal/directory"
)

// HTTPConfig holds the settings of a listener for an HTTP server.
type HTTPConfig struct {
	Budget *Budget
	// Limits returns the limits of the configuration in force; nil for none.
	Limits func() directory.Limits
	// StallTimeout is how long a peer may neither send more of a request body nor read more of
	// an answer.
	StallTimeout time.Duration
	// WriteError writes the answer to a request whose head is not read to its end.
	WriteError func(w http.ResponseWriter, err error)
}

// ListenHTTP returns a listener whose connections count what their requests hold. The server
// must have the hooks TrackState and Context, and its handler must call Begin.
func ListenHTTP(l net.Listener, cfg HTTPConfig) net.Listener {
	if cfg.Limits == nil {
		cfg.Limits = func() directory.Limits { return directory.Limits{} }
	}
	return &listener{Listener: l, budget: cfg.Budget, wrap: func(conn net.Conn, hold *connbudget.Conn) net.Conn {
		return &Conn{Conn: conn, cfg: &cfg, hold: hold}
	}}
}

type listener struct {
	net.Listener
	budget *Budget
	wrap   func(conn net.Conn, hold *connbudget.Conn) net.Conn
}

// Accept implements net.Listener. It closes connections for which there is no room: their
// requests are unread, and callers may send them to another host.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if hold := l.budget.open(func() { abort(conn) }); hold != nil {
			return l.wrap(conn, hold), nil
		}
		abort(conn)
	}
}

// abort closes a connection and discards what its peer has not read, which the kernel would
// keep otherwise.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// connKey is the key of a connection in a context.
type connKey struct{}

// Context is the ConnContext hook of a server.
func Context(ctx context.Context, conn net.Conn) context.Context {
	if c, ok := conn.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx
}

// FromContext returns the connection of a request; nil, which grants everything, for one of
// another listener.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// TrackState is the ConnState hook of a server.
func TrackState(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*Conn); ok && state == http.StateIdle {
		c.finish()
	}
}

// Handler returns a handler for the requests of a server whose own handler does not read
// bodies.
func Handler(h http.Handler, refuse func(w http.ResponseWriter, err error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		if err := c.Begin(r); err != nil {
			refuse(w, err)
			return
		}
		// net/http reads a body that is left when the handler has returned, and must not wait for
		// it without a limit.
		if hasBody := r.Body != nil && r.Body != http.NoBody; hasBody || c.Serve() {
			h.ServeHTTP(w, r)
		}
	})
}
