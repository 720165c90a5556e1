// Package wake provides helpers for goroutines that wait for a time or for a
// signal.
package wake

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx is done. It returns immediately if d is not
// positive.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Signal wakes the receiver of a channel with a buffer of one. It never blocks:
// if a signal is pending already, another one is not needed.
func Signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}
