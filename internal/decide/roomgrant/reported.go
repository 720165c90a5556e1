package roomgrant

import (
	"slices"
	"time"

	"filbertdeck/internal/decide/targetload"
)

// Reported holds the room at engines that their owners reported as granted to other
// hosts. It counts as load until the counts of those hosts include it, until an owner no
// longer reports it or until the grants expire. Kept as part of the hosts' counts it
// would last for as long as these.
type Reported struct {
	engines map[string][]reportedRoom
}

// reportedRoom is the room of one host at an engine.
type reportedRoom struct {
	host string
	// version is that of the host's count which includes the room.
	version uint64
	load    targetload.Load
	// receivedAt is the time of the answer, until that at which the grants have expired.
	receivedAt, until time.Duration
}

// NewReported returns an empty Reported.
func NewReported() *Reported { return &Reported{engines: map[string][]reportedRoom{}} }

// Replace replaces what is known of an engine by the owner's answer to a question that the
// host self sent at the time asked. It returns the hosts' counts of the answer without
// granted room.
func (r *Reported) Replace(asked, now time.Duration, self, engine string, answer []targetload.HostLoad) []targetload.HostLoad {
	known := r.engines[engine]
	if len(known) == 0 && !slices.ContainsFunc(answer, func(c targetload.HostLoad) bool { return c.Granted != nil }) {
		return answer
	}
	var rooms []reportedRoom
	counts := make([]targetload.HostLoad, 0, len(answer))
	for _, c := range answer {
		if g := c.Granted; g != nil && c.Host != self {
			rooms = append(rooms, reportedRoom{c.Host, c.Version, g.Load, now, now + min(g.Lifetime, GrantLifetime)})
		}
		if count, hasCount := withoutGranted(c); hasCount {
			counts = append(counts, count)
		}
	}
	for _, x := range known {
		if x.outlasts(asked, answer) {
			rooms = append(slices.DeleteFunc(rooms, func(other reportedRoom) bool { return other.host == x.host }), x)
		}
	}
	r.set(engine, rooms)
	return counts
}

// outlasts reports whether the room still counts after an answer: the answer is older than
// the one that reported it, or may be. A grant ends at the owner with a newer count or when
// it expires, and a host that is missing has ended its generations.
func (x reportedRoom) outlasts(asked time.Duration, answer []targetload.HostLoad) bool {
	i := slices.IndexFunc(answer, func(c targetload.HostLoad) bool { return c.Host == x.host })
	if i < 0 {
		return x.receivedAt > asked
	}
	return answer[i].Version < x.version
}

// withoutGranted returns a host's own count; false if the owner has none and only granted
// it room.
func withoutGranted(c targetload.HostLoad) (targetload.HostLoad, bool) {
	g := c.Granted
	if g == nil {
		return c, true
	}
	c.Load, c.Version, c.Granted = c.Sub(g.Load), g.Version, nil
	return c, c.Version > 0
}

// Confirm drops the room of a host whose count of an engine in the given version includes
// it.
func (r *Reported) Confirm(host, engine string, version uint64) {
	r.drop(engine, func(x reportedRoom) bool { return x.host == host && x.version <= version })
}

// Outstanding returns the load of the room at an engine.
func (r *Reported) Outstanding(now time.Duration, engine string) (sum targetload.Load) {
	for _, x := range r.engines[engine] {
		if now < x.until {
			sum = sum.Add(x.load)
		}
	}
	return sum
}

// Expire drops the room whose grants have expired.
func (r *Reported) Expire(now time.Duration) {
	for engine := range r.engines {
		r.drop(engine, func(x reportedRoom) bool { return x.until <= now })
	}
}

func (r *Reported) drop(engine string, over func(reportedRoom) bool) {
	if rooms, found := r.engines[engine]; found {
		r.set(engine, slices.DeleteFunc(rooms, over))
	}
}

// set sets the room that is known of an engine.
func (r *Reported) set(engine string, rooms []reportedRoom) {
	if len(rooms) == 0 {
		delete(r.engines, engine)
		return
	}
	r.engines[engine] = rooms
}
