package gateway

import (
	"testing"
	"time"

	"filbertdeck/internal/directory"
)

// Guards against an estimate that the quick requests of a route hide its slow ones from.
func TestLongestTimeOutlastsManyQuickRequests(t *testing.T) {
	var l longestTimes
	if got := l.of("r-1"); got != 0 {
		t.Errorf("the longest time of an unknown route is %s", got)
	}
	l.record("r-1", 2*time.Second)
	for range 20 {
		l.record("r-1", 20*time.Millisecond)
	}
	if got := l.of("r-1"); got < 1800*time.Millisecond || got > 2*time.Second {
		t.Errorf("the longest time after 20 quick requests is %s", got)
	}
	for range 2000 {
		l.record("r-1", 20*time.Millisecond)
	}
	if got := l.of("r-1"); got > 100*time.Millisecond {
		t.Errorf("the longest time after 2020 quick requests is %s", got)
	}
}

// Guards against memory that grows with each route that was ever configured.
func TestLongestTimesForgetRemovedRoutes(t *testing.T) {
	var l longestTimes
	l.record("r-1", time.Second)
	l.record("r-2", time.Second)
	l.prune(directory.NewView(1, &directory.Config{Routes: []directory.Route{{Name: "r-2"}}}, nil, nil))
	if l.of("r-1") != 0 || l.of("r-2") == 0 {
		t.Errorf("after the change of the routes: r-1 %s, r-2 %s", l.of("r-1"), l.of("r-2"))
	}
}
