package readers

import (
	"math"
	"time"
)

const (
	// announcementWait is the time in which a process that starts hears from a
	// running host whether that host has the records.
	announcementWait = 300 * time.Millisecond
	// transferWait is the time in which it gets them from such a host.
	transferWait = 3 * time.Second
	// firstAnnouncementWait and firstTransferWait are the same times while all hosts
	// start for the first time. There are no callers yet.
	firstAnnouncementWait, firstTransferWait = 2 * time.Second, 10 * time.Second
	// turnSpread is the time over which hosts take turns when none has announced
	// records: after all of them were replaced, say.
	turnSpread = time.Second
	// turnExponent makes early turns rare: in a fleet of hundreds of hosts only some
	// read the store in the time in which the first ones can announce its records.
	turnExponent = 0.25
)

// Startup is the state of a process that has no records yet.
//
// Reading all records takes a call for each page of them, so that a fleet whose hosts
// each read them as they start makes calls for hosts times records. When all hosts
// are replaced at once, the calls exceed the rate of the store, which turns reads away
// in the middle, and they begin anew. A process therefore asks running hosts first, and
// reads the store only if none of them has the records or can transfer them in time.
// Hosts that others ask first do so before the others.
type Startup struct {
	// Uptime is the time since the start of the process.
	Uptime time.Duration
	// FirstStart is set when all hosts start for the first time, Seed if others ask
	// this host first.
	FirstStart, Seed bool
	// Draw, in [0, 1), is drawn once for the process and decides its turn.
	Draw float64
	// RecordsAnnounced is set once a running host has announced that it has records.
	RecordsAnnounced bool
}

// WaitsForPeers reports whether the process leaves the store alone for now.
func (s Startup) WaitsForPeers() bool {
	announcement, transfer := announcementWait, transferWait
	if s.FirstStart {
		announcement, transfer = firstAnnouncementWait, firstTransferWait
	}
	switch {
	case s.RecordsAnnounced:
		return s.Uptime < transfer
	case s.FirstStart && s.Seed:
		return false
	case s.Seed:
		return s.Uptime < announcement
	}
	return s.Uptime < announcement+time.Duration(math.Pow(s.Draw, turnExponent)*float64(turnSpread))
}
