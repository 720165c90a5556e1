// Package cuttest provides a server for tests that answers requests before it has read them and
// cuts its answers off.
package cuttest

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

// UploadBytes is the length of a request body that is still being written when its answer is cut
// off.
const UploadBytes = 12 << 20

// receiveBufferBytes bounds what of a request is taken in before it is read.
const receiveBufferBytes = 64 << 10

// Pauses are the times between an answer and its reset, which take turns.
var Pauses = []time.Duration{0, 200 * time.Microsecond, time.Millisecond, 3 * time.Millisecond, 10 * time.Millisecond, 30 * time.Millisecond, 60 * time.Millisecond, 100 * time.Millisecond}

// Server answers each request when it has read the head, and resets the connection after a pause.
type Server struct {
	listener net.Listener
	answer   string
	wrap     func(net.Conn) net.Conn
	requests atomic.Int32
}

// Start starts a server with an answer. wrap, if given, returns what a connection is read and
// written through, such as a TLS connection.
func Start(answer string, wrap func(net.Conn) net.Conn) (*Server, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optErr error
		err := raw.Control(func(fd uintptr) {
			optErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
		})
		if err != nil {
			return err
		}
		return optErr
	}}
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: l, answer: answer, wrap: wrap}
	go s.serve()
	return s, nil
}

// Address is the server's address (ip:port).
func (s *Server) Address() string { return s.listener.Addr().String() }

// Requests returns the number of requests that were answered.
func (s *Server) Requests() int { return int(s.requests.Load()) }

// Close stops the server.
func (s *Server) Close() error { return s.listener.Close() }

func (s *Server) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.cut(conn.(*net.TCPConn))
	}
}

func (s *Server) cut(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	var through net.Conn = conn
	if s.wrap != nil {
		through = s.wrap(conn)
	}
	if _, err := http.ReadRequest(bufio.NewReader(through)); err != nil {
		return
	}
	n := s.requests.Add(1)
	if _, err := io.WriteString(through, s.answer); err != nil {
		return
	}
	time.Sleep(Pauses[int(n)%len(Pauses)])
	_ = conn.SetLinger(0)
}
