package slopes

import (
	"net"
	"sync/atomic"
)

// segmentHeaderBytes is the size of the IPv4 and TCP headers, with the timestamp
// option that Linux sets.
const segmentHeaderBytes = 20 + 32

// trafficCounter counts the traffic of a listener's connections in both
// directions.
type trafficCounter struct {
	payloadBytes, segments atomic.Int64
}

// listen opens a listener on loopback and counts its traffic.
func (w *trafficCounter) listen() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return countingListener{l, w}, nil
}

// sample returns the payload bytes and segments counted so far. It counts each
// read and each write as one segment, which holds at low rates.
func (w *trafficCounter) sample() (payload, segments int64) {
	return w.payloadBytes.Load(), w.segments.Load()
}

type countingListener struct {
	net.Listener
	counter *trafficCounter
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{conn, l.counter}, nil
}

type countingConn struct {
	net.Conn
	counter *trafficCounter
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count(n)
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count(n)
	return n, err
}

func (c countingConn) count(n int) {
	if n > 0 {
		c.counter.payloadBytes.Add(int64(n))
		c.counter.segments.Add(1)
	}
}
