package tcpconn_test

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"filbertdeck/internal/tcpconn"
)

func TestTCPConn(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "tcpconn")
}

// pairs is the number of connections of a spec; the calls of each meet the end in another order.
const pairs = 60

// uploadBytes is more than the buffers of a connection hold.
const uploadBytes = 16 << 20

// connect returns both ends of a connection.
func connect() (conn net.Conn, peer *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	conn, err = tcpconn.Dial(context.Background(), &net.Dialer{Timeout: 5 * time.Second}, "tcp", l.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	accepted, err := l.Accept()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = conn.Close(); _ = accepted.Close() })
	return conn, accepted.(*net.TCPConn)
}

// connectBare is connect without a Conn.
func connectBare() (conn, peer *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	dialed, err := net.Dial("tcp", l.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	accepted, err := l.Accept()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = dialed.Close(); _ = accepted.Close() })
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// lateConn is a connection whose writes return late.
type lateConn struct{ *net.TCPConn }

func (c lateConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p)
	time.Sleep(50 * time.Millisecond)
	return n, err
}

// during calls end while n writes and a read are waiting, and returns the outcome of the read, which
// is that of a body that ends with its connection. closes has the connection closed after a write
// that failed, as net/http does.
func during(writes int, closes bool, end func(peer *net.TCPConn)) (text string, err error) {
	conn, peer := connect()
	_, err = io.WriteString(peer, "part")
	Expect(err).NotTo(HaveOccurred())
	var writers sync.WaitGroup
	for range writes {
		writers.Go(func() {
			if _, err := conn.Write(make([]byte, uploadBytes)); err != nil && closes {
				_ = conn.Close()
			}
		})
	}
	go func() {
		time.Sleep(5 * time.Millisecond)
		end(peer)
	}()
	body, err := io.ReadAll(conn)
	_ = conn.Close()
	writers.Wait()
	return string(body), err
}

func reset(peer *net.TCPConn) {
	_ = peer.SetLinger(0)
	_ = peer.Close()
}

// closeUnread closes the peer's end while bytes are unread, which resets the connection.
func closeUnread(peer *net.TCPConn) {
	// Without such bytes the connection would end in order.
	_, _ = peer.Read(make([]byte, 1))
	_ = peer.Close()
}

func halfClose(peer *net.TCPConn) { _ = peer.CloseWrite() }

var _ = Describe("a connection", func() {
	// Guards against a connection that fails and looks as if the peer had ended what it sends.
	DescribeTable("that fails ends with an error", func(writes int, closes bool, end func(*net.TCPConn)) {
		whole := 0
		for range pairs {
			if _, err := during(writes, closes, end); err == nil {
				whole++
			}
		}
		Expect(whole).To(BeZero())
	},
		Entry("reset while it is written to", 1, false, reset),
		Entry("reset while it is written to, and closed by the writer", 1, true, reset),
		Entry("closed with bytes unread while it is written to", 1, true, closeUnread),
		Entry("reset while two calls write to it", 2, true, reset),
		Entry("reset while only a read waits", 0, false, reset),
	)

	// Guards against an end of the peer's that is taken for a failure.
	DescribeTable("that the peer ends in order ends with io.EOF", func(writes int, end func(*net.TCPConn)) {
		for range pairs {
			text, err := during(writes, false, end)
			Expect(err).NotTo(HaveOccurred())
			Expect(text).To(Equal("part"))
		}
	},
		Entry("while it is written to and the peer reads nothing", 1, halfClose),
		Entry("while it is written to and the peer reads on", 1, func(peer *net.TCPConn) {
			halfClose(peer)
			_, _ = io.Copy(io.Discard, peer)
		}),
		Entry("while only a read waits", 0, halfClose),
		Entry("and resets at once, with no write in progress", 0, func(peer *net.TCPConn) {
			halfClose(peer)
			reset(peer)
		}),
	)

	// Guards against an outcome that depends on how soon a write returns: one that has got the
	// error, and one that has ended without an error just before the peer ended and reset.
	DescribeTable("is told apart however late a write returns", func(length int, end func(*net.TCPConn), expected types.GomegaMatcher) {
		bare, peer := connectBare()
		conn := tcpconn.New(lateConn{bare})
		_, err := io.WriteString(peer, "part")
		Expect(err).NotTo(HaveOccurred())
		go func() { _, _ = conn.Write(make([]byte, length)) }()
		_, err = peer.Read(make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
		end(peer)
		text, err := io.ReadAll(conn)
		Expect(string(text)).To(Equal("part"))
		Expect(err).To(expected)
	},
		Entry("with an error", uploadBytes, reset, MatchError(syscall.ECONNRESET)),
		Entry("without an error", 1, func(peer *net.TCPConn) {
			halfClose(peer)
			reset(peer)
		}, Not(HaveOccurred())),
	)

	// Guards against an error of the connection that a read has returned, and the next one has not.
	It("that has failed does not end with io.EOF afterwards", func() {
		conn, peer := connect()
		reset(peer)
		_, err := conn.Read(make([]byte, 1))
		Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue())
		_, err = conn.Read(make([]byte, 1))
		var lost *tcpconn.LostError
		Expect(errors.As(err, &lost)).To(BeTrue())
		Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue())
	})

	// Guards against a deadline that is taken for a failure of the connection.
	It("ends with io.EOF after a deadline", func() {
		conn, peer := connect()
		Expect(conn.SetDeadline(time.Now().Add(-time.Second))).To(Succeed())
		_, err := conn.Read(make([]byte, 1))
		Expect(err).To(MatchError(ContainSubstring("i/o timeout")))
		_, err = conn.Write(make([]byte, 1))
		Expect(err).To(MatchError(ContainSubstring("i/o timeout")))
		Expect(conn.SetDeadline(time.Time{})).To(Succeed())
		halfClose(peer)
		_, err = conn.Read(make([]byte, 1))
		Expect(err).To(Equal(io.EOF))
	})

	// Guards against a probe that ends a connection and is reported to no call: the error is kept
	// for the read.
	It("reports an error that no call was waiting for", func() {
		conn, peer := connect()
		reset(peer)
		time.Sleep(10 * time.Millisecond)
		_, err := conn.Read(make([]byte, 1))
		Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue())
	})

	// Guards against a connection whose state can't be asked for and that looks whole.
	It("that can't be asked for its state ends with an error while it is written to", func() {
		near, far := net.Pipe()
		conn := tcpconn.New(near)
		go func() { _, _ = conn.Write([]byte("unread")) }()
		time.Sleep(10 * time.Millisecond)
		go func() { _ = far.Close() }()
		_, err := conn.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		Expect(err).NotTo(Equal(io.EOF))
	})
})
