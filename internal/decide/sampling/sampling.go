// Package sampling draws elements of a list at random and without repetition, at a
// cost that depends on the number of draws alone.
//
// Shuffling a copy of the list costs as much as the list is long, for each request
// that is placed on one of thousands of targets.
package sampling

import "math/rand/v2"

// Sampler draws the indices of one list. It steps through the list in a random stride
// that has no factor in common with the list's length, from a random start: each index
// is as likely at each draw, and each comes once. It is not safe for concurrent use.
type Sampler struct {
	size, next, stride, drawn int
}

// New returns a sampler of the indices below size.
func New(size int, rng *rand.Rand) *Sampler {
	if size <= 0 {
		return &Sampler{}
	}
	stride := 1 + rng.IntN(size)
	for gcd(stride, size) != 1 {
		stride = 1 + rng.IntN(size)
	}
	return &Sampler{size: size, next: rng.IntN(size), stride: stride}
}

// Next returns an index that was not drawn before, false when all were.
func (s *Sampler) Next() (int, bool) {
	if s.drawn >= s.size {
		return 0, false
	}
	index := s.next
	s.next = (s.next + s.stride) % s.size
	s.drawn++
	return index, true
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}
