package fleet

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"

	"filbertdeck/internal/failure"
)

// Host ports are taken from 10000 to 29999, below the kernel's default range
// for outgoing connections (32768 and up). A port within that range can be
// taken by an outgoing connection after it was found free and before the
// process starts to listen on it, which made runs fail now and then with
// "address already in use".
const (
	firstPort = 10_000
	portCount = 20_000
	// portStride is the distance, in ports, between the positions at which two
	// processes with successive IDs start their search, so that deployments
	// that start at the same time choose different ports.
	portStride = 64
)

// portsTried counts the ports that this process has probed.
var portsTried atomic.Int64

// FreeLoopbackAddress returns a loopback address on which no process listens.
func FreeLoopbackAddress() (string, error) {
	offset := os.Getpid() * portStride
	for range portCount {
		port := firstPort + (offset+int(portsTried.Add(1)))%portCount
		address := "127.0.0.1:" + strconv.Itoa(port)
		listener, err := net.Listen("tcp", address)
		if err == nil {
			_ = listener.Close()
			return address, nil
		}
	}
	return "", failure.New(failure.KindInternal, "no free port between %d and %d", firstPort, firstPort+portCount)
}
