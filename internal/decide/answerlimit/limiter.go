// Package answerlimit bounds the memory of answers that are buffered until they are
// complete, over all answers of a process together.
//
// A faulty target may send bytes without end. A limit for each answer is not enough then:
// a few dozen such answers at once exceed the memory of a small host. When there is no
// memory left for an answer that grows, the largest answer is evicted, which is the most
// likely to have no end; one whose length is not known counts as several times as large.
// Small answers go on. Before it goes the largest complete answer whose caller is slow to read it.
//
// Types in this package are not safe for concurrent use.
package answerlimit

// unknownLengthFactor multiplies the size of an answer whose target did not announce its
// length.
const unknownLengthFactor = 4

// Limiter divides a number of bytes among answers.
type Limiter struct {
	limit, used int
	open        map[*Answer]struct{}
}

// Answer is the memory that one answer holds.
type Answer struct {
	// lengthKnown is set if the target announced the length.
	lengthKnown bool
	bytes       int
	// evict is called once when the answer is evicted; nil if it can't be any more.
	evict   func()
	evicted bool
	// isSlow reports whether the caller is slow to read the answer; nil until it is complete.
	isSlow func() bool
}

// New returns a limiter of a number of bytes.
func New(limit int) *Limiter { return &Limiter{limit: limit, open: map[*Answer]struct{}{}} }

// Open adds an answer that holds nothing yet. evict is called when it must give up.
func (l *Limiter) Open(lengthKnown bool, evict func()) *Answer {
	a := &Answer{lengthKnown: lengthKnown, evict: evict}
	l.open[a] = struct{}{}
	return a
}

// Grow adds bytes to what an answer holds, and evicts others where necessary. It returns false
// if the answer itself has been or must be evicted; it holds nothing then.
func (l *Limiter) Grow(a *Answer, bytes int) bool {
	for !a.evicted && l.used+bytes > l.limit {
		l.evictOne(a, bytes)
	}
	if a.evicted {
		return false
	}
	a.bytes += bytes
	l.used += bytes
	return true
}

// evictOne evicts the answer that is most likely to have no end, were the given one to
// grow by some bytes.
func (l *Limiter) evictOne(growing *Answer, bytes int) {
	worst := l.largestUnread()
	if worst == nil {
		worst = l.largestIncomplete(growing, bytes)
	}
	evict := worst.evict
	l.Close(worst)
	worst.evicted, worst.evict = true, nil
	if worst != growing {
		evict()
	}
}

// largestUnread returns the largest answer whose caller is slow to read it, nil for none.
func (l *Limiter) largestUnread() (worst *Answer) {
	for a := range l.open {
		if a.evict != nil && a.isSlow != nil && (worst == nil || a.bytes > worst.bytes) && a.isSlow() {
			worst = a
		}
	}
	return worst
}

// largestIncomplete returns the incomplete answer with the most weight, were the given one to
// grow by some bytes.
func (l *Limiter) largestIncomplete(growing *Answer, bytes int) *Answer {
	worst, largest := growing, growing.weightOf(growing.bytes+bytes)
	for a := range l.open {
		if w := a.weightOf(a.bytes); a != growing && a.evict != nil && a.isSlow == nil && w > largest {
			worst, largest = a, w
		}
	}
	return worst
}

// weightOf returns the weight of an answer when it is chosen by size.
func (a *Answer) weightOf(bytes int) int {
	if a.lengthKnown {
		return bytes
	}
	return unknownLengthFactor * bytes
}

// Keep records that an answer is complete: it is no longer evicted, and holds its bytes until
// it is closed. It returns false if it has been evicted.
func (l *Limiter) Keep(a *Answer) bool {
	if a.evicted {
		return false
	}
	a.evict = nil
	return true
}

// AllowEviction lets a complete answer be evicted while its caller is slow to read it; evict is
// called once then.
func (l *Limiter) AllowEviction(a *Answer, isSlow func() bool, evict func()) {
	if !a.evicted {
		a.isSlow, a.evict = isSlow, evict
	}
}

// Close releases what an answer holds. Closing it again has no effect.
func (l *Limiter) Close(a *Answer) {
	if _, open := l.open[a]; open {
		delete(l.open, a)
		l.used -= a.bytes
		a.bytes = 0
	}
}

// Used returns the number of bytes that all answers hold.
func (l *Limiter) Used() int { return l.used }
