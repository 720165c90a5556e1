package sampling_test

import (
	"math/rand/v2"
	"testing"

	"filbertdeck/internal/decide/sampling"
)

func TestNextDrawsEachIndexOnce(t *testing.T) {
	for size := range 20 {
		s := sampling.New(size, rand.New(rand.NewPCG(1, uint64(size))))
		seen := map[int]bool{}
		for range size {
			i, ok := s.Next()
			if !ok || i < 0 || i >= size || seen[i] {
				t.Fatalf("size %d: drew %d (%v) after %v", size, i, ok, seen)
			}
			seen[i] = true
		}
		if i, ok := s.Next(); ok {
			t.Fatalf("size %d: drew %d when all were drawn", size, i)
		}
	}
}

// Guards against targets that are drawn more often than others.
func TestNextIsUniform(t *testing.T) {
	const size, draws, rounds = 10, 3, 20_000
	rng := rand.New(rand.NewPCG(1, 2))
	counts := make([]int, size)
	for range rounds {
		s := sampling.New(size, rng)
		for range draws {
			i, _ := s.Next()
			counts[i]++
		}
	}
	const expected = rounds * draws / size
	for i, n := range counts {
		if n < expected*95/100 || n > expected*105/100 {
			t.Errorf("index %d was drawn %d times, expected about %d", i, n, expected)
		}
	}
}
