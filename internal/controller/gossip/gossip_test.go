package gossip_test

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/controller/configwatch"
	"filbertdeck/internal/controller/gossip"
	"filbertdeck/internal/decide/membership"
	"filbertdeck/internal/decide/rollout"
)

func TestGossip(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "gossip")
}

// node is the gossip part of one control process, run within the test process.
type node struct {
	address string
	store   *configwatch.Store
	docs    configwatch.Board
	board   gossip.Board
	ctl     *gossip.Controller
	reader  atomic.Bool
	stop    func()
}

// nodeConfig holds the settings of a node that tests change.
type nodeConfig struct {
	probeInterval time.Duration
	hooks         gossip.Hooks
	// creds secure the connections; plain text if nil.
	creds      credentials.TransportCredentials
	dataCentre string
	// now is the clock of the node's documents; the system clock if nil.
	now func() time.Time
	// ringCount is the number of neighbours; 0 means the default.
	ringCount int
	// startWatch starts a watch of the configuration service for the node, and
	// returns the function that sets whether the node is a reader.
	startWatch func(*configwatch.Store) func(bool)
	// onSetReader is called within a tick when the node's role is set.
	onSetReader func(*node)
}

// listen returns a listener on a free port and its address.
func listen() (net.Listener, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return l, l.Addr().String()
}

// startNode starts a node that serves on l. The address differs from l's when a
// proxy is in front of it.
func startNode(l net.Listener, address string, seeds []string, cfg nodeConfig) *node {
	n := &node{address: address}
	if cfg.creds == nil {
		cfg.creds = insecure.NewCredentials()
	}
	var err error
	if n.store, err = configwatch.NewStore(&n.docs, configwatch.StoreConfig{Now: cfg.now}); err != nil {
		panic(err)
	}
	setReader := func(bool) {}
	if cfg.startWatch != nil {
		setReader = cfg.startWatch(n.store)
	}
	var seedPeers []membership.Peer
	for _, s := range seeds {
		seedPeers = append(seedPeers, membership.Peer{Address: s, DataCentre: "north"})
	}
	n.ctl, err = gossip.New(gossip.Config{
		Membership: membership.Config{
			Self:          membership.Member{Address: address, Incarnation: uint64(time.Now().UnixMilli()), DataCentre: cmp.Or(cfg.dataCentre, "north")},
			ProbeInterval: cmp.Or(cfg.probeInterval, defaultProbeInterval), RingCount: cfg.ringCount,
		},
		Seeds: seedPeers, Store: n.store, Hosts: &n.docs.Hosts, Credentials: cfg.creds,
		SetReader: func(isReader bool) {
			n.reader.Store(isReader)
			setReader(isReader)
			if cfg.onSetReader != nil {
				cfg.onSetReader(n)
			}
		}, Hooks: cfg.hooks,
	}, &n.board)
	if err != nil {
		panic(err)
	}
	server := grpc.NewServer(append(gossip.ServerOptions(), grpc.Creds(cfg.creds))...)
	n.ctl.Register(server)
	go func() { _ = server.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); n.ctl.Run(ctx) }()
	n.stop = sync.OnceFunc(func() { cancel(); <-done; server.Stop() })
	return n
}

// defaultProbeInterval is shorter than in production to shorten the tests.
const defaultProbeInterval = 100 * time.Millisecond

// startFleet starts n nodes that know each other's addresses.
func startFleet(n int, wrap func(net.Listener) net.Listener, cfg nodeConfig) []*node {
	listeners, addresses := make([]net.Listener, n), make([]string, n)
	for i := range n {
		l, a := listen()
		listeners[i], addresses[i] = wrap(l), a
	}
	nodes := make([]*node, n)
	for i := range n {
		nodes[i] = startNode(listeners[i], addresses[i], addresses, cfg)
	}
	return nodes
}

func startPlainFleet(n int) []*node {
	nodes := startFleet(n, func(l net.Listener) net.Listener { return l }, nodeConfig{})
	for _, n := range nodes {
		DeferCleanup(n.stop)
	}
	return nodes
}

