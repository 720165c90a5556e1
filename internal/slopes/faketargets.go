package slopes

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"filbertdeck/internal/configservice"
	"filbertdeck/internal/failure"
)

// fakeTargets serves load reports and cache events in place of targets, on one
// port for each.
type fakeTargets struct {
	traffic   trafficCounter
	polls     atomic.Int64
	targets   []configservice.Target
	listeners []net.Listener
	server    *http.Server
}

// loadReport is the load report of a busy engine as specified in
// docs/protocols.md.
const loadReport = `{"incarnation":1800000000000,"age_ms":250,"memory_tokens":4000000,"used_tokens":3600000,"running":220,"waiting":0,` +
	`"preemptions":12,"bears":256,"step_us":48000,"stopping":false}`

// cacheEvents reports eight cached and eight evicted blocks.
var cacheEvents = `{"sequence":123456,"gap":false,"cached":[` + blockHashes() + `],"evicted":[` + blockHashes() + `]}`

func blockHashes() string {
	return strings.TrimSuffix(strings.Repeat(`"12345678901234567890",`, 8), ",")
}

func startFakeTargets(count int) (*fakeTargets, error) {
	s := &fakeTargets{}
	s.server = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(s.handle)}
	for range count {
		listener, err := s.traffic.listen()
		if err != nil {
			s.close()
			return nil, failure.Wrap(err, failure.KindInternal, "can't listen on a free port")
		}
		s.listeners = append(s.listeners, listener)
		s.targets = append(s.targets, configservice.Target{
			Service: serviceName, Address: listener.Addr().String(), DataCentre: dataCentreName(0), State: configservice.StateLive,
		})
		go func() { _ = s.server.Serve(listener) }()
	}
	return s, nil
}

func (s *fakeTargets) handle(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if req.URL.Path != "/v1/load" {
		_, _ = w.Write([]byte(cacheEvents))
		return
	}
	s.polls.Add(1)
	_, _ = w.Write([]byte(loadReport))
}

func (s *fakeTargets) close() {
	for _, listener := range s.listeners {
		_ = listener.Close()
	}
	_ = s.server.Close()
}
