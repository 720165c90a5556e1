package readers

import "time"

const (
	// announcementWait is the time in which a process that starts hears from a
	// running host whether that host has the records.
	announcementWait = 100 * time.Millisecond
	// transferWait is the time in which it gets them from such a host.
	transferWait = 500 * time.Millisecond
	// answerWait is the time in which the first of the other seeds answers a
	// process that starts, if any of them runs and can be reached.
	answerWait = 500 * time.Millisecond
	// firstAnnouncementWait and firstTransferWait are the same times while all hosts
	// start for the first time. There are no callers yet.
	firstAnnouncementWait, firstTransferWait = 2 * time.Second, 10 * time.Second
)

// Startup is the state of a process that has no records yet.
//
// Reading all records takes a call for each page of them, so that a fleet whose hosts
// each read them as they start makes calls for hosts times records. A process
// therefore asks running hosts first, and reads the store only if none of them has
// the records or can transfer them in time. Running hosts may also know more than
// the store, which may just have been restored from a copy.
type Startup struct {
	// Uptime is the time since the start of the process.
	Uptime time.Duration
	// FirstStart is set when all hosts start for the first time, Seed if others ask
	// this host first.
	FirstStart, Seed bool
	// RecordsAnnounced is set once a running host has announced that it has records.
	RecordsAnnounced bool
	// HasOtherSeeds is set if the settings name other hosts to ask, PeerAnswered
	// once any host has answered.
	HasOtherSeeds, PeerAnswered bool
}

// WaitsForPeers reports whether the process leaves the store alone for now.
func (s Startup) WaitsForPeers() bool {
	announcement, transfer := announcementWait, transferWait
	if s.HasOtherSeeds && !s.PeerAnswered {
		announcement = answerWait
	}
	if s.FirstStart {
		announcement, transfer = firstAnnouncementWait, firstTransferWait
	}
	if s.RecordsAnnounced {
		return s.Uptime < transfer
	}
	return !(s.FirstStart && s.Seed) && s.Uptime < announcement
}