// putTable puts a table with some accounts in force on one node; the first
// account has the given weight.
func (n *node) putTable(revision uint64, accounts int, weight int) {
	rows := []rollout.Row{}
	for i := range accounts {
		w := 1
		if i == 0 {
			w = weight
		}
		name := fmt.Sprintf("member-%05d", i)
		rows = append(rows, rollout.Row{Key: "account/" + name, Text: fmt.Sprintf("account,%s,%d,20,500,0,%064x,,,,,,", name, w, i+1)})
	}
	n.store.Apply(configwatch.SectionTable, rollout.Delta{Full: true, Rows: rows,
		Head: rollout.Head{Version: rollout.Version{Revision: revision}, Digest: rollout.ComputeDigest(rows)}})
}

func (n *node) revision() uint64 { return n.store.Head(configwatch.SectionTable).Version.Revision }

func onAll(nodes []*node, ok func(*node) bool) func() bool {
	return func() bool { return !slices.ContainsFunc(nodes, func(n *node) bool { return !ok(n) }) }
}

func hasLiveMembers(count int) func(*node) bool {
	return func(n *node) bool {
		v := n.board.Members.Get()
		return v != nil && len(v.EligibleAddresses("")) == count
	}
}

// hangTimeout only stops specs that hang: 32 copies of this package at once,
// with the race detector on eight cores, take up to 100 s for what one takes
// four.
const hangTimeout, pollInterval = "5m", "10ms"

