package gatewayhost

import (
	"log/slog"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"

	"filbertdeck/internal/failure"
)

func hostSettings(memoryMB int64, sockets int) *Settings {
	return &Settings{
		CallerGrace: time.Second, CallerMinRate: 1 << 14, CallerStallTimeout: time.Minute,
		Deployment: Deployment{Host: HostLimits{MemoryBytes: memoryMB * bytesPerMB, Sockets: sockets}},
	}
}

// Guards against counters that the operators' documentation does not describe.
func TestBudgetCountersAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/gateway-counters.md")
	if err != nil {
		t.Fatal(err)
	}
	registry := gometrics.NewRegistry()
	budgets, err := newHostBudgets(hostSettings(134, 3900), slog.New(slog.DiscardHandler), registry)
	if err != nil {
		t.Fatal(err)
	}
	budgets.listenAdmin("readiness")
	budgets.listenAdmin("metrics")
	registry.Each(func(name string, _ any) {
		if !strings.Contains(string(page), "`"+name+"`") {
			t.Errorf("%s is not documented on the operators' page", name)
		}
	})
}

// Guards against limits of callers beyond those of the host.
func TestSettingsBeyondHostAreInvalid(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"memory":      func(s *Settings) { s.CallerMemoryMB = 90 },
		"connections": func(s *Settings) { s.CallerConnections = 1951 },
	} {
		s := hostSettings(134, 3900)
		change(s)
		if _, err := newHostBudgets(s, slog.New(slog.DiscardHandler), gometrics.NewRegistry()); failure.KindOf(err) != failure.KindSettingInvalid {
			t.Errorf("%s: got %v, want an invalid setting", name, err)
		}
	}
}

// Guards against settings that are checked but not applied.
func TestSettingsReplaceShares(t *testing.T) {
	s := hostSettings(134, 3900)
	s.CallerMemoryMB, s.CallerConnections = 20, 7
	budgets, err := newHostBudgets(s, slog.New(slog.DiscardHandler), gometrics.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	if budgets.shares.CallerBytes != 20*bytesPerMB || budgets.shares.CallerConns != 7 {
		t.Errorf("got %+v", budgets.shares)
	}
}

// Guards against a process without limits where the platform names none.
func TestUnknownHostLimitsComeFromSystem(t *testing.T) {
	host, err := hostLimits(HostLimits{})
	if err != nil || host.MemoryBytes <= 0 || host.Sockets <= 0 {
		t.Errorf("got %+v, %v", host, err)
	}
}

// Guards against a host that goes on with a request for another one long after it has lost that
// host, where the request goes on elsewhere.
func TestPeerConnectionsEndWithoutAcknowledgement(t *testing.T) {
	budgets, err := newHostBudgets(hostSettings(134, 3900), slog.New(slog.DiscardHandler), gometrics.NewRegistry())
	if err != nil {
		t.Fatal(err)
	}
	l, err := budgets.listenPeers("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	peer, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = peer.Close() })
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	raw, err := conn.(interface{ NetConn() net.Conn }).NetConn().(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var millis int
	controlErr := raw.Control(func(fd uintptr) { millis, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) })
	if controlErr != nil || err != nil {
		t.Fatal(controlErr, err)
	}
	const want = 2 * time.Second
	if got := time.Duration(millis) * time.Millisecond; got != want {
		t.Errorf("unacknowledged data ends the connection after %s, want %s", got, want)
	}
}
