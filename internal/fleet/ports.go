package fleet

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"

	"filbertdeck/internal/failure"
)

// The ports of hosts lie below the range from which the kernel takes the
// ports of outgoing connections (32768 and up by default). A port that was
// found free there may be taken by any connection of the machine before the
// process that is to listen on it has started: one run in a few then failed
// with "address already in use".
const (
	firstPort = 10_000
	ports     = 20_000
	// block is how far apart the searches of two processes begin, so that
	// deployments that start at the same time do not choose the same ports.
	block = 64
)

// nextPort counts the ports that this process has looked at.
var nextPort atomic.Int64

// FreeAddress gives a loopback address on which nobody listens.
func FreeAddress() (string, error) {
	begin := os.Getpid() * block
	for range ports {
		port := firstPort + (begin+int(nextPort.Add(1)))%ports
		address := "127.0.0.1:" + strconv.Itoa(port)
		l, err := net.Listen("tcp", address)
		if err == nil {
			_ = l.Close()
			return address, nil
		}
	}
	return "", failure.New(failure.KindInternal, "no free port from %d to %d", firstPort, firstPort+ports)
}