var _ = Describe("gossip", func() {
	It("finds all members, distributes an edit to all, and keeps three readers", func() {
		nodes := startPlainFleet(8)
		Eventually(onAll(nodes, hasLiveMembers(8)), hangTimeout, pollInterval).Should(BeTrue())
		nodes[3].putTable(5, 500, 4)
		Eventually(onAll(nodes, func(n *node) bool { return n.revision() == 5 }), hangTimeout, pollInterval).Should(BeTrue())
		nodes[6].putTable(6, 500, 9)
		Eventually(onAll(nodes, func(n *node) bool { return n.revision() == 6 }), hangTimeout, pollInterval).Should(BeTrue())
		for _, n := range nodes {
			Expect(n.docs.Table.Get().Accounts["member-00000"].Weight).To(Equal(9.0))
		}
		readerCount := func() int {
			count := 0
			for _, n := range nodes {
				if n.reader.Load() {
					count++
				}
			}
			return count
		}
		Eventually(readerCount, hangTimeout, pollInterval).Should(Equal(membership.ReadersPerDataCentre))
	})

	// Guards against an edit that is not pushed when it arrives while a process
	// computes its probes. The probe interval of an hour ensures that no probe
	// delivers it.
	It("pushes an edit that arrives during a tick", func() {
		l, a := listen()
		m, b := listen()
		withoutProbes := nodeConfig{probeInterval: time.Hour}
		second := startNode(m, b, []string{a}, withoutProbes)
		DeferCleanup(second.stop)
		withoutProbes.onSetReader = func(n *node) {
			if hasLiveMembers(2)(n) && n.revision() == 0 {
				n.putTable(5, 3, 1)
			}
		}
		first := startNode(l, a, []string{b}, withoutProbes)
		DeferCleanup(first.stop)
		Eventually(second.revision, hangTimeout, pollInterval).Should(Equal(uint64(5)))
	})

	// Guards against nodes that disagree on whether a table with a negative
	// weight was refused: they would admit by different weights, and operators
	// would get different answers from different nodes.
	It("reports a refused edit as refused on all nodes", func() {
		nodes := startPlainFleet(5)
		nodes[0].putTable(5, 3, 1)
		Eventually(onAll(nodes, func(n *node) bool { return n.revision() == 5 }), hangTimeout, pollInterval).Should(BeTrue())
		refusal := rollout.Refusal{Version: rollout.Version{Revision: 6}, Reason: "row 4 column weight"}
		nodes[1].store.RecordRefusal(configwatch.SectionTable, refusal)
		Eventually(onAll(nodes, func(n *node) bool { return n.store.LatestRefusal(configwatch.SectionTable) == refusal }), hangTimeout, pollInterval).Should(BeTrue())
		Expect(onAll(nodes, func(n *node) bool { return n.revision() == 5 })()).To(BeTrue())
	})

	// Guards against a replaced host that serves an old table because the
	// configuration service still answers from an old state.
	It("makes a new process fetch the newest table from peers before it is ready", func() {
		nodes := startPlainFleet(4)
		nodes[0].putTable(9, 11_000, 7)
		Eventually(onAll(nodes, func(n *node) bool { return n.revision() == 9 && n.store.IsReady() }), hangTimeout, pollInterval).Should(BeTrue())
		l, a := listen()
		// With a frozen clock the startup grace period never ends: only peers
		// can make the process ready, however busy the test machine is.
		started := time.Now()
		frozenClock := nodeConfig{now: func() time.Time { return started }}
		newNode := startNode(l, a, []string{nodes[0].address, nodes[1].address, nodes[2].address}, frozenClock)
		DeferCleanup(newNode.stop)
		newNode.putTable(3, 10, 1)
		Eventually(newNode.store.IsReady, hangTimeout, "1ms").Should(BeTrue())
		Expect(newNode.revision()).To(Equal(uint64(9)))
		Eventually(func() bool { return newNode.docs.Rollout.Get().PeersConfirmed }, hangTimeout, pollInterval).Should(BeTrue())
	})

	// Guards against a new process in a small fleet with fewer neighbours than
	// the confirmations that it needs: it would report permanently that its
	// peers were not asked.
	It("lets members other than its neighbours confirm the documents of a new process", func() {
		nodes := startPlainFleet(4)
		Eventually(onAll(nodes, hasLiveMembers(4)), hangTimeout, pollInterval).Should(BeTrue())
		nodes[0].putTable(9, 10, 7)
		Eventually(onAll(nodes, func(n *node) bool { return n.revision() == 9 && n.store.IsReady() }), hangTimeout, pollInterval).Should(BeTrue())
		l, a := listen()
		newNode := startNode(l, a, []string{nodes[0].address}, nodeConfig{ringCount: 1})
		DeferCleanup(newNode.stop)
		Eventually(func() bool { return newNode.docs.Rollout.Get().PeersConfirmed }, "1m", pollInterval).Should(BeTrue())
	})

	It("distributes the time of the host list's confirmation, and never a later one", func() {
		nodes := startPlainFleet(3)
		Eventually(onAll(nodes, hasLiveMembers(3)), hangTimeout, pollInterval).Should(BeTrue())
		confirmedAt := time.Now()
		nodes[0].store.ConfirmHosts(confirmedAt)
		Eventually(onAll(nodes, func(n *node) bool { return !n.store.ConfirmedAt().IsZero() }), hangTimeout, pollInterval).Should(BeTrue())
		Consistently(onAll(nodes, func(n *node) bool { return !n.store.ConfirmedAt().After(confirmedAt) }), "500ms", pollInterval).Should(BeTrue())
	})

	It("carries the updates of other controllers", func() {
		l, a := listen()
		m, b := listen()
		received := make(chan string, 100)
		first := startNode(l, a, []string{b}, nodeConfig{hooks: gossip.Hooks{
			SupplyPools:  func() []*filbertv1.PoolNews { return []*filbertv1.PoolNews{{Pool: "reports/0"}} },
			SupplyPoison: func() []*filbertv1.PoisonNews { return []*filbertv1.PoisonNews{{Id: 7}} },
		}})
		DeferCleanup(first.stop)
		record := func(s string) {
			select {
			case received <- s:
			default:
			}
		}
		second := startNode(m, b, []string{a}, nodeConfig{hooks: gossip.Hooks{
			ReceivePools:  func(p []*filbertv1.PoolNews) { record(p[0].GetPool()) },
			ReceivePoison: func(p []*filbertv1.PoisonNews) { record(fmt.Sprint(p[0].GetId())) },
		}})
		DeferCleanup(second.stop)
		Eventually(received, hangTimeout).Should(Receive(Equal("reports/0")))
		Eventually(received, hangTimeout).Should(Receive(Equal("7")))
	})

	// Guards against a crash report that waits for the next probe: a request
	// that crashed a target may be retried within a second and would crash the
	// next target.
	It("sends urgent updates to neighbours without waiting for a probe", func() {
		l, a := listen()
		m, b := listen()
		urgent, received := make(chan struct{}), make(chan uint64, 100)
		first := startNode(l, a, []string{b}, nodeConfig{probeInterval: time.Hour, hooks: gossip.Hooks{
			SupplyPoison: func() []*filbertv1.PoisonNews { return []*filbertv1.PoisonNews{{Id: 7}} }, PushRequests: urgent,
		}})
		DeferCleanup(first.stop)
		second := startNode(m, b, []string{a}, nodeConfig{probeInterval: time.Hour, hooks: gossip.Hooks{
			ReceivePoison: func(p []*filbertv1.PoisonNews) { received <- p[0].GetId() },
		}})
		DeferCleanup(second.stop)
		Eventually(urgent, hangTimeout).Should(BeSent(struct{}{}))
		Eventually(received, hangTimeout).Should(Receive(Equal(uint64(7))))
	})

	It("announces a planned stop, and detects a crash", func() {
		nodes := startPlainFleet(5)
		Eventually(onAll(nodes, hasLiveMembers(5)), hangTimeout, pollInterval).Should(BeTrue())
		nodes[4].ctl.AnnounceLeave(context.Background())
		nodes[4].stop()
		Eventually(onAll(nodes[:4], hasLiveMembers(4)), hangTimeout, pollInterval).Should(BeTrue())
		nodes[3].stop()
		Eventually(onAll(nodes[:3], hasLiveMembers(3)), hangTimeout, pollInterval).Should(BeTrue())
	})

	// Guards against connections that stay open but carry no data, as after a
	// firewall loses its connection table, while new ones work: processes would
	// take each other for dead, or an edit would never arrive.
	It("continues over new connections when all open ones stop carrying data", func() {
		proxies := make([]*blackholeProxy, 3)
		listeners, addresses := make([]net.Listener, 3), make([]string, 3)
		for i := range proxies {
			l, a := listen()
			listeners[i] = l
			proxies[i] = newBlackholeProxy(a)
			addresses[i] = proxies[i].address
		}
		var nodes []*node
		for i := range proxies {
			n := startNode(listeners[i], addresses[i], addresses, nodeConfig{})
			DeferCleanup(n.stop)
			nodes = append(nodes, n)
		}
		Eventually(onAll(nodes, hasLiveMembers(3)), hangTimeout, pollInterval).Should(BeTrue())
		for _, p := range proxies {
			p.dropOpenTraffic()
		}
		nodes[0].putTable(5, 10, 2)
		Eventually(onAll(nodes, func(n *node) bool { return n.revision() == 5 }), "10s", pollInterval).Should(BeTrue())
		Eventually(onAll(nodes, hasLiveMembers(3)), hangTimeout, pollInterval).Should(BeTrue())
	})
})

// blackholeProxy forwards connections until it is told to drop all data on the
// open ones, which stay open.
type blackholeProxy struct {
	address   string
	mu        sync.Mutex
	dropFlags []*atomic.Bool
}

func newBlackholeProxy(target string) *blackholeProxy {
	l, a := listen()
	p := &blackholeProxy{address: a}
	DeferCleanup(l.Close)
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				_ = in.Close()
				continue
			}
			dropData := &atomic.Bool{}
			p.mu.Lock()
			p.dropFlags = append(p.dropFlags, dropData)
			p.mu.Unlock()
			go forward(in, out, dropData)
			go forward(out, in, dropData)
		}
	}()
	return p
}

func (p *blackholeProxy) dropOpenTraffic() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, dropData := range p.dropFlags {
		dropData.Store(true)
	}
}

func forward(from, to net.Conn, dropData *atomic.Bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if !dropData.Load() {
			_, _ = to.Write(buf[:n])
			if err != nil {
				_ = to.Close()
			}
		}
		if err != nil {
			return
		}
	}
}
