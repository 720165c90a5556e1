package targetclient

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"filbertdeck/internal/tcpconn"
)

// tcpUserTimeout limits how long sent data may stay unacknowledged. A host that
// is partitioned or without power sends nothing, not even a reset, and the
// kernel would retransmit for minutes. Linux also ends a connection at the first
// unanswered keep-alive probe after this time without data, whatever the number of
// probes, so it is not shorter than all probes take.
const tcpUserTimeout = keepAliveIdle + keepAliveProbes*keepAliveInterval

// Dial opens a TCP connection that detects an unresponsive peer: with
// keep-alive probes while it is idle, and with TCP_USER_TIMEOUT while sent data
// is unacknowledged. Its end is that of what the peer sends only if the connection has not failed.
func Dial(ctx context.Context, network, address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAliveConfig: keepAliveConfig, Control: setTCPUserTimeout}
	return tcpconn.Dial(ctx, &dialer, network, address)
}

func setTCPUserTimeout(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}
