package poison

import (
	"cmp"
	"iter"
	"slices"
)

// Request identifies a request as evidence. A request that crashes targets is recognized
// by all of its content, and by the parts of its prompt that it shares with others: one
// part may crash targets whatever else the request holds.
type Request struct {
	// Fingerprint is equal for requests with the same content.
	Fingerprint uint64
	// Parts are the shared parts of the prompt, empty if there are none. They are hashes
	// like the fingerprint, and differ from every fingerprint.
	Parts []uint64
}

// Requests returns requests without parts.
func Requests(fingerprints []uint64) []Request {
	out := make([]Request, len(fingerprints))
	for i, f := range fingerprints {
		out[i] = Request{Fingerprint: f}
	}
	return out
}

// features yields what identifies the request: its fingerprint, then its parts.
func (r Request) features() iter.Seq2[int, uint64] {
	return func(yield func(int, uint64) bool) {
		if !yield(0, r.Fingerprint) {
			return
		}
		for i, p := range r.Parts {
			if !yield(1+i, p) {
				return
			}
		}
	}
}

func (r Request) has(feature uint64) bool {
	return r.Fingerprint == feature || slices.Contains(r.Parts, feature)
}

// hasAll reports whether the request has all of some features.
func (r Request) hasAll(features []uint64) bool {
	return !slices.ContainsFunc(features, func(f uint64) bool { return !r.has(f) })
}

func compareRequests(a, b Request) int {
	return cmp.Or(cmp.Compare(a.Fingerprint, b.Fingerprint), slices.Compare(a.Parts, b.Parts))
}

// mergeSuspects returns a new sorted slice; the old one may be part of a message that is
// being sent.
func mergeSuspects(known, more []Request, limit int) []Request {
	out := slices.Concat(known, more[:min(len(more), limit)])
	slices.SortFunc(out, compareRequests)
	out = slices.CompactFunc(out, func(a, b Request) bool { return compareRequests(a, b) == 0 })
	return out[:min(len(out), limit)]
}

// featuresOf returns the features of some requests, sorted.
func featuresOf(requests []Request) []uint64 {
	var out []uint64
	for _, r := range requests {
		out = append(append(out, r.Fingerprint), r.Parts...)
	}
	slices.Sort(out)
	return slices.Compact(out)
}
