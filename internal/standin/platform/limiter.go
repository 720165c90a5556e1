package platform

import "time"

// maxSecondsKept limits the history of per-second call counts.
const maxSecondsKept = 600

// SecondCalls counts the calls of one second, by key prefix.
type SecondCalls struct {
	// Second is a Unix time in seconds.
	Second   int64          `json:"second"`
	ByPrefix map[string]int `json:"by_prefix"`
	Refused  int            `json:"refused"`
}

// CallStats is the response of GET /admin/calls.
type CallStats struct {
	Total    int            `json:"total"`
	Refused  int            `json:"refused"`
	ByPrefix map[string]int `json:"by_prefix"`
	Seconds  []SecondCalls  `json:"seconds"`
}

// limiter counts calls and limits their number in each calendar second. It is
// not safe for concurrent use.
type limiter struct {
	perSecond int
	stats     CallStats
}

// allow counts a call at the time now and reports whether the rate limit allows
// it. Refused calls count towards the limit of their second.
func (l *limiter) allow(now time.Time, prefix string) bool {
	second := l.currentSecond(now.Unix())
	l.stats.Total++
	l.increment(l.stats.ByPrefix, prefix)
	used := 0
	for _, n := range second.ByPrefix {
		used += n
	}
	l.increment(second.ByPrefix, prefix)
	if l.perSecond > 0 && used >= l.perSecond {
		second.Refused++
		l.stats.Refused++
		return false
	}
	return true
}

func (l *limiter) increment(m map[string]int, prefix string) { m[prefix]++ }

func (l *limiter) currentSecond(unix int64) *SecondCalls {
	if l.stats.ByPrefix == nil {
		l.stats.ByPrefix = map[string]int{}
	}
	s := l.stats.Seconds
	if n := len(s); n == 0 || s[n-1].Second != unix {
		s = append(s, SecondCalls{Second: unix, ByPrefix: map[string]int{}})
		l.stats.Seconds = s[max(0, len(s)-maxSecondsKept):]
	}
	return &l.stats.Seconds[len(l.stats.Seconds)-1]
}
