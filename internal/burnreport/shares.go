package burnreport

import (
	"sort"

	"filbertdeck/internal/adminapi"
)

// Share compares the service that an account received with its weight.
type Share struct {
	Account string  `json:"account"`
	Weight  float64 `json:"weight"`
	Tokens  uint64  `json:"tokens"`
	Calls   uint64  `json:"calls"`
	// RefusedFraction is the fraction of the account's requests that were refused.
	RefusedFraction float64 `json:"refused_part"`
	// PerWeight is tokens divided by weight, relative to the account with the
	// highest value.
	PerWeight float64 `json:"per_weight"`
	// WaitMS is the mean wait for admission per call, in milliseconds.
	WaitMS float64 `json:"wait_ms"`
}

// accountShares compares accounts over all services. Service per weight is only
// comparable between accounts that always had requests waiting, because an
// account that sends few requests also receives few tokens. The mean wait shows
// which of the two cases applies.
func accountShares(s snapshot, weights map[string]float64) []Share {
	byAccount := map[string]*Share{}
	waitMS, received, refused := map[string]uint64{}, map[string]uint64{}, map[string]uint64{}
	for key, row := range s.rows {
		if _, known := weights[key.account]; !known {
			continue
		}
		share := byAccount[key.account]
		if share == nil {
			share = &Share{Account: key.account, Weight: weights[key.account]}
			byAccount[key.account] = share
		}
		share.Tokens += row.Tokens
		share.Calls += row.Ran
		waitMS[key.account] += row.WaitMS
		received[key.account] += row.Received
		refused[key.account] += row.Refused
	}
	var out []Share
	var maxPerWeight float64
	for name, share := range byAccount {
		if share.Weight > 0 {
			maxPerWeight = max(maxPerWeight, float64(share.Tokens)/share.Weight)
		}
		if share.Calls > 0 {
			share.WaitMS = float64(waitMS[name]) / float64(share.Calls)
		}
		if received[name] > 0 {
			share.RefusedFraction = float64(refused[name]) / float64(received[name])
		}
		out = append(out, *share)
	}
	for i := range out {
		if maxPerWeight > 0 && out[i].Weight > 0 {
			out[i].PerWeight = float64(out[i].Tokens) / out[i].Weight / maxPerWeight
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Account < out[j].Account })
	return out
}

// accountWeights returns the account weights of a sample. If hosts disagree, the
// last host in the sample takes precedence.
func accountWeights(s Sample) map[string]float64 {
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

// totalRow sums all rows of a snapshot.
func totalRow(s snapshot) adminapi.AccountingRow {
	var total adminapi.AccountingRow
	for _, row := range s.rows {
		total = addRows(total, row)
	}
	return total
}
