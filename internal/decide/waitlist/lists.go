package waitlist

import "time"

const (
	// maxLists bounds the lists of a host. A host holds a few, since the lists of all
	// services are spread over the hosts. A full list takes some 6 MB.
	maxLists = 32
	// listRetention is how long a list without reports is kept. The admitted tokens of the
	// accounts are kept with it.
	listRetention = time.Minute
)

// Lists holds the lists of which a host is the holder. Their number is bounded, since other
// hosts cause them. It is not safe for concurrent use.
type Lists struct{ byKey map[Key]*List }

// NewLists returns an empty set of lists.
func NewLists() *Lists { return &Lists{byKey: map[Key]*List{}} }

// Report records a report on a list, which is created if create is set and there are not too
// many. False if there is no list.
func (l *Lists) Report(now time.Duration, key Key, e Entry, create bool) (Answer, bool) {
	list, found := l.byKey[key]
	if !found {
		if !create || len(l.byKey) >= maxLists {
			return Answer{}, false
		}
		list = New()
		l.byKey[key] = list
	}
	return list.Report(now, e), true
}

// Done records that a generation waits no longer. It creates no list: where nothing was
// reported, nobody waits whose order or expected wait depends on the placement.
func (l *Lists) Done(now time.Duration, key Key, e Entry, placed bool) {
	if list, found := l.byKey[key]; found {
		list.Done(now, e, placed)
	}
}

// Waiting returns the most urgent priority that waits on each list, and drops the lists that
// are no longer used.
func (l *Lists) Waiting(now time.Duration) map[Key]int {
	classes := map[Key]int{}
	for key, list := range l.byKey {
		if priority, waits := list.MostUrgent(now); waits {
			classes[key] = priority
		} else if now-list.UsedAt() > listRetention {
			delete(l.byKey, key)
		}
	}
	return classes
}

// Len returns the number of lists.
func (l *Lists) Len() int { return len(l.byKey) }

// EntryCount returns the number of entries of a list.
func (l *Lists) EntryCount(key Key) int {
	if list, found := l.byKey[key]; found {
		return list.Len()
	}
	return 0
}
