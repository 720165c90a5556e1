package state

import (
	"encoding/json"
	"net/http"
	"sort"
)

// Summary is an entry's view as shown to operators.
type Summary struct {
	TableRevision uint64             `json:"table_revision"`
	HostsRevision uint64             `json:"hosts_revision"`
	Weights       map[string]float64 `json:"weights"`
	Drained       []string           `json:"drained"`
	// Pools lists the pools that accept new work.
	Pools []string `json:"pools"`
}

// Summary returns the entry's current view; parts that are not known yet are
// empty.
func (b *Board) Summary() Summary {
	s := Summary{Weights: map[string]float64{}}
	if t := b.Table.Get(); t != nil {
		s.TableRevision = t.Revision
		for name, a := range t.Accounts {
			s.Weights[name] = a.Weight
		}
		for name := range t.Drained {
			s.Drained = append(s.Drained, name)
		}
	}
	if h := b.Hosts.Get(); h != nil {
		s.HostsRevision = h.Revision
	}
	if p := b.Pools.Get(); p != nil {
		for name, pool := range p.ByName {
			if !pool.Drained {
				s.Pools = append(s.Pools, name)
			}
		}
	}
	sort.Strings(s.Drained)
	sort.Strings(s.Pools)
	return s
}

// ServeSummary writes the entry's view as JSON.
func (b *Board) ServeSummary(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(b.Summary())
}
