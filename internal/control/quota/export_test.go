package quota

import (
	"time"

	"google.golang.org/grpc"
)

// Use has requests to an owner use a connection.
func (p *Peers) Use(owner string, conn *grpc.ClientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers[owner] = &peer{conn: conn, lastUsed: time.Now()}
}
