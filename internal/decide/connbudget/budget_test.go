package connbudget

import (
	"testing"
	"time"
)

const (
	connBytes = 10
	grace     = time.Second
)

func newBudget(maxBytes int64, maxConns int) *Budget {
	return New(Config{MaxBytes: maxBytes, MaxConns: maxConns, ConnBytes: connBytes, Grace: grace, MinRate: 100})
}

// open opens a connection and records its eviction in the returned flag.
func open(t *testing.T, b *Budget, now time.Duration) (*Conn, *bool) {
	t.Helper()
	evicted := new(bool)
	c := b.Open(now, func() { *evicted = true })
	if c == nil {
		t.Fatal("the connection is refused")
	}
	return c, evicted
}

// Guards against connections that each keep their own bound and together exceed the host.
func TestReserveBoundsTheSum(t *testing.T) {
	b := newBudget(100, 10)
	first, _ := open(t, b, 0)
	second, _ := open(t, b, 0)
	if !b.Reserve(first, 0, 60) {
		t.Fatal("60 of 80 free bytes are refused")
	}
	if b.Reserve(second, 0, 30) {
		t.Fatal("110 of 100 bytes are held")
	}
	b.Release(first, 0)
	if !b.Reserve(second, 0, 30) || b.Held() != 50 {
		t.Fatalf("released bytes are not free: %d held", b.Held())
	}
	b.Close(second)
	if b.Held() != connBytes || b.Conns() != 1 {
		t.Fatalf("a closed connection holds memory: %d bytes, %d connections", b.Held(), b.Conns())
	}
}

// Guards against a caller that can't be served since others hold memory and do nothing.
func TestSlowPeerIsEvicted(t *testing.T) {
	for name, phase := range map[string]Phase{"receiving": Receiving, "sending": Sending} {
		t.Run(name, func(t *testing.T) {
			b := newBudget(100, 10)
			slow, evicted := open(t, b, 0)
			b.Reserve(slow, 0, 70)
			b.Enter(slow, 0, phase)
			other, _ := open(t, b, 0)
			if b.Reserve(other, grace, 70) {
				t.Fatal("a peer is evicted within its grace period")
			}
			b.Move(slow, grace, 100)
			if b.Reserve(other, 2*grace, 70) {
				t.Fatal("a peer is evicted that keeps the minimum rate")
			}
			b.Move(slow, 2*grace, 1)
			if !b.Reserve(other, 2*grace+100*time.Millisecond, 70) || !*evicted {
				t.Fatal("a slow peer keeps its memory")
			}
			if b.Enter(slow, 3*grace, Serving) {
				t.Fatal("the request of an evicted connection is served")
			}
		})
	}
}

// Guards against a peer that sends nearly all of a request at once, and then nothing.
func TestFastBeginningEarnsNoTime(t *testing.T) {
	b := newBudget(100, 10)
	stalled, evicted := open(t, b, 0)
	b.Reserve(stalled, 0, 70)
	b.Enter(stalled, 0, Receiving)
	b.Move(stalled, 0, 1<<20)
	other, _ := open(t, b, 0)
	if !b.Reserve(other, grace+time.Millisecond, 70) || !*evicted {
		t.Fatal("a stalled peer keeps its memory")
	}
}

// Guards against a request that is cut off after it may have run.
func TestServedRequestIsNeverEvicted(t *testing.T) {
	b := newBudget(100, 2)
	serving, evicted := open(t, b, 0)
	b.Reserve(serving, 0, 70)
	b.Enter(serving, 0, Serving)
	other, _ := open(t, b, 0)
	b.Enter(other, 0, Serving)
	if b.Reserve(other, time.Hour, 70) || b.Open(time.Hour, func() {}) != nil || *evicted {
		t.Fatal("a request that is served lost its connection")
	}
}

// Guards against evictions of many small connections where one holds nearly all.
func TestLargestHolderIsEvictedFirst(t *testing.T) {
	b := newBudget(100, 10)
	small, smallEvicted := open(t, b, 0)
	large, largeEvicted := open(t, b, 0)
	b.Reserve(small, 0, 5)
	b.Reserve(large, 0, 50)
	b.Enter(small, 0, Receiving)
	b.Enter(large, 0, Receiving)
	other, _ := open(t, b, 0)
	if !b.Reserve(other, time.Minute, 40) || *smallEvicted || !*largeEvicted {
		t.Fatal("the largest slow connection is not the first to go")
	}
}

