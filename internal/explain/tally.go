package explain

import (
	"cmp"
	"slices"
)

// Count is how many requests ended for one cause.
type Count struct {
	Cause  Cause  `json:"cause"`
	Detail string `json:"detail,omitempty"`
	N      int    `json:"requests"`
}

// Tally counts all requests of the logs by cause, the most frequent first.
// Details that name a single target or error are left out.
func (l *Log) Tally() []Count {
	by := map[Count]int{}
	for id := range l.requests {
		story := l.Explain(id)
		by[Count{Cause: story.Cause, Detail: countedDetail(story)}]++
	}
	out := make([]Count, 0, len(by))
	for c, n := range by {
		c.N = n
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.N, a.N), cmp.Compare(a.Cause, b.Cause), cmp.Compare(a.Detail, b.Detail))
	})
	return out
}

func countedDetail(s Story) string {
	if s.Cause == CauseRefused || s.Cause == CauseCopyTooLate {
		return s.Detail
	}
	return ""
}
