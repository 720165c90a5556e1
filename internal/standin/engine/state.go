package engine

import (
	"net/http"
	"strconv"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/standin/model"
	"filbertdeck/internal/standin/web"
)

// Load is the engine's lagging load report.
type Load struct {
	Incarnation  uint64 `json:"incarnation"`
	AgeMS        int64  `json:"age_ms"`
	MemoryTokens int    `json:"memory_tokens"`
	UsedTokens   int    `json:"used_tokens"`
	Running      int    `json:"running"`
	Waiting      int    `json:"waiting"`
	Preemptions  uint64 `json:"preemptions"`
	Bears        int    `json:"bears"`
	StepUS       int64  `json:"step_us"`
	Stopping     bool   `json:"stopping"`
}

func (s *Server) getLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	r := s.model.Report(s.now())
	s.mu.Unlock()
	web.WriteJSON(w, http.StatusOK, Load{
		Incarnation: r.Incarnation, AgeMS: r.Age.Milliseconds(), MemoryTokens: r.MemoryTokens,
		UsedTokens: r.UsedTokens, Running: r.Running, Waiting: r.Waiting, Preemptions: r.Preemptions,
		Bears: r.Bears, StepUS: r.StepTime.Microseconds(), Stopping: r.Stopping,
	})
}

// CacheEvents is the news of the prefix cache; hashes are decimal strings.
type CacheEvents struct {
	Sequence uint64   `json:"sequence"`
	Gap      bool     `json:"gap"`
	Cached   []string `json:"cached"`
	Evicted  []string `json:"evicted"`
}

func (s *Server) getCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	s.mu.Lock()
	n := s.model.CacheEvents(s.now(), after)
	s.mu.Unlock()
	web.WriteJSON(w, http.StatusOK, CacheEvents{
		Sequence: n.Sequence, Gap: n.Gap, Cached: decimals(n.Cached), Evicted: decimals(n.Evicted),
	})
}

func decimals(hashes []uint64) []string {
	out := make([]string, len(hashes))
	for i, h := range hashes {
		out[i] = strconv.FormatUint(h, 10)
	}
	return out
}

func (s *Server) getRecords(w http.ResponseWriter, _ *http.Request) {
	web.WriteJSON(w, http.StatusOK, s.Records())
}

// Stats gives the model's counters since the process started.
func (s *Server) Stats() model.Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model.Stats()
}

func (s *Server) getStats(w http.ResponseWriter, _ *http.Request) {
	web.WriteJSON(w, http.StatusOK, s.Stats())
}

// Order tells an engine to load something or to change its role.
type Order struct {
	Kind  string `json:"kind"`
	Name  string `json:"name"`
	Fence uint64 `json:"fence"`
}

func (s *Server) postOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if !web.ReadJSON(w, r, &order) {
		return
	}
	if err := s.Order(order); err != nil {
		refuseFenced(w, err)
		return
	}
	web.WriteJSON(w, http.StatusOK, order)
}

// Order carries an order out. It fails with KindBadRequest for an unknown kind
// and, when the engine checks fences, with KindFenced for an old number.
func (s *Server) Order(order Order) error {
	switch order.Kind {
	case "load_model", "load_adapter", "set_role":
	default:
		return failure.New(failure.KindBadRequest, "kind: %q is none of load_model, load_adapter, set_role", order.Kind)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkFence(order.Fence); err != nil {
		return err
	}
	s.orders = append(s.orders, order)
	return nil
}

// Orders lists the orders carried out.
func (s *Server) Orders() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Order{}, s.orders...)
}

func (s *Server) getOrders(w http.ResponseWriter, _ *http.Request) {
	web.WriteJSON(w, http.StatusOK, s.Orders())
}

// passFence checks the header of a request, if it has one; the lock is held.
func (s *Server) passFence(text string) error {
	if text == "" {
		return nil
	}
	fence, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return failure.Wrap(err, failure.KindBadRequest, "%s: %q is not a number", HeaderFence, text)
	}
	return s.checkFence(fence)
}

// checkFence refuses a number older than the newest one seen: its sender was
// replaced and may be acting on a world that has moved on. An engine that does
// not check takes every number.
func (s *Server) checkFence(fence uint64) error {
	if s.cfg.CheckFence && fence < s.fence {
		return failure.New(failure.KindFenced, "fencing number %d is older than %d", fence, s.fence)
	}
	s.fence = max(s.fence, fence)
	return nil
}

// refuseFenced answers 412 to an old fencing number, as the protocol says.
func refuseFenced(w http.ResponseWriter, err error) {
	if failure.KindOf(err) != failure.KindFenced {
		refuse(w, err)
		return
	}
	w.Header().Set(HeaderExecuted, string(failure.ExecutedNo))
	web.WriteJSON(w, http.StatusPreconditionFailed, failure.FromError(err).Problem())
}
