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

// loadServers answer the reading of a target's load, and of its cache events.
type loadServers struct {
	wire      wire
	polls     atomic.Int64
	targets   []configservice.Target
	listeners []net.Listener
	server    *http.Server
}

// loadReport is a busy engine's report as docs/protocols.md has it.
const loadReport = `{"incarnation":1800000000000,"age_ms":250,"memory_tokens":4000000,"used_tokens":3600000,"running":220,"waiting":0,` +
	`"preemptions":12,"bears":256,"step_us":48000,"stopping":false}`

// cacheReport has eight blocks cached and eight evicted.
var cacheReport = `{"sequence":123456,"gap":false,"cached":[` + hashes() + `],"evicted":[` + hashes() + `]}`

func hashes() string { return strings.TrimSuffix(strings.Repeat(`"12345678901234567890",`, 8), ",") }

func serveLoads(count int) (*loadServers, error) {
	s := &loadServers{}
	s.server = &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(s.answer)}
	for range count {
		l, err := s.wire.listen()
		if err != nil {
			s.close()
			return nil, failure.Wrap(err, failure.KindInternal, "no free port")
		}
		s.listeners = append(s.listeners, l)
		s.targets = append(s.targets, configservice.Target{
			Service: service, Address: l.Addr().String(), DataCentre: centre(0), State: configservice.StateLive,
		})
		go func() { _ = s.server.Serve(l) }()
	}
	return s, nil
}

func (s *loadServers) answer(w http.ResponseWriter, req *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if req.URL.Path != "/v1/load" {
		_, _ = w.Write([]byte(cacheReport))
		return
	}
	s.polls.Add(1)
	_, _ = w.Write([]byte(loadReport))
}

func (s *loadServers) close() {
	for _, l := range s.listeners {
		_ = l.Close()
	}
	_ = s.server.Close()
}
