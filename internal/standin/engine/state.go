package engine

import (
	"net/http"
	"strconv"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/standin/model"
	"filbertdeck/internal/standin/web"
)

// Load is the engine's delayed load report.
type Load struct {
	Incarnation  uint64 `json:"incarnation"`
	AgeMS        int64  `json:"age_ms"`
	MemoryTokens int    `json:"memory_tokens"`
	UsedTokens   int    `json:"used_tokens"`
	Running      int    `json:"running"`
	Waiting      int    `json:"waiting"`
	Preemptions  uint64 `json:"preemptions"`
	Capacity     int    `json:"bears"`
	StepUS       int64  `json:"step_us"`
	Stopping     bool   `json:"stopping"`
}

func (s *Server) getLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	r := s.model.Report(s.modelTime())
	s.mu.Unlock()
	web.WriteJSON(w, http.StatusOK, Load{
		Incarnation: r.Incarnation, AgeMS: r.Age.Milliseconds(), MemoryTokens: r.MemoryTokens,
		UsedTokens: r.UsedTokens, Running: r.Running, Waiting: r.Waiting, Preemptions: r.Preemptions,
		Capacity: r.Bears, StepUS: r.StepTime.Microseconds(), Stopping: r.Stopping,
	})
}

// CacheEvents lists the changes of the prefix cache; hashes are decimal strings.
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
	changes := s.model.CacheEvents(s.modelTime(), after)
	s.mu.Unlock()
	web.WriteJSON(w, http.StatusOK, CacheEvents{
		Sequence: changes.Sequence, Gap: changes.Gap, Cached: formatHashes(changes.Cached), Evicted: formatHashes(changes.Evicted),
	})
}

func formatHashes(hashes []uint64) []string {
	out := make([]string, len(hashes))
	for i, h := range hashes {
		out[i] = strconv.FormatUint(h, 10)
	}
	return out
}

func (s *Server) getRecords(w http.ResponseWriter, _ *http.Request) {
	web.WriteJSON(w, http.StatusOK, s.Records())
}

// Stats returns the model's counters since NewServer.
func (s *Server) Stats() model.Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model.Stats()
}

func (s *Server) getStats(w http.ResponseWriter, _ *http.Request) {
	web.WriteJSON(w, http.StatusOK, s.Stats())
}

// Order is an instruction to load a model or an adapter, or to change the
// engine's role.
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
		writeFenceRefusal(w, err)
		return
	}
	web.WriteJSON(w, http.StatusOK, order)
}

// Order executes an order. It fails with KindBadRequest for an unknown kind and,
// if Config.CheckFence is set, with KindFenced for an old fencing token.
func (s *Server) Order(order Order) error {
	switch order.Kind {
	case "load_model", "load_adapter", "set_role":
	default:
		return failure.New(failure.KindBadRequest, "kind: %q is not one of load_model, load_adapter, set_role", order.Kind)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkFence(order.Fence); err != nil {
		return err
	}
	s.orders = append(s.orders, order)
	return nil
}

// Orders returns the executed orders.
func (s *Server) Orders() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Order{}, s.orders...)
}

func (s *Server) getOrders(w http.ResponseWriter, _ *http.Request) {
	web.WriteJSON(w, http.StatusOK, s.Orders())
}

// checkFenceHeader checks the fencing token in a request's header, if there is
// one; the caller holds the lock.
func (s *Server) checkFenceHeader(text string) error {
	if text == "" {
		return nil
	}
	fence, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return failure.Wrap(err, failure.KindBadRequest, "%s: %q is not a number", HeaderFence, text)
	}
	return s.checkFence(fence)
}

// checkFence refuses a fencing token that is lower than the highest one seen: its
// sender was replaced and may act on outdated state. If Config.CheckFence is not
// set, it accepts every token.
func (s *Server) checkFence(fence uint64) error {
	if s.cfg.CheckFence && fence < s.newestFence {
		return failure.New(failure.KindFenced, "fencing token %d is older than %d", fence, s.newestFence)
	}
	s.newestFence = max(s.newestFence, fence)
	return nil
}

// writeFenceRefusal responds with status 412 if err is due to an old fencing
// token, as the protocol specifies.
func writeFenceRefusal(w http.ResponseWriter, err error) {
	if failure.KindOf(err) != failure.KindFenced {
		writeRefusal(w, err)
		return
	}
	w.Header().Set(HeaderExecuted, string(failure.ExecutedNo))
	web.WriteJSON(w, http.StatusPreconditionFailed, failure.FromError(err).Problem())
}
