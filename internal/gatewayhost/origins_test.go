package gatewayhost

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/decide/membership"
	"filbertdeck/internal/decide/streamorigin"
)

// fakeKeeper keeps origins, and says the same of every service.
type fakeKeeper struct {
	mu       sync.Mutex
	registry *streamorigin.Registry
	says     streamorigin.Answer
}

func (k *fakeKeeper) RecordOrigins(records []streamorigin.Record) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range records {
		k.registry.Add(0, r)
	}
}

func (k *fakeKeeper) AnswerOrigin(q streamorigin.Question) streamorigin.Answer {
	k.mu.Lock()
	defer k.mu.Unlock()
	a := k.says
	a.Origin, a.Conflict = k.registry.Find(0, q.Key)
	return a
}

func (k *fakeKeeper) len() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.registry.Len()
}

// originHost is a host that tells and asks for origins, and keeps those of others.
type originHost struct {
	*originPeers
	keeper *fakeKeeper
}

// stop has the host answer nothing from now on.
func (h *originHost) stop() { _ = h.exchange.conn.Close() }

func startOriginHosts(t *testing.T, count int) []*originHost {
	t.Helper()
	addresses := make([]string, count)
	for i := range addresses {
		addresses[i] = freeUDPAddress(t)
	}
	hosts := make([]*originHost, count)
	for i, address := range addresses {
		o, _ := startOwnerExchange(t, address, addresses)
		keeper := &fakeKeeper{registry: streamorigin.NewRegistry(), says: streamorigin.Answer{Versions: streamorigin.One, Version: "v1"}}
		o.origins = keeper
		hosts[i] = &originHost{newOriginPeers(&Settings{}, o, o.fleet, gometrics.NewRegistry()), keeper}
	}
	return hosts
}

func testRecord(id string) streamorigin.Record {
	return streamorigin.Record{Key: streamorigin.KeyOf("clinic", id), Origin: streamorigin.Origin{Service: "llm", Version: "v2"}, Lifetime: 80 * time.Second}
}

// keepers returns the hosts that hold records.
func keepers(hosts []*originHost) (out []*originHost) {
	for _, h := range hosts {
		if h.keeper.len() > 0 {
			out = append(out, h)
		}
	}
	return out
}

