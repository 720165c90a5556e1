// Package wake has the two small things that controllers wait with.
package wake

import (
	"context"
	"time"
)

// Sleep waits for a time, or until ctx is done; a time that is not positive is
// over at once.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Signal wakes who waits on a channel of one place; a signal that waits there
// already says the same.
func Signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
