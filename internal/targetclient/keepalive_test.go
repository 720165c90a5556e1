package targetclient_test

import (
	"context"
	"net"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"filbertdeck/internal/targetclient"
)

// socketOption returns a TCP option of a connection's socket.
func socketOption(conn net.Conn, option int) int {
	raw, err := conn.(syscall.Conn).SyscallConn()
	Expect(err).NotTo(HaveOccurred())
	var value int
	var optionErr error
	Expect(raw.Control(func(fd uintptr) { value, optionErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option) })).To(Succeed())
	Expect(optionErr).NotTo(HaveOccurred())
	return value
}

var _ = Describe("a connection to a target", func() {
	// longestSilence is how long a sound target may be silent, with a margin of as much
	// again.
	const longestSilence = 2 * time.Second

	// Guards against requests that are lost because their target was silent for a second:
	// with TCP_USER_TIMEOUT set, Linux ends a connection at the first unanswered
	// keep-alive probe after that time without data, whatever the number of probes.
	It("survives a target that is silent for a second", func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(l.Close)
		conn, err := targetclient.Dial(context.Background(), "tcp", l.Addr().String(), time.Second)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(conn.Close)
		idle := time.Duration(socketOption(conn, unix.TCP_KEEPIDLE)) * time.Second
		interval := time.Duration(socketOption(conn, unix.TCP_KEEPINTVL)) * time.Second
		userTimeout := time.Duration(socketOption(conn, unix.TCP_USER_TIMEOUT)) * time.Millisecond
		probes := socketOption(conn, unix.TCP_KEEPCNT)
		Expect(userTimeout).To(BeNumerically(">=", idle+time.Duration(probes)*interval), "all probes are sent")
		Expect(userTimeout-idle).To(BeNumerically(">=", longestSilence), "the silence may begin with the first probe")
	})
})
