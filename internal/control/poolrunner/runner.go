// Package poolrunner runs one admission allocator on a goroutine of its own and
// gives it its clock: everything that reaches the allocator is an event with
// the time of this process.
package poolrunner

import (
	"sync"
	"sync/atomic"
	"time"

	"filbertdeck/internal/decide/admission"
)

const (
	// busyTick is how often time moves on while requests wait: a refusal is due
	// to the caller within ten milliseconds of its moment.
	busyTick = 5 * time.Millisecond
	// idleTick expires leases; it costs an idle process next to nothing.
	idleTick = 250 * time.Millisecond
	// eventQueue bounds the events that wait. A full queue makes the sender
	// wait, which slows the sessions and thereby the entries.
	eventQueue = 4096
)

// Deliver hands a decision to the session of its holder.
type Deliver func(pool string, d admission.Decision)

type event func(a *admission.Allocator, now time.Duration)

// Runner owns one allocator.
type Runner struct {
	name    string
	alloc   *admission.Allocator
	deliver Deliver
	events  chan event
	stop    chan struct{}
	stopped sync.WaitGroup
	start   time.Time

	busy    atomic.Bool
	backlog atomic.Int64 // microseconds
}

// NewRunner starts an allocator for the pool called name.
func NewRunner(name string, cfg admission.Config, deliver Deliver) *Runner {
	r := &Runner{
		name: name, alloc: admission.New(cfg), deliver: deliver,
		events: make(chan event, eventQueue), stop: make(chan struct{}), start: time.Now(),
	}
	r.stopped.Add(1)
	go r.loop()
	return r
}

// Close stops the runner; asks that wait get no decision.
func (r *Runner) Close() {
	close(r.stop)
	r.stopped.Wait()
}

// Backlog is the wait that a request would meet now.
func (r *Runner) Backlog() time.Duration {
	return time.Duration(r.backlog.Load()) * time.Microsecond
}

// Busy tells whether requests wait or run here.
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

// Withdraw takes a request back.
func (r *Runner) Withdraw(holder admission.Holder, request uint64) {
	r.Do(func(a *admission.Allocator, now time.Duration) { a.Withdraw(now, holder, request) })
}

// Renew keeps leases alive.
func (r *Runner) Renew(holder admission.Holder, renewals []admission.Renewal) {
	r.Do(func(a *admission.Allocator, now time.Duration) { a.Renew(now, holder, renewals) })
}

// Settle ends a lease.
func (r *Runner) Settle(s admission.Settlement) {
	r.Do(func(a *admission.Allocator, now time.Duration) { a.Settle(now, s) })
}

// Report takes a target's load.
func (r *Runner) Report(report admission.Report) {
	r.Do(func(a *admission.Allocator, now time.Duration) { a.Report(now, report) })
}

// Confirm says that the host list was the newest one at the moment at.
func (r *Runner) Confirm(at time.Time) {
	r.Do(func(a *admission.Allocator, _ time.Duration) { a.ConfirmOwnership(at.Sub(r.start)) })
}

// Snapshot copies the allocator's state for counters.
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

// QuotaUses tells what the accounts with leased limits do.
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
	defer r.stopped.Done()
	timer := time.NewTimer(idleTick)
	defer timer.Stop()
	for {
		select {
		case <-r.stop:
			return
		case e := <-r.events:
			e(r.alloc, r.now())
			r.drainEvents()
		case <-timer.C:
		}
		r.decide()
		timer.Reset(r.tick())
	}
}

// drainEvents takes what has gathered, so that one decision covers it all.
func (r *Runner) drainEvents() {
	for range eventQueue {
		select {
		case e := <-r.events:
			e(r.alloc, r.now())
		default:
			return
		}
	}
}

func (r *Runner) decide() {
	for _, d := range r.alloc.Decide(r.now()) {
		r.deliver(r.name, d)
	}
	r.backlog.Store(r.alloc.EstimatedWait().Microseconds())
	r.busy.Store(r.alloc.Waiting() > 0 || r.alloc.Running() > 0)
}

func (r *Runner) tick() time.Duration {
	if r.alloc.Waiting() > 0 {
		return busyTick
	}
	return idleTick
}

func (r *Runner) now() time.Duration { return time.Since(r.start) }