// Guards against an origin that is lost with one host, or that the host at which a stream
// is taken up does not find.
func TestOriginIsFoundAfterTheLossOfHosts(t *testing.T) {
	hosts := startOriginHosts(t, 8)
	r := testRecord("r-1")
	hosts[0].Tell([]streamorigin.Record{r})
	var kept []*originHost
	for range 200 {
		if kept = keepers(hosts[1:]); len(kept) >= originKeepers-1 {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	if len(kept) < originKeepers-1 {
		t.Fatalf("%d other hosts keep the origin, want %d at least", len(kept), originKeepers-1)
	}
	hosts[0].stop()
	kept[0].stop()
	for i, h := range hosts[1:] {
		if h == kept[0] || h.keeper.len() > 0 {
			continue
		}
		origin, basis := streamorigin.Resolve(streamorigin.Question{Service: "llm"}, h.Ask(context.Background(), streamorigin.Question{Key: r.Key, Service: "llm"}))
		if origin == nil || *origin != r.Origin {
			t.Errorf("host %d found %v (%s), want %v", i+1, origin, basis, r.Origin)
		}
	}
}

// Guards against a question that waits for hosts which are gone, and against an answer
// made up for a host that is partitioned from all others.
func TestPartitionedHostGetsNoAnswerInTime(t *testing.T) {
	hosts := startOriginHosts(t, 4)
	for _, h := range hosts[1:] {
		h.stop()
	}
	start := time.Now()
	answers := hosts[0].Ask(context.Background(), streamorigin.Question{Key: testRecord("r-1").Key, Service: "llm"})
	if len(answers) > 0 {
		t.Errorf("%d answers from hosts that are gone", len(answers))
	}
	t.Logf("took %s", time.Since(start))
	if got := hosts[0].unanswered.Count(); got == 0 {
		t.Error("no question was counted as unanswered")
	}
}

// Guards against a record that is lost or takes another's place because a datagram is not
// valid.
func TestInvalidOriginsAreIgnored(t *testing.T) {
	valid := encodeOrigin(testRecord("r-1"))
	for name, change := range map[string]func(*filbertv1.StreamOrigin){
		"short key":    func(m *filbertv1.StreamOrigin) { m.Key = m.Key[:15] },
		"long key":     func(m *filbertv1.StreamOrigin) { m.Key = append(m.Key, 0) },
		"no service":   func(m *filbertv1.StreamOrigin) { m.Service = "" },
		"long version": func(m *filbertv1.StreamOrigin) { m.Version = fmt.Sprintf("%0300d", 1) },
	} {
		invalid := proto.Clone(valid).(*filbertv1.StreamOrigin)
		change(invalid)
		got := decodeOrigins([]*filbertv1.StreamOrigin{invalid, valid, nil})
		if len(got) != 1 || got[0] != testRecord("r-1") {
			t.Errorf("%s: decoded %v", name, got)
		}
	}
	if _, ok := decodeQuestion(&filbertv1.OriginQuestion{Key: []byte("short")}); ok {
		t.Error("a question with a short key was taken")
	}
}

// Guards against messages about origins that lose what they say on the wire.
func TestOriginAnswersSurviveTheWire(t *testing.T) {
	origin := testRecord("r-1").Origin
	for _, want := range []streamorigin.Answer{
		{}, {Origin: &origin}, {Conflict: true}, {Versions: streamorigin.One, Version: "v1"}, {Origin: &origin, Versions: streamorigin.Several},
	} {
		got := decodeOriginAnswer(encodeOriginAnswer(want))
		if (got.Origin == nil) != (want.Origin == nil) || got.Origin != nil && *got.Origin != *want.Origin {
			t.Errorf("origin %v, want %v", got.Origin, want.Origin)
		}
		got.Origin, want.Origin = nil, nil
		if got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
	q := streamorigin.Question{Key: testRecord("r-1").Key, Service: "llm", Window: 80 * time.Second}
	if got, ok := decodeQuestion(encodeQuestion(q)); !ok || got != q {
		t.Errorf("got %+v, want %+v", got, q)
	}
}

// Guards against a cost for each stream, or each question, that grows with the fleet.
func TestOriginsCostTheSameInEveryFleet(t *testing.T) {
	const maxBytes = 128
	for _, count := range []int{8, 300, 3300} {
		members := make([]membership.Member, count)
		for i := range members {
			members[i] = membership.Member{Address: fmt.Sprintf("10.%d.%d.1:8748", i/200, i%200), DataCentre: "a"}
		}
		fleet := newTestFleetView(t, members[0].Address, members...)
		p := &originPeers{fleet: fleet, region: []string{"a"}}
		if asked := len(p.keepersToAsk(testRecord("r-1").Key)); asked > originsAsked {
			t.Errorf("%d hosts: %d are asked, want %d at most", count, asked, originsAsked)
		}
		message, err := proto.Marshal(&filbertv1.TargetLoads{Origins: []*filbertv1.StreamOrigin{encodeOrigin(testRecord("r-1"))}})
		if err != nil {
			t.Fatal(err)
		}
		if len(message) > maxBytes {
			t.Errorf("a record takes %d bytes, want %d at most", len(message), maxBytes)
		}
		t.Logf("%d hosts: %d bytes a record", count, len(message))
	}
}

// BenchmarkKeepers measures the choice of the hosts that keep an origin.
func BenchmarkKeepers(b *testing.B) {
	hosts := make([]string, 3300)
	for i := range hosts {
		hosts[i] = fmt.Sprintf("10.%d.%d.1:8748", i/200, i%200)
	}
	for b.Loop() {
		membership.TopRanked(rankKey(testRecord("r-1").Key), hosts, originKeepers)
	}
}
