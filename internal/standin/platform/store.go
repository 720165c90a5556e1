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

// Value is one key's value and the revision that wrote it.
type Value struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Value    string `json:"value"`
}

// Answer is what a read returns.
type Answer struct {
	Revision uint64   `json:"revision"`
	Keys     []string `json:"keys"`
	Values   []Value  `json:"values"`
}

// store is a versioned map with its whole history: revision n is the state
// after the first n changes. It is not safe for concurrent use.
type store struct {
	history []change
	values  map[string]Value
	// touched holds each key's last change, deletions included, so that a
	// watch notices a key that went away.
	touched map[string]uint64
}

func newStore() *store {
	return &store{values: map[string]Value{}, touched: map[string]uint64{}}
}

func (s *store) revision() uint64 { return uint64(len(s.history)) }

func (s *store) put(key, value string) uint64 {
	return s.apply(change{key: key, value: value})
}

func (s *store) remove(key string) uint64 {
	return s.apply(change{key: key, deleted: true})
}

func (s *store) apply(c change) uint64 {
	s.history = append(s.history, c)
	rev := s.revision()
	s.touched[c.key] = rev
	if c.deleted {
		delete(s.values, c.key)
		return rev
	}
	s.values[c.key] = Value{Key: c.key, Revision: rev, Value: c.value}
	return rev
}

// restored gives the store as it was at an older revision; later changes are
// forgotten, and their revisions will be given again.
func (s *store) restored(revision uint64) *store {
	old := newStore()
	for _, c := range s.history[:min(revision, s.revision())] {
		old.apply(c)
	}
	return old
}

// changedAfter tells whether a key under prefix changed after a revision.
func (s *store) changedAfter(prefix string, after uint64) bool {
	for key, rev := range s.touched {
		if rev > after && strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// read gives the keys under prefix and the values that changed after a
// revision, both in key order.
func (s *store) read(prefix string, after uint64) Answer {
	a := Answer{Revision: s.revision(), Keys: []string{}, Values: []Value{}}
	for key := range s.values {
		if strings.HasPrefix(key, prefix) {
			a.Keys = append(a.Keys, key)
		}
	}
	slices.Sort(a.Keys)
	for _, key := range a.Keys {
		if v := s.values[key]; v.Revision > after {
			a.Values = append(a.Values, v)
		}
	}
	return a
}
