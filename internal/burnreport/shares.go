package burnreport

import (
	"sort"

	"filbertdeck/internal/adminapi"
)

// Share is what one account received against its weight.
type Share struct {
	Account string  `json:"account"`
	Weight  float64 `json:"weight"`
	Tokens  uint64  `json:"tokens"`
	Calls   uint64  `json:"calls"`
	// Refused is the part of its requests that were refused.
	Refused float64 `json:"refused_part"`
	// PerWeight is tokens divided by weight, relative to the largest account's.
	PerWeight float64 `json:"per_weight"`
	// WaitMS is the mean wait for admission, in milliseconds.
	WaitMS float64 `json:"wait_ms"`
}

// shares compares accounts over all services. Service per weight is only fair
// to compare between accounts that always had requests waiting; an account
// that asks for little gets little. The mean waits beside it tell the two
// apart.
func shares(p point, weights map[string]float64) []Share {
	byAccount := map[string]*Share{}
	waits, received, refused := map[string]uint64{}, map[string]uint64{}, map[string]uint64{}
	for k, row := range p.rows {
		if _, known := weights[k.account]; !known {
			continue
		}
		s := byAccount[k.account]
		if s == nil {
			s = &Share{Account: k.account, Weight: weights[k.account]}
			byAccount[k.account] = s
		}
		s.Tokens += row.Tokens
		s.Calls += row.Ran
		waits[k.account] += row.WaitMS
		received[k.account] += row.Received
		refused[k.account] += row.Refused
	}
	var out []Share
	var most float64
	for name, s := range byAccount {
		if s.Weight > 0 {
			most = max(most, float64(s.Tokens)/s.Weight)
		}
		if s.Calls > 0 {
			s.WaitMS = float64(waits[name]) / float64(s.Calls)
		}
		if received[name] > 0 {
			s.Refused = float64(refused[name]) / float64(received[name])
		}
		out = append(out, *s)
	}
	for i := range out {
		if most > 0 && out[i].Weight > 0 {
			out[i].PerWeight = float64(out[i].Tokens) / out[i].Weight / most
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Account < out[j].Account })
	return out
}

// weightsOf takes the weights from the last sample that has them.
func weightsOf(s Sample) map[string]float64 {
	weights := map[string]float64{}
	for _, h := range s.Hosts {
		if h.Accounts == nil {
			continue
		}
		for _, a := range h.Accounts.Accounts {
			weights[a.Name] = a.Weight
		}
	}
	return weights
}

// sumRows adds all rows of a point up.
func sumRows(p point) adminapi.AccountingRow {
	var total adminapi.AccountingRow
	for _, row := range p.rows {
		total = add(total, row)
	}
	return total
}