// Guards against a host that new callers can't reach since silent connections hold all places.
func TestSilentConnectionYieldsToNewOne(t *testing.T) {
	b := newBudget(100, 2)
	kept, keptEvicted := open(t, b, 0)
	b.Move(kept, 0, 1)
	_, silentEvicted := open(t, b, 0)
	open(t, b, 10*time.Second)
	if !*silentEvicted || *keptEvicted {
		t.Fatal("a kept connection goes before one that was never used")
	}
}

// Guards against kept connections that are closed as soon as they are idle.
func TestKeptConnectionStaysWithinGrace(t *testing.T) {
	b := newBudget(100, 1)
	kept, evicted := open(t, b, 0)
	b.Move(kept, 0, 1)
	b.Enter(kept, 10*time.Second, Idle)
	if b.Open(10*time.Second+grace, func() {}) != nil {
		t.Fatal("a connection that was just used is evicted")
	}
	open(t, b, 11*time.Second+grace)
	if !*evicted {
		t.Fatal("an idle connection stays although there is no place")
	}
}

// Guards against ordinary callers that find no place beside a few large requests.
func TestLargeRequestsLeaveRoomForConnections(t *testing.T) {
	b := New(Config{MaxBytes: 100, MaxConns: 10, ConnBytes: connBytes, ConnReserve: 30, Grace: grace, MinRate: 100})
	large, _ := open(t, b, 0)
	if b.Reserve(large, 0, 71) || !b.Reserve(large, 0, 70) {
		t.Fatal("a request takes the memory of connections, or not all of the rest")
	}
	b.Enter(large, 0, Serving)
	open(t, b, 0)
	open(t, b, 0)
	b.Close(large)
	third, _ := open(t, b, 0)
	if !b.Reserve(third, 0, 70) {
		t.Fatal("a closed connection keeps memory")
	}
}

// Guards against a request larger than the budget that evicts others in vain.
func TestRequestBeyondBudgetEvictsNobody(t *testing.T) {
	b := newBudget(100, 10)
	slow, evicted := open(t, b, 0)
	b.Enter(slow, 0, Receiving)
	other, _ := open(t, b, 0)
	if b.Reserve(other, time.Hour, 91) || *evicted {
		t.Fatal("a request that never fits evicts others")
	}
}

// Guards against requests without a connection of the budget that are not part of the sum.
func TestTakeBoundsTheSum(t *testing.T) {
	b := newBudget(100, 10)
	c, _ := open(t, b, 0)
	if !b.Take(0, 60) || b.Take(0, 40) || b.Reserve(c, 0, 40) {
		t.Fatal("more than 100 bytes are held, or 70 are refused")
	}
	b.Give(60)
	if b.Held() != connBytes || !b.Reserve(c, 0, 40) {
		t.Fatalf("memory that was given back is not free: %d held", b.Held())
	}
}

// Guards against a request without a connection that finds no memory since others hold it and do
// nothing.
func TestTakeEvictsSlowPeer(t *testing.T) {
	b := newBudget(100, 10)
	slow, evicted := open(t, b, 0)
	b.Reserve(slow, 0, 70)
	b.Enter(slow, 0, Receiving)
	if b.Take(grace, 70) || !b.Take(grace+time.Millisecond, 70) || !*evicted {
		t.Fatal("a slow peer keeps its memory, or loses it within its grace period")
	}
}

func TestSharesStayWithinHost(t *testing.T) {
	for _, host := range []HostLimits{{MemoryBytes: 88e6, Sockets: 3900}, {MemoryBytes: 64e6, Sockets: 200}, {MemoryBytes: 536e6, Sockets: 10050}} {
		s := Share(host, 8<<20, 17<<20)
		if s.CallerBytes < 4<<20 || s.CallerBytes+s.AnswerBytes+s.PeerBytes >= s.RuntimeBytes || s.RuntimeBytes >= host.MemoryBytes {
			t.Errorf("%+v: %+v leaves no memory", host, s)
		}
		if 2*s.CallerConns+s.PeerConns+2*s.AdminConns >= host.Sockets {
			t.Errorf("%+v: %+v leaves no sockets", host, s)
		}
	}
}
