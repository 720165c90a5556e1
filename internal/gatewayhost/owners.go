package gatewayhost

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/fx"
	"google.golang.org/protobuf/proto"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/controller/recordsync"
	"filbertdeck/internal/decide/targetload"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/gateway"
	"filbertdeck/internal/process"
)

const (
	// ownerLimit bounds the wait for an owner's answer: a round trip between
	// data centres takes three milliseconds, and a generation has seconds.
	ownerLimit = 15 * time.Millisecond
	// silentFor is how long a host that did not answer is passed over for the one
	// that follows it: membership takes a second to notice that it is gone.
	silentFor = time.Second
	// maxDatagram bounds a datagram in bytes: the counts of a hundred hosts.
	maxDatagram = 8 << 10
	// maxTold is the number of counts in one datagram, which fits into a packet.
	maxTold = 20
)

// owners asks, tells and answers for the hosts that have the newest counts of
// targets. It uses datagrams: a host asks each of the others now and then, and
// a connection to each of them would take more memory than all its counts.
type owners struct {
	self  string
	loads *gateway.TargetLoads
	size  *fleetSize
	view  *recordsync.Board
	now   Clock
	log   *slog.Logger

	asked, unanswered gometrics.Counter
	// borrowed and refused count the requests of targets' rates that other hosts
	// lent or did not lend.
	borrowed, refused gometrics.Counter

	mu      sync.Mutex
	conn    *net.UDPConn
	waiting map[uint64]chan *filbertv1.TargetLoads
	// silent holds when a host last left a question without an answer.
	silent map[string]time.Time
}

func newOwners(
	s *Settings, loads *gateway.TargetLoads, size *fleetSize, view *recordsync.Board, now Clock, log *slog.Logger, reg gometrics.Registry,
) *owners {
	return &owners{
		self: s.Deployment.ListenPeers, loads: loads, size: size, view: view, now: now, log: log,
		waiting: map[uint64]chan *filbertv1.TargetLoads{}, silent: map[string]time.Time{},
		asked: gometrics.GetOrRegisterCounter("owners.asked", reg), unanswered: gometrics.GetOrRegisterCounter("owners.unanswered", reg),
		borrowed: gometrics.GetOrRegisterCounter("rates.borrowed", reg), refused: gometrics.GetOrRegisterCounter("rates.refused", reg),
	}
}

func runOwners(lc fx.Lifecycle, o *owners) {
	o.loads.SetOwnerQuery(o.ask)
	o.loads.SetRateBorrower(o.borrow)
	lc.Append(fx.StartHook(o.listen))
	process.Background(lc, func(ctx context.Context) {
		context.AfterFunc(ctx, func() { _ = o.conn.Close() })
		o.serve(ctx)
	})
	process.Every(lc, tellEvery, o.tellChanges)
}

func (o *owners) listen() error {
	address, err := net.ResolveUDPAddr("udp", o.self)
	if err != nil {
		return failure.Wrap(err, failure.KindSettingInvalid, "address %s is no ip:port", o.self)
	}
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return failure.Wrap(err, failure.KindSettingInvalid, "datagrams at %s can't be listened for", o.self)
	}
	o.conn = conn
	return nil
}

// ask is a gateway.AskOwner.
func (o *owners) ask(target gateway.TargetRef, own []targetload.HostLoad) ([]targetload.HostLoad, bool) {
	owner, known := o.answering(target)
	if !known {
		return nil, false
	}
	if owner == o.self {
		return o.loads.AnswerOwnerQuery(own), true
	}
	answer, ok := o.question(owner, &filbertv1.TargetLoads{Loads: toWire(own, o.now())})
	return fromWire(answer.GetLoads(), o.now()), ok
}

// question sends a question to a host and gives its answer; false when none came.
func (o *owners) question(host string, message *filbertv1.TargetLoads) (*filbertv1.TargetLoads, bool) {
	question, answers := o.open()
	defer o.close(question)
	o.asked.Inc(1)
	message.Question = question
	if !o.send(host, message) {
		return nil, false
	}
	timer := time.NewTimer(ownerLimit)
	defer timer.Stop()
	select {
	case answer := <-answers:
		return answer, true
	case <-timer.C:
		o.unanswered.Inc(1)
		o.setSilent(host)
		return nil, false
	}
}

// borrow is a gateway.BorrowRate. It asks one of the hosts that share the rate,
// drawn at random.
func (o *owners) borrow(target string, holders int) bool {
	hosts := o.size.holders(target, holders)
	if len(hosts) == 0 {
		return false
	}
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	answer, _ := o.question(o.notSilent(hosts), &filbertv1.TargetLoads{Borrow: target})
	if !answer.GetLent() {
		o.refused.Inc(1)
		return false
	}
	o.borrowed.Inc(1)
	return true
}

