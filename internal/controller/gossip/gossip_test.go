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

// node is one control process's gossip, in this process.
type node struct {
	address string
	store   *configwatch.Store
	docs    configwatch.Board
	board   gossip.Board
	ctl     *gossip.Controller
	reader  atomic.Bool
	stop    func()
}

// nodeConfig holds what a test changes of a node.
type nodeConfig struct {
	every time.Duration
	hooks gossip.Hooks
	// creds secure the connections; plain text without.
	creds      credentials.TransportCredentials
	dataCentre string
	// now is the clock of the node's documents; nil means the machine's.
	now func() time.Time
	// rings is the number of neighbours; 0 means the default.
	rings int
	// watch gives the node a watch of the configuration service, and returns
	// what sets the watch's role.
	watch func(*configwatch.Store) func(bool)
	// onReader is called within a tick, when the node's role is worked out.
	onReader func(*node)
}

// listen gives a listener on a free port and its address.
func listen() (net.Listener, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return l, l.Addr().String()
}

// startNode serves on l under an address, which differs from l's when a proxy
// stands before it.
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
	if cfg.watch != nil {
		setReader = cfg.watch(n.store)
	}
	var list []membership.Peer
	for _, s := range seeds {
		list = append(list, membership.Peer{Address: s, DataCentre: "north"})
	}
	n.ctl, err = gossip.New(gossip.Config{
		Membership: membership.Config{
			Self:          membership.Member{Address: address, Incarnation: uint64(time.Now().UnixMilli()), DataCentre: cmp.Or(cfg.dataCentre, "north")},
			ProbeInterval: cmp.Or(cfg.every, probeEvery), RingCount: cfg.rings,
		},
		Seeds: list, Store: n.store, Hosts: &n.docs.Hosts, Credentials: cfg.creds,
		SetReader: func(on bool) {
			n.reader.Store(on)
			setReader(on)
			if cfg.onReader != nil {
				cfg.onReader(n)
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

// probeEvery is shorter than in service, so that the tests are.
const probeEvery = 100 * time.Millisecond

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

func fleet(n int) []*node {
	nodes := startFleet(n, func(l net.Listener) net.Listener { return l }, nodeConfig{})
	for _, x := range nodes {
		DeferCleanup(x.stop)
	}
	return nodes
}

// edit puts a table of some accounts in force on one node; the account named
// changed has the weight.
func (n *node) edit(revision uint64, accounts int, weight int) {
	rows := []rollout.Row{}
	for i := range accounts {
		w := 1
		if i == 0 {
			w = weight
		}
		name := fmt.Sprintf("member-%05d", i)
		rows = append(rows, rollout.Row{Key: "account/" + name, Text: fmt.Sprintf("account,%s,%d,20,500,0,%064x,,,,,,", name, w, i+1)})
	}
	n.store.Offer(configwatch.SectionTable, rollout.Delta{Full: true, Rows: rows,
		Head: rollout.Head{Version: rollout.Version{Revision: revision}, Digest: rollout.ComputeDigest(rows)}})
}

func (n *node) revision() uint64 { return n.store.Head(configwatch.SectionTable).Version.Revision }

func everyone(nodes []*node, ok func(*node) bool) func() bool {
	return func() bool { return !slices.ContainsFunc(nodes, func(n *node) bool { return !ok(n) }) }
}

func live(count int) func(*node) bool {
	return func(n *node) bool { v := n.board.Members.Get(); return v != nil && len(v.LiveAddresses("")) == count }
}

// soon bounds only a spec that hangs: 32 copies of this package at once, with
// the race detector on eight cores, take up to 100 s for what takes four alone.
const soon, often = "5m", "10ms"

var _ = Describe("gossip", func() {
	It("finds everyone, brings an edit to all, and keeps three readers", func() {
		nodes := fleet(8)
		Eventually(everyone(nodes, live(8)), soon, often).Should(BeTrue())
		nodes[3].edit(5, 500, 4)
		Eventually(everyone(nodes, func(n *node) bool { return n.revision() == 5 }), soon, often).Should(BeTrue())
		nodes[6].edit(6, 500, 9)
		Eventually(everyone(nodes, func(n *node) bool { return n.revision() == 6 }), soon, often).Should(BeTrue())
		for _, n := range nodes {
			Expect(n.docs.Table.Get().Accounts["member-00000"].Weight).To(Equal(9.0))
		}
		readers := func() int {
			count := 0
			for _, n := range nodes {
				if n.reader.Load() {
					count++
				}
			}
			return count
		}
		Eventually(readers, soon, often).Should(Equal(membership.ReadersPerDataCentre))
	})

	// An edit comes just while a process works out its probes. A change that is
	// not pushed then would wait for the next probe, a second or more; here no
	// probe comes to help.
	It("pushes an edit that comes during a tick", func() {
		l, a := listen()
		m, b := listen()
		hour := nodeConfig{every: time.Hour}
		two := startNode(m, b, []string{a}, hour)
		DeferCleanup(two.stop)
		hour.onReader = func(n *node) {
			if live(2)(n) && n.revision() == 0 {
				n.edit(5, 3, 1)
			}
		}
		one := startNode(l, a, []string{b}, hour)
		DeferCleanup(one.stop)
		Eventually(two.revision, soon, often).Should(Equal(uint64(5)))
	})

	// An operator saves a table with a negative weight. Nodes that took it and
	// nodes that did not would admit by different weights; and an operator who
	// asks any node must hear the same reason.
	It("makes a refused edit known as refused everywhere", func() {
		nodes := fleet(5)
		nodes[0].edit(5, 3, 1)
		Eventually(everyone(nodes, func(n *node) bool { return n.revision() == 5 }), soon, often).Should(BeTrue())
		bad := rollout.Refusal{Version: rollout.Version{Revision: 6}, Reason: "row 4 column weight"}
		nodes[1].store.Refuse(configwatch.SectionTable, bad)
		Eventually(everyone(nodes, func(n *node) bool { return n.store.Refused(configwatch.SectionTable) == bad }), soon, often).Should(BeTrue())
		Expect(everyone(nodes, func(n *node) bool { return n.revision() == 5 })()).To(BeTrue())
	})

	// A host is replaced while the configuration service still answers from an
	// old state. Serving at once would bring the old table back on this host.
	It("lets a new process take the newest table from peers before it is ready", func() {
		nodes := fleet(4)
		nodes[0].edit(9, 11_000, 7)
		Eventually(everyone(nodes, func(n *node) bool { return n.revision() == 9 && n.store.IsReady() }), soon, often).Should(BeTrue())
		l, a := listen()
		// With a clock that stands still the grace of a start never ends: only
		// peers can make the process ready, however busy the machine is.
		started := time.Now()
		still := nodeConfig{now: func() time.Time { return started }}
		fresh := startNode(l, a, []string{nodes[0].address, nodes[1].address, nodes[2].address}, still)
		DeferCleanup(fresh.stop)
		fresh.edit(3, 10, 1)
		Eventually(fresh.store.IsReady, soon, "1ms").Should(BeTrue())
		Expect(fresh.revision()).To(Equal(uint64(9)))
		Eventually(func() bool { return fresh.docs.Rollout.Get().PeersConfirmed }, soon, often).Should(BeTrue())
	})

	// Probes go to neighbours. In a small fleet a process that has just started
	// may have fewer of them than must vouch for what it holds; operators then
	// read for good that its peers were not asked.
	It("has members beyond its neighbours vouch for a new process", func() {
		nodes := fleet(4)
		Eventually(everyone(nodes, live(4)), soon, often).Should(BeTrue())
		nodes[0].edit(9, 10, 7)
		Eventually(everyone(nodes, func(n *node) bool { return n.revision() == 9 && n.store.IsReady() }), soon, often).Should(BeTrue())
		l, a := listen()
		fresh := startNode(l, a, []string{nodes[0].address}, nodeConfig{rings: 1})
		DeferCleanup(fresh.stop)
		Eventually(func() bool { return fresh.docs.Rollout.Get().PeersConfirmed }, "1m", often).Should(BeTrue())
	})

	It("passes on when the host list was confirmed, never as later than it was", func() {
		nodes := fleet(3)
		Eventually(everyone(nodes, live(3)), soon, often).Should(BeTrue())
		at := time.Now()
		nodes[0].store.Confirmed(at)
		Eventually(everyone(nodes, func(n *node) bool { return !n.store.ConfirmedAt().IsZero() }), soon, often).Should(BeTrue())
		Consistently(everyone(nodes, func(n *node) bool { return !n.store.ConfirmedAt().After(at) }), "500ms", often).Should(BeTrue())
	})

	It("carries what other controllers hand in", func() {
		l, a := listen()
		m, b := listen()
		taken := make(chan string, 100)
		one := startNode(l, a, []string{b}, nodeConfig{hooks: gossip.Hooks{
			SupplyPools:  func() []*filbertv1.PoolNews { return []*filbertv1.PoolNews{{Pool: "reports/0"}} },
			SupplyPoison: func() []*filbertv1.PoisonNews { return []*filbertv1.PoisonNews{{Id: 7}} },
		}})
		DeferCleanup(one.stop)
		offer := func(s string) {
			select {
			case taken <- s:
			default:
			}
		}
		two := startNode(m, b, []string{a}, nodeConfig{hooks: gossip.Hooks{
			ReceivePools:  func(p []*filbertv1.PoolNews) { offer(p[0].GetPool()) },
			ReceivePoison: func(p []*filbertv1.PoisonNews) { offer(fmt.Sprint(p[0].GetId())) },
		}})
		DeferCleanup(two.stop)
		Eventually(taken, soon).Should(Receive(Equal("reports/0")))
		Eventually(taken, soon).Should(Receive(Equal("7")))
	})

	// A request crashes a target and its caller sends it again within a second.
	// Were the news to wait for the next probe, it would meet the next target.
	It("tells neighbours urgent news without waiting for a probe", func() {
		l, a := listen()
		m, b := listen()
		urgent, taken := make(chan struct{}), make(chan uint64, 100)
		one := startNode(l, a, []string{b}, nodeConfig{every: time.Hour, hooks: gossip.Hooks{
			SupplyPoison: func() []*filbertv1.PoisonNews { return []*filbertv1.PoisonNews{{Id: 7}} }, PushRequests: urgent,
		}})
		DeferCleanup(one.stop)
		two := startNode(m, b, []string{a}, nodeConfig{every: time.Hour, hooks: gossip.Hooks{
			ReceivePoison: func(p []*filbertv1.PoisonNews) { taken <- p[0].GetId() },
		}})
		DeferCleanup(two.stop)
		Eventually(urgent, soon).Should(BeSent(struct{}{}))
		Eventually(taken, soon).Should(Receive(Equal(uint64(7))))
	})

	It("tells a planned stop, and finds a crash out", func() {
		nodes := fleet(5)
		Eventually(everyone(nodes, live(5)), soon, often).Should(BeTrue())
		nodes[4].ctl.AnnounceLeave(context.Background())
		nodes[4].stop()
		Eventually(everyone(nodes[:4], live(4)), soon, often).Should(BeTrue())
		nodes[3].stop()
		Eventually(everyone(nodes[:3], live(3)), soon, often).Should(BeTrue())
	})

	// A firewall between two hosts forgets their connections after an upgrade.
	// They stay open and carry nothing, while new ones work. Processes would
	// take each other for dead, or an edit would never arrive.
	It("goes on over new connections when all open ones fall silent", func() {
		proxies := make([]*silencer, 3)
		listeners, addresses := make([]net.Listener, 3), make([]string, 3)
		for i := range proxies {
			l, a := listen()
			listeners[i] = l
			proxies[i] = newSilencer(a)
			addresses[i] = proxies[i].address
		}
		var nodes []*node
		for i := range proxies {
			n := startNode(listeners[i], addresses[i], addresses, nodeConfig{})
			DeferCleanup(n.stop)
			nodes = append(nodes, n)
		}
		Eventually(everyone(nodes, live(3)), soon, often).Should(BeTrue())
		for _, p := range proxies {
			p.silence()
		}
		nodes[0].edit(5, 10, 2)
		Eventually(everyone(nodes, func(n *node) bool { return n.revision() == 5 }), "10s", often).Should(BeTrue())
		Eventually(everyone(nodes, live(3)), soon, often).Should(BeTrue())
	})
})

// silencer passes connections on, until it is told to let the open ones go
// silent: they stay open, and nothing passes any more.
type silencer struct {
	address string
	mu      sync.Mutex
	open    []*atomic.Bool
}

func newSilencer(target string) *silencer {
	l, a := listen()
	s := &silencer{address: a}
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
			silent := &atomic.Bool{}
			s.mu.Lock()
			s.open = append(s.open, silent)
			s.mu.Unlock()
			go pass(in, out, silent)
			go pass(out, in, silent)
		}
	}()
	return s
}

func (s *silencer) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.open {
		c.Store(true)
	}
}

func pass(from, to net.Conn, silent *atomic.Bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if !silent.Load() {
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
