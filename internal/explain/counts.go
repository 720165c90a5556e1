package explain

import (
	"cmp"
	"slices"
)

// CauseCount is the number of requests that ended for one cause.
type CauseCount struct {
	Cause    Cause  `json:"cause"`
	Detail   string `json:"detail,omitempty"`
	Requests int    `json:"requests"`
}

// CountByCause counts all requests of the logs by cause, the most frequent
// first. Details that identify a single target or error are omitted.
func (l *Log) CountByCause() []CauseCount {
	requestsByCount := map[CauseCount]int{}
	for id := range l.requestLines {
		explanation := l.Explain(id)
		requestsByCount[CauseCount{Cause: explanation.Cause, Detail: groupDetail(explanation)}]++
	}
	counts := make([]CauseCount, 0, len(requestsByCount))
	for c, n := range requestsByCount {
		c.Requests = n
		counts = append(counts, c)
	}
	slices.SortFunc(counts, func(a, b CauseCount) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Cause, b.Cause), cmp.Compare(a.Detail, b.Detail))
	})
	return counts
}

func groupDetail(explanation Explanation) string {
	if explanation.Cause == CauseRefused || explanation.Cause == CauseCopyTooLate {
		return explanation.Detail
	}
	return ""
}
