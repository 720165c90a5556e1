package slopes

import (
	"net"
	"sync/atomic"
)

// Bytes of IPv4 and TCP headers with the timestamp option that Linux sets.
const segmentHeader = 20 + 32

// wire counts what passes a listener's connections, both ways.
type wire struct {
	payload, segments atomic.Int64
}

// listen opens a listener on loopback whose traffic is counted.
func (w *wire) listen() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return countedListener{l, w}, nil
}

// sample gives payload bytes and segments so far. At a slow pace each read and
// each write moves one segment.
func (w *wire) sample() (payload, segments int64) { return w.payload.Load(), w.segments.Load() }

type countedListener struct {
	net.Listener
	wire *wire
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, l.wire}, nil
}

type countedConn struct {
	net.Conn
	wire *wire
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count(n)
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count(n)
	return n, err
}

func (c countedConn) count(n int) {
	if n > 0 {
		c.wire.payload.Add(int64(n))
		c.wire.segments.Add(1)
	}
}
