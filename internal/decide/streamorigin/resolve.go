package streamorigin

import "time"

// Question asks a host where a stream began.
type Question struct {
	Key Key
	// Service is the only service that may have begun the stream; empty if there are
	// several.
	Service string
	// Window is the time within which the stream began.
	Window time.Duration
}

// Versions is what a host says about a service's versions within a question's window.
type Versions int

const (
	// Unsure means that the host does not know: it has not run for long enough, its view
	// may be old, or the question names no service.
	Unsure Versions = iota
	// One means that the service had only the answer's version all the time.
	One
	// Several means that the service had several versions.
	Several
)

// Answer is a host's answer to a question.
type Answer struct {
	// Origin is the recorded origin, nil if the host has none.
	Origin *Origin
	// Conflict is set if the host was told of several origins.
	Conflict bool
	Versions Versions
	// Version is set with One.
	Version string
}

// Basis says what an origin was concluded from, or why it is not known.
type Basis string

// The values of Basis.
const (
	BasisRecord      Basis = "recorded"
	BasisOnlyVersion Basis = "only version"
	BasisConflict    Basis = "hosts name several origins"
	BasisSeveral     Basis = "not recorded, several versions"
	BasisUnsure      Basis = "not recorded, versions not known"
)

// Resolve concludes from hosts' answers to a question where a stream began; nil if that
// is not certain. A record goes before what follows from the service's versions: hosts
// record each stream unless the service has only one. Without a record, one host that
// knows of several versions outweighs any number that know of one, since their views may
// be older.
func Resolve(q Question, answers []Answer) (*Origin, Basis) {
	var recorded *Origin
	for _, a := range answers {
		if a.Conflict || a.Origin != nil && recorded != nil && *a.Origin != *recorded {
			return nil, BasisConflict
		}
		if a.Origin != nil {
			recorded = a.Origin
		}
	}
	if recorded != nil {
		return recorded, BasisRecord
	}
	return onlyVersion(q, answers)
}

func onlyVersion(q Question, answers []Answer) (*Origin, Basis) {
	var only *Origin
	for _, a := range answers {
		switch {
		case a.Versions == Several, a.Versions == One && only != nil && a.Version != only.Version:
			return nil, BasisSeveral
		case a.Versions == One:
			only = &Origin{Service: q.Service, Version: a.Version}
		}
	}
	if only == nil || q.Service == "" {
		return nil, BasisUnsure
	}
	return only, BasisOnlyVersion
}
