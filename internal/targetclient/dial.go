package targetclient

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// unackedFor bounds how long bytes may stay without an acknowledgement. A host
// behind a partition or without power answers nothing, not even a reset; the
// kernel would send again for minutes. Two seconds are several lost packets in
// a row on links of a few milliseconds.
const unackedFor = 2 * time.Second

// Dial connects over TCP so that a peer which has gone silent is noticed: by
// keep-alive probes while nothing is sent, by a bound on unacknowledged bytes
// while something is.
func Dial(ctx context.Context, network, address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAliveConfig: keepAlive, Control: boundUnacked}
	return dialer.DialContext(ctx, network, address)
}

func boundUnacked(_, _ string, raw syscall.RawConn) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedFor.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return setErr
}
