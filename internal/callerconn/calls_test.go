package callerconn

import (
	"io"
	"net"
	"testing"
	"time"

	"filbertdeck/internal/decide/connbudget"
)

// callServer accepts connections that carry calls, and reads all that arrives.
type callServer struct {
	peers   *Peers
	address string
	// accepted are the connections as the server has them.
	accepted chan net.Conn
}

// startCallServer has room for maxBytes beyond its connections, of which there are two at most.
func startCallServer(t *testing.T, maxBytes int64) *callServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &callServer{peers: NewPeers(newTestBudget(2*ConnBytes+maxBytes, 2)), address: l.Addr().String(), accepted: make(chan net.Conn, 2)}
	limited := s.peers.Listen(l)
	t.Cleanup(func() { _ = limited.Close() })
	go func() {
		for {
			conn, err := limited.Accept()
			if err != nil {
				return
			}
			s.accepted <- conn
			go func() { _, _ = io.Copy(io.Discard, conn) }()
		}
	}()
	return s
}

// dial returns both ends of a new connection on which the client has begun to speak.
func (s *callServer) dial(t *testing.T) (client, server net.Conn) {
	t.Helper()
	client, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	send(t, client, string(make([]byte, clientPrefaceBytes)))
	select {
	case server = <-s.accepted:
	case <-time.After(longTimeout):
		t.Fatal("the connection is not accepted")
	}
	return client, server
}

func (s *callServer) held() int64 {
	s.peers.budget.mu.Lock()
	defer s.peers.budget.mu.Unlock()
	return s.peers.budget.decide.Held()
}

func (s *callServer) awaitHeld(t *testing.T, bytes int64) {
	t.Helper()
	eventually(t, "another amount is held", func() bool { return s.held() == bytes })
}

// beginCalls sends the headers of calls.
func beginCalls(t *testing.T, conn net.Conn, calls ...uint32) {
	t.Helper()
	for _, call := range calls {
		send(t, conn, string(frameBytes(headersFrame, 4, call, make([]byte, 20))))
	}
}

func isClosed(conn net.Conn) bool {
	_ = conn.SetReadDeadline(time.Now().Add(longTimeout))
	_, err := conn.Read(make([]byte, 1))
	return err != nil
}

// Guards against calls and messages that are not counted, and against memory that is not given
// back when they end.
func TestCallsHoldMemoryUntilTheyEnd(t *testing.T) {
	s := startCallServer(t, 1<<20)
	client, server := s.dial(t)
	s.awaitHeld(t, ConnBytes)
	beginCalls(t, client, 1, 3, 5)
	send(t, client, string(frameBytes(dataFrame, 0, 3, make([]byte, 1000))))
	s.awaitHeld(t, ConnBytes+3*callBytes+1000)
	send(t, client, string(frameBytes(resetFrame, 0, 1, make([]byte, 4))))
	s.awaitHeld(t, ConnBytes+2*callBytes+1000)
	if _, err := server.Write(frameBytes(headersFrame, 4, 3, nil)); err != nil {
		t.Fatal(err)
	}
	if _, err := server.Write(frameBytes(headersFrame, 4|endStreamFlag, 3, nil)); err != nil {
		t.Fatal(err)
	}
	s.awaitHeld(t, ConnBytes+callBytes)
	// What still arrives for a call that has ended is discarded.
	send(t, client, string(frameBytes(dataFrame, 0, 3, make([]byte, 1000))))
	send(t, client, string(frameBytes(resetFrame, 0, 5, make([]byte, 4))))
	s.awaitHeld(t, ConnBytes)
	_ = server.Close()
	s.awaitHeld(t, 0)
}

// Guards against a host whose peers find no room since another one begins calls and neither ends
// them nor reads the answers.
func TestConnectionOfStalledCallsIsEvicted(t *testing.T) {
	s := startCallServer(t, 2*callBytes)
	stalled, _ := s.dial(t)
	beginCalls(t, stalled, 1, 3)
	s.awaitHeld(t, ConnBytes+2*callBytes)
	other, _ := s.dial(t)
	beginCalls(t, other, 1)
	if !isClosed(stalled) {
		t.Fatal("a connection whose calls stand still keeps its memory")
	}
	s.awaitHeld(t, ConnBytes+callBytes)
}

// Guards against a request of another host's caller that is cut off after it may have run.
func TestConnectionOfServedCallIsKept(t *testing.T) {
	s := startCallServer(t, 2*callBytes)
	serving, server := s.dial(t)
	beginCalls(t, serving, 1, 3)
	s.awaitHeld(t, ConnBytes+2*callBytes)
	end := s.peers.Serve(server.RemoteAddr())
	other, _ := s.dial(t)
	beginCalls(t, other, 1)
	if !isClosed(other) {
		t.Fatal("a connection is served for which there is no room")
	}
	// It goes on although there is no room for more.
	beginCalls(t, serving, 5)
	awaitState(t, server, 3*callBytes, connbudget.Serving)
	end()
	awaitState(t, server, 3*callBytes, connbudget.Receiving)
}

// awaitState waits until the calls of a connection hold an amount and it is in a phase.
func awaitState(t *testing.T, conn net.Conn, total int64, phase connbudget.Phase) {
	t.Helper()
	c := conn.(*streamConn)
	eventually(t, "the connection is in another state", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.total == total && c.phase == phase
	})
}
