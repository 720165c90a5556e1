package platform

import "time"

// secondsKept bounds the history of calls by second.
const secondsKept = 600

// SecondCount counts the calls of one second, by prefix.
type SecondCount struct {
	// Second is in Unix time.
	Second   int64          `json:"second"`
	ByPrefix map[string]int `json:"by_prefix"`
	Refused  int            `json:"refused"`
}

// Calls is what GET /admin/calls shows.
type Calls struct {
	Total    int            `json:"total"`
	Refused  int            `json:"refused"`
	ByPrefix map[string]int `json:"by_prefix"`
	Seconds  []SecondCount  `json:"seconds"`
}

// limiter counts calls and holds them to a rate, one second at a time. It is
// not safe for concurrent use.
type limiter struct {
	perSecond int
	calls     Calls
}

// take counts a call at now and tells whether the rate allows it.
func (l *limiter) take(now time.Time, prefix string) bool {
	second := l.second(now.Unix())
	l.calls.Total++
	l.count(l.calls.ByPrefix, prefix)
	used := 0
	for _, n := range second.ByPrefix {
		used += n
	}
	l.count(second.ByPrefix, prefix)
	if l.perSecond > 0 && used >= l.perSecond {
		second.Refused++
		l.calls.Refused++
		return false
	}
	return true
}

func (l *limiter) count(m map[string]int, prefix string) { m[prefix]++ }

func (l *limiter) second(unix int64) *SecondCount {
	if l.calls.ByPrefix == nil {
		l.calls.ByPrefix = map[string]int{}
	}
	s := l.calls.Seconds
	if n := len(s); n == 0 || s[n-1].Second != unix {
		s = append(s, SecondCount{Second: unix, ByPrefix: map[string]int{}})
		l.calls.Seconds = s[max(0, len(s)-secondsKept):]
	}
	return &l.calls.Seconds[len(l.calls.Seconds)-1]
}
