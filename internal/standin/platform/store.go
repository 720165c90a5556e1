package platform

import (
	"slices"
	"strings"
)

// change is one write in the store's history.
type change struct {
	key     string
	value   string
	deleted bool
}

// Value is a key with its value and the revision that wrote it.
type Value struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Value    string `json:"value"`
}

// ReadResult is the result of a read: the keys under the prefix, and the values
// that changed after the given revision.
type ReadResult struct {
	Revision uint64   `json:"revision"`
	Keys     []string `json:"keys"`
	Values   []Value  `json:"values"`
}

// store is a versioned map that keeps its complete history: revision n is the
// state after the first n changes. It is not safe for concurrent use.
type store struct {
	history []change
	values  map[string]Value
	// lastChange maps each key to the revision of its last change, including
	// deletions, so that a watch also returns when a key is deleted.
	lastChange map[string]uint64
}

func newStore() *store {
	return &store{values: map[string]Value{}, lastChange: map[string]uint64{}}
}

func (s *store) revision() uint64 { return uint64(len(s.history)) }

func (s *store) put(key, value string) uint64 {
	return s.appendChange(change{key: key, value: value})
}

func (s *store) delete(key string) uint64 {
	return s.appendChange(change{key: key, deleted: true})
}

func (s *store) appendChange(c change) uint64 {
	s.history = append(s.history, c)
	rev := s.revision()
	s.lastChange[c.key] = rev
	if c.deleted {
		delete(s.values, c.key)
		return rev
	}
	s.values[c.key] = Value{Key: c.key, Revision: rev, Value: c.value}
	return rev
}

// atRevision returns a copy of the store as of an older revision. The copy lacks
// later changes, and new changes to it reuse their revision numbers.
func (s *store) atRevision(revision uint64) *store {
	snapshot := newStore()
	for _, c := range s.history[:min(revision, s.revision())] {
		snapshot.appendChange(c)
	}
	return snapshot
}

// changedAfter reports whether a key under prefix changed after a revision.
func (s *store) changedAfter(prefix string, after uint64) bool {
	for key, rev := range s.lastChange {
		if rev > after && strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// read returns the keys under prefix and the values that changed after a
// revision, both in key order.
func (s *store) read(prefix string, after uint64) ReadResult {
	result := ReadResult{Revision: s.revision(), Keys: []string{}, Values: []Value{}}
	for key := range s.values {
		if strings.HasPrefix(key, prefix) {
			result.Keys = append(result.Keys, key)
		}
	}
	slices.Sort(result.Keys)
	for _, key := range result.Keys {
		if v := s.values[key]; v.Revision > after {
			result.Values = append(result.Values, v)
		}
	}
	return result
}
