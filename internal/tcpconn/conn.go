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
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// Conn is a TCP connection whose Read returns io.EOF only if the peer has ended what it sends.
// After an error of the connection Read returns one, whichever call the kernel has reported it to.
//
// Only a Read or a Write collects the error. A Write that has done so is either recorded or still in
// progress when Read gets io.EOF. With none recorded and none in progress, the end is the peer's.
// While a Write is in progress, the state of the connection tells: a connection that has failed is
// closed and stays so. Any other state shows the peer's end. In a closed one all writes return at
// once, and one of them has the error unless the peer had ended before. If the peer ends what it
// sends and the connection then fails, a Write may get the error before Read has returned the end;
// that can't be told from a failure alone, and Read returns an error.
type Conn struct {
	net.Conn

	mu sync.Mutex
	// writes is the number of writes in progress; written is signaled when one has returned.
	writes  int
	written *sync.Cond
	// failure is the first error of a call; nil before it.
	failure error
}

// Dial connects to an address with a dialer.
func Dial(ctx context.Context, dialer *net.Dialer, network, address string) (net.Conn, error) {
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return New(conn), nil
}

// New returns a Conn on a connection, on which nothing was written or read before. One that is no
// syscall.Conn can't be asked for its state: while it is written to it ends with an error.
func New(conn net.Conn) *Conn {
	c := &Conn{Conn: conn}
	c.written = sync.NewCond(&c.mu)
	return c
}

// LostError is the error of a read at the end of a connection that has failed.
type LostError struct {
	// Cause is the error that another call has collected, or that of asking for the state.
	Cause error
}

// Error implements error.
func (e *LostError) Error() string { return "the connection was lost: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Cause }

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.writes++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes--
	c.recordLocked(err)
	c.written.Broadcast()
	return n, err
}

// Read implements io.Reader. At the end of a connection that has failed it returns a *LostError.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	switch {
	case err == io.EOF:
		return n, c.end()
	case err != nil:
		c.mu.Lock()
		defer c.mu.Unlock()
		c.recordLocked(err)
	}
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

// recordLocked records an error of the connection. A deadline is none: the connection goes on after
// it. The caller holds mu.
func (c *Conn) recordLocked(err error) {
	if err != nil && c.failure == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.failure = err
	}
}

// end returns io.EOF if the peer has ended what it sends, else a *LostError.
func (c *Conn) end() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failure == nil && c.writes > 0 {
		c.mu.Unlock()
		closed, err := c.isClosed()
		c.mu.Lock()
		switch {
		case err == nil && !closed:
			return io.EOF
		case err != nil && c.failure == nil:
			return &LostError{Cause: err}
		}
		for c.failure == nil && c.writes > 0 {
			c.written.Wait()
		}
	}
	if c.failure != nil {
		return &LostError{Cause: c.failure}
	}
	return io.EOF
}

// isClosed reports whether the connection is closed, by a failure. The error says that it can't be
// asked: then it was closed here, after a write that failed, or because nobody waits for the answer.
func (c *Conn) isClosed() (bool, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return false, err
	}
	closed := false
	var askErr error
	err = raw.Control(func(fd uintptr) {
		var info *unix.TCPInfo
		if info, askErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); askErr == nil {
			closed = info.State == unix.BPF_TCP_CLOSE
		}
	})
	return closed, errors.Join(err, askErr)
}
