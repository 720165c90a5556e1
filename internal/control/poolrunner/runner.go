// Package poolrunner runs one admission allocator on its own goroutine and supplies
// its clock: everything that reaches the allocator is an event with the time of
// this process.
package poolrunner

import (
	"sync"
	"sync/atomic"
	"time"

	"filbertdeck/internal/decide/admission"
)

const (
	// busyInterval is the time between two decisions while requests wait: a
	// refusal must reach the caller within ten milliseconds of its due time.
	busyInterval = 5 * time.Millisecond
	// idleInterval is the time between two decisions otherwise. They expire
	// leases and cost an idle process next to nothing.
	idleInterval = 250 * time.Millisecond
	// eventQueueSize bounds the queued events. A full queue blocks the sender,
	// which slows down the sessions and thereby the entries.
	eventQueueSize = 4096
)

// Deliver passes a decision to the session of its holder.
type Deliver func(pool string, d admission.Decision)

type event func(a *admission.Allocator, now time.Duration)

// Runner owns one allocator.
type Runner struct {
	name      string
	allocator *admission.Allocator
	deliver   Deliver
	events    chan event
	stop      chan struct{}
	loopDone  sync.WaitGroup
	startedAt time.Time

	busy          atomic.Bool
	backlogMicros atomic.Int64
}

// NewRunner starts an allocator for the pool called name.
func NewRunner(name string, cfg admission.Config, deliver Deliver) *Runner {
	r := &Runner{
		name: name, allocator: admission.New(cfg), deliver: deliver,
		events: make(chan event, eventQueueSize), stop: make(chan struct{}), startedAt: time.Now(),
	}
	r.loopDone.Add(1)
	go r.loop()
	return r
}

// Close stops the runner; waiting requests get no decision.
func (r *Runner) Close() {
	close(r.stop)
	r.loopDone.Wait()
}

// Backlog returns the wait that a new request would have.
func (r *Runner) Backlog() time.Duration {
	return time.Duration(r.backlogMicros.Load()) * time.Microsecond
}

// Busy reports whether requests wait or run in the pool.
func (r *Runner) Busy() bool { return r.busy.Load() }

// Do runs change on the allocator's goroutine.
func (r *Runner) Do(change func(a *admission.Allocator, now time.Duration)) {
	select {
	case r.events <- change:
	case <-r.stop:
	}
}

// Ask queues a request.
func (r *Runner) Ask(ask admission.Ask) {
	r.Do(func(a *admission.Allocator, now time.Duration) { a.Ask(now, ask) })
}

// Withdraw cancels a waiting request.
func (r *Runner) Withdraw(holder admission.Holder, request uint64) {
	r.Do(func(a *admission.Allocator, now time.Duration) { a.Withdraw(now, holder, request) })
}

// Renew extends leases.
func (r *Runner) Renew(holder admission.Holder, renewals []admission.Renewal) {
	r.Do(func(a *admission.Allocator, now time.Duration) { a.Renew(now, holder, renewals) })
}

// Settle ends a lease.
func (r *Runner) Settle(s admission.Settlement) {
	r.Do(func(a *admission.Allocator, now time.Duration) { a.Settle(now, s) })
}

// Report applies a target's load report.
func (r *Runner) Report(report admission.Report) {
	r.Do(func(a *admission.Allocator, now time.Duration) { a.Report(now, report) })
}

// Confirm records that the host list was the newest one at the time at.
func (r *Runner) Confirm(at time.Time) {
	r.Do(func(a *admission.Allocator, _ time.Duration) { a.ConfirmOwnership(at.Sub(r.startedAt)) })
}

// Snapshot returns a copy of the allocator's state for counters.
func (r *Runner) Snapshot() admission.Snapshot {
	out := make(chan admission.Snapshot, 1)
	r.Do(func(a *admission.Allocator, now time.Duration) { out <- a.Snapshot(now) })
	select {
	case s := <-out:
		return s
	case <-r.stop:
		return admission.Snapshot{}
	}
}

// QuotaUses returns the use of the accounts with leased limits.
func (r *Runner) QuotaUses() []admission.QuotaUsage {
	out := make(chan []admission.QuotaUsage, 1)
	r.Do(func(a *admission.Allocator, now time.Duration) { out <- a.TakeQuotaUsage(now) })
	select {
	case uses := <-out:
		return uses
	case <-r.stop:
		return nil
	}
}

func (r *Runner) loop() {
	defer r.loopDone.Done()
	timer := time.NewTimer(idleInterval)
	defer timer.Stop()
	for {
		select {
		case <-r.stop:
			return
		case e := <-r.events:
			e(r.allocator, r.now())
			r.processPendingEvents()
		case <-timer.C:
		}
		r.decide()
		timer.Reset(r.timerInterval())
	}
}

// processPendingEvents runs the queued events, so that one decision covers them.
func (r *Runner) processPendingEvents() {
	for range eventQueueSize {
		select {
		case e := <-r.events:
			e(r.allocator, r.now())
		default:
			return
		}
	}
}

func (r *Runner) decide() {
	for _, d := range r.allocator.Decide(r.now()) {
		r.deliver(r.name, d)
	}
	r.backlogMicros.Store(r.allocator.EstimatedWait().Microseconds())
	r.busy.Store(r.allocator.Waiting() > 0 || r.allocator.Running() > 0)
}

func (r *Runner) timerInterval() time.Duration {
	if r.allocator.Waiting() > 0 {
		return busyInterval
	}
	return idleInterval
}

func (r *Runner) now() time.Duration { return time.Since(r.startedAt) }
