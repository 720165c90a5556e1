package gatewayhost

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"filbertdeck/internal/directory"
)

// limitedListener accepts callers' connections on which the timeouts of the configuration in
// force apply: how long a caller may take to send a request header, and how long its
// connection may be idle. net/http fixes the timeouts of a server when it starts.
type limitedListener struct {
	net.Listener
	limits func() directory.Limits
}

// Accept implements net.Listener.
func (l limitedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &limitedConn{Conn: conn, limits: l.limits}, nil
}

// limitedConn shortens the read deadlines that net/http sets to the timeouts in force: the
// first one after a request has ended is that of the idle connection, others are those of a
// request header. Deadlines in the past, which end a pending read, stay as they are.
type limitedConn struct {
	net.Conn
	limits func() directory.Limits
	// becameIdle is set from the end of a request until the next deadline is set.
	becameIdle atomic.Bool
}

// SetReadDeadline implements net.Conn.
func (c *limitedConn) SetReadDeadline(deadline time.Time) error {
	limits := c.limits()
	timeout := limits.HeaderTimeout
	if c.becameIdle.Swap(false) {
		timeout = limits.IdleTimeout
	}
	if limit := time.Now().Add(timeout); timeout > 0 && limit.Before(deadline) {
		deadline = limit
	}
	return c.Conn.SetReadDeadline(deadline)
}

// trackIdle is the ConnState hook of a server with a limitedListener.
func trackIdle(conn net.Conn, state http.ConnState) {
	if c, ok := conn.(*limitedConn); ok && state == http.StateIdle {
		c.becameIdle.Store(true)
	}
}
