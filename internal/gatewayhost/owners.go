package gatewayhost

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/fx"
	"google.golang.org/protobuf/proto"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/decide/loadshare"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/gateway"
	"filbertdeck/internal/process"
)

const (
	// ownerLimit bounds the wait for an owner's answer: a round trip between
	// data centres takes three milliseconds, and a generation has seconds.
	ownerLimit = 15 * time.Millisecond
	// maxDatagram bounds a datagram in bytes: the counts of a hundred hosts.
	maxDatagram = 8 << 10
)

// owners asks, and answers for, the hosts that have the newest counts of
// targets. It uses datagrams: a host asks each of the others now and then, and
// a connection to each of them would take more memory than all its counts.
type owners struct {
	self  string
	loads *gateway.Loads
	size  *fleetSize
	log   *slog.Logger

	asked, unanswered gometrics.Counter

	mu      sync.Mutex
	conn    *net.UDPConn
	waiting map[uint64]chan []loadshare.Count
}

func newOwners(s *Settings, loads *gateway.Loads, size *fleetSize, log *slog.Logger, reg gometrics.Registry) *owners {
	return &owners{
		self: s.Deployment.ListenPeers, loads: loads, size: size, log: log, waiting: map[uint64]chan []loadshare.Count{},
		asked: gometrics.GetOrRegisterCounter("owners.asked", reg), unanswered: gometrics.GetOrRegisterCounter("owners.unanswered", reg),
	}
}

func runOwners(lc fx.Lifecycle, o *owners) {
	o.loads.AskOwners(o.ask)
	lc.Append(fx.StartHook(o.listen))
	process.Background(lc, func(ctx context.Context) {
		context.AfterFunc(ctx, func() { _ = o.conn.Close() })
		o.serve(ctx)
	})
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
func (o *owners) ask(target string, own []loadshare.Count) ([]loadshare.Count, bool) {
	owner, known := o.size.owner(target)
	if !known || owner == o.self {
		return nil, known
	}
	address, err := net.ResolveUDPAddr("udp", owner)
	if err != nil {
		o.log.Debug("owner has no address", "owner", owner, "error", err)
		return nil, false
	}
	question, answers := o.open()
	defer o.close(question)
	o.asked.Inc(1)
	if err := o.send(address, &filbertv1.TargetLoads{Question: question, Loads: toWire(own)}); err != nil {
		o.log.Debug("owner not asked", "owner", owner, "error", err)
		return nil, false
	}
	timer := time.NewTimer(ownerLimit)
	defer timer.Stop()
	select {
	case counts := <-answers:
		return counts, true
	case <-timer.C:
		o.unanswered.Inc(1)
		return nil, false
	}
}

// open draws a question and makes room for its answer.
func (o *owners) open() (uint64, <-chan []loadshare.Count) {
	o.mu.Lock()
	defer o.mu.Unlock()
	question, answers := rand.Uint64(), make(chan []loadshare.Count, 1)
	o.waiting[question] = answers
	return question, answers
}

func (o *owners) close(question uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.waiting, question)
}

func (o *owners) send(to *net.UDPAddr, message *filbertv1.TargetLoads) error {
	bytes, err := proto.Marshal(message)
	if err != nil {
		return err
	}
	_, err = o.conn.WriteToUDP(bytes, to)
	return err
}

// serve answers questions and hands out answers until the socket is closed.
func (o *owners) serve(ctx context.Context) {
	buffer := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, from, err := o.conn.ReadFromUDP(buffer)
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

func (o *owners) take(from *net.UDPAddr, message *filbertv1.TargetLoads) {
	counts := fromWire(message.GetLoads())
	if message.GetAnswer() {
		o.mu.Lock()
		answers := o.waiting[message.GetQuestion()]
		o.mu.Unlock()
		if answers != nil {
			select {
			case answers <- counts:
			default:
			}
		}
		return
	}
	answer := &filbertv1.TargetLoads{Question: message.GetQuestion(), Answer: true, Loads: toWire(o.loads.Answer(counts))}
	if err := o.send(from, answer); err != nil {
		o.log.Debug("question not answered", "from", from, "error", err)
	}
}
