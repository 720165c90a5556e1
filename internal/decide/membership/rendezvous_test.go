package membership_test

import (
	"fmt"
	"slices"
	"testing"

	"filbertdeck/internal/decide/membership"
)

func TestTopRankedAndRankOfAgreeWithRank(t *testing.T) {
	for _, size := range []int{0, 1, 2, 5, 585} {
		members := make([]string, size)
		for i := range members {
			members[i] = fmt.Sprintf("10.0.%d.%d:1", i/200, i%200)
		}
		for key := range 20 {
			key := fmt.Sprint("i-", key)
			ranked := membership.Rank(key, members)
			for _, count := range []int{1, 2, 5} {
				if got, want := membership.TopRanked(key, members, count), ranked[:min(count, size)]; !slices.Equal(got, want) {
					t.Fatalf("first %d of %d: got %v, want %v", count, size, got, want)
				}
			}
			for want, m := range ranked[:min(10, size)] {
				if got := membership.RankOf(key, members, m); got != want {
					t.Fatalf("rank of %s among %d: got %d, want %d", m, size, got, want)
				}
			}
		}
	}
}