// tellChanges tells the owners of targets this host's loads that changed.
func (o *owners) tellChanges() {
	if !o.loads.SendsToOwnersOnly() {
		return
	}
	o.tell(o.loads.PendingOwnLoads(), o.dataCentre)
}

// dataCentre gives a target's data centre, nothing when it isn't known.
func (o *owners) dataCentre(target string) string {
	if view := o.view.View.Get(); view != nil {
		if t, known := view.Target(target); known {
			return t.DataCentre
		}
	}
	return ""
}

// answering gives the first of a target's owners that is not silent.
func (o *owners) answering(target gateway.TargetRef) (string, bool) {
	owners := o.size.owners(target)
	if len(owners) == 0 {
		return "", false
	}
	return o.notSilent(owners), true
}

// notSilent gives the first of some hosts that is not silent, or the first.
func (o *owners) notSilent(hosts []string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, host := range hosts {
		if time.Since(o.silent[host]) >= silentFor {
			return host
		}
	}
	return hosts[0]
}

func (o *owners) setSilent(host string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	for h, at := range o.silent {
		if now.Sub(at) >= silentFor {
			delete(o.silent, h)
		}
	}
	o.silent[host] = now
}

// tell tells the owners of targets what this host has running there by now. A
// datagram that is lost leaves them wrong until the load is told again.
func (o *owners) tell(counts []targetload.HostLoad, dataCentre func(target string) string) {
	batches := map[string][]targetload.HostLoad{}
	for _, c := range counts {
		for _, owner := range o.size.owners(gateway.TargetRef{ID: c.Target, DataCentre: dataCentre(c.Target)}) {
			batches[owner] = append(batches[owner], c)
		}
	}
	for owner, batch := range batches {
		if owner == o.self {
			continue
		}
		for part := range slices.Chunk(batch, maxTold) {
			o.send(owner, &filbertv1.TargetLoads{Loads: toWire(part, o.now())})
		}
	}
}

// open draws a question and makes room for its answer.
func (o *owners) open() (uint64, <-chan *filbertv1.TargetLoads) {
	o.mu.Lock()
	defer o.mu.Unlock()
	question, answers := rand.Uint64(), make(chan *filbertv1.TargetLoads, 1)
	o.waiting[question] = answers
	return question, answers
}

func (o *owners) close(question uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.waiting, question)
}

// send sends a message to a host; false when it can't be sent.
func (o *owners) send(host string, message *filbertv1.TargetLoads) bool {
	to, err := netip.ParseAddrPort(host)
	if err != nil {
		o.log.Debug("owner has no address", "owner", host, "error", err)
		return false
	}
	if err := o.sendTo(to, message); err != nil {
		o.log.Debug("datagram not sent", "to", host, "error", err)
		return false
	}
	return true
}

func (o *owners) sendTo(to netip.AddrPort, message *filbertv1.TargetLoads) error {
	bytes, err := proto.Marshal(message)
	if err != nil {
		return err
	}
	_, err = o.conn.WriteToUDPAddrPort(bytes, to)
	return err
}

// serve answers questions and hands out answers until the socket is closed.
func (o *owners) serve(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, from, err := o.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() == nil {
				o.log.Debug("datagram not read", "error", err)
			}
			continue
		}
		var message filbertv1.TargetLoads
		if err := proto.Unmarshal(buffer[:n], &message); err != nil {
			o.log.Debug("datagram can't be read", "from", from, "error", err)
			continue
		}
		o.take(from, &message)
	}
}

func (o *owners) take(from netip.AddrPort, message *filbertv1.TargetLoads) {
	if message.GetAnswer() {
		o.mu.Lock()
		answers := o.waiting[message.GetQuestion()]
		o.mu.Unlock()
		if answers != nil {
			select {
			case answers <- message:
			default:
			}
		}
		return
	}
	counts := fromWire(message.GetLoads(), o.now())
	if message.GetQuestion() == 0 {
		o.loads.MergeLoads("", counts)
		return
	}
	answer := &filbertv1.TargetLoads{Question: message.GetQuestion(), Answer: true}
	if target := message.GetBorrow(); target != "" {
		answer.Lent = o.loads.LendRate(target)
	} else {
		answer.Loads = toWire(o.loads.AnswerOwnerQuery(counts), o.now())
	}
	if err := o.sendTo(from, answer); err != nil {
		o.log.Debug("question not answered", "from", from, "error", err)
	}
}
