// Package tcpconn tells the end of a TCP connection from its failure.
//
// Linux reports the error of a connection once, to the first call that asks for it. If a write
// does, a read that waits at the same time returns io.EOF, as if the peer had ended what it sends:
// a message that ends with its connection looks complete though it was cut off.
package tcpconn

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn is a TCP connection whose Read returns io.EOF only if the peer has ended what it sends.
// After an error of the connection Read returns one, whichever call the kernel has reported it to.
//
// Only a Read or a Write collects the error. A Write that has done so is either recorded or still in
// progress when Read gets io.EOF. With none recorded and none in progress, the end is the peer's.
// While a Write is in progress, the state of the connection tells: a closed connection, for which
// the error is the reason, never returns to the state in which only the peer has ended. If the peer
// ends what it sends and the connection then fails before Read has returned, while a Write is in
// progress, the two can't be told apart, and Read returns an error.
type Conn struct {
	net.Conn
	// writes is the number of writes in progress. A write is counted until its error is recorded.
	writes atomic.Int32
	// failure is the first error of a call; nil before it.
	failure atomic.Pointer[error]
}

// Dial connects to an address with a dialer.
func Dial(ctx context.Context, dialer *net.Dialer, network, address string) (net.Conn, error) {
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return New(conn), nil
}

// New returns a Conn on a connection, on which nothing was written or read before. Its SyscallConn
// is needed to ask for the state.
func New(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// LostError is the error of a read at the end of a connection that has failed.
type LostError struct {
	// Cause is the error that another call has collected; nil if it has not returned yet.
	Cause error
}

// Error implements error.
func (e *LostError) Error() string {
	if e.Cause == nil {
		return "the connection was lost while it was written to"
	}
	return "the connection was lost: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	defer c.writes.Add(-1)
	n, err := c.Conn.Write(p)
	c.record(err)
	return n, err
}

// Read implements io.Reader. At the end of a connection that has failed it returns a *LostError.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		return n, c.end()
	}
	c.record(err)
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return conn.SyscallConn()
}

// record records an error of the connection. A deadline is none: the connection goes on after it.
func (c *Conn) record(err error) {
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.failure.CompareAndSwap(nil, &err)
	}
}

// end returns io.EOF if the peer has ended what it sends, else a *LostError.
func (c *Conn) end() error {
	// In this order a write whose error is not recorded yet is counted.
	writing := c.writes.Load() > 0
	if failure := c.failure.Load(); failure != nil {
		return &LostError{Cause: *failure}
	}
	if writing && !c.isConnected() {
		return &LostError{}
	}
	return io.EOF
}

// isConnected reports whether the connection has not failed. It has if it can't be asked: then it
// was closed here, after a write that failed, or because nobody waits for the answer.
func (c *Conn) isConnected() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	connected := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		connected = err == nil && info.State != unix.BPF_TCP_CLOSE
	})
	return err == nil && connected
}
