// Package retrybudget bounds retries to a share of first tries.
//
// Load pattern: a target dies or a pool is overloaded, and a third of all
// requests fail at once. Each entry tries them again, some twice, and so do
// the callers.
//
// What happens without it: with three tries each, a pool at 70% of its
// capacity that loses a third receives up to three times its load; the retries
// fail as well and are the cause of the next ones. One sees many times more
// requests at the targets than callers sent, for minutes after the fault is
// over.
//
// How it works: a token bucket per account and service, and one per service.
// Each first try puts Share of a token in, a retry takes a whole one from
// both. So one account's failures use up neither another account's retries
// nor more than Share of the service. A trickle allows single retries to
// accounts with little traffic, for which Share of a few requests is nothing.
//
// The budget is kept by each entry for its own requests: shares add up over a
// fleet without a message. Safe for concurrent use; buckets are atomics.
package retrybudget

import (
	"cmp"
	"sync"
	"sync/atomic"
	"time"
)

// Config holds the figures; the zero value of a field means its default.
type Config struct {
	// RetryRatio of first tries that may be retried. Default 0.1: it covers the
	// loss of one target of ten at once, and adds at most a tenth to an
	// overload.
	RetryRatio float64
	// Burst is the most tokens that a bucket of an account holds. Default 10.
	Burst float64
	// ServiceBurst is the most that a service's holds. Default ten times Burst.
	ServiceBurst float64
	// RefillPerSecond is added per second, used or not. Default 0.2: an account that
	// sends a request a minute may always retry it.
	RefillPerSecond float64
	// MaxBuckets bounds the accounts and services that are kept; idle ones go
	// first. Default 4096, some 600 KB.
	MaxBuckets int
}

const (
	defaultShare      = 0.1
	defaultBurst      = 10
	defaultTrickle    = 0.2
	defaultMaxBuckets = 4096
	// serviceBurst is a service's burst in units of an account's.
	serviceBurst = 10
	// NoRefill, as a Config's Trickle, adds nothing with time.
	NoRefill = -1
)

func (c Config) withDefaults() Config {
	c.RetryRatio = cmp.Or(c.RetryRatio, defaultShare)
	c.Burst = cmp.Or(c.Burst, defaultBurst)
	c.ServiceBurst = cmp.Or(c.ServiceBurst, serviceBurst*c.Burst)
	c.RefillPerSecond = max(cmp.Or(c.RefillPerSecond, defaultTrickle), 0)
	c.MaxBuckets = cmp.Or(c.MaxBuckets, defaultMaxBuckets)
	return c
}

// milli is the unit of a bucket: thousandths of a token, so that the level is
// one atomic integer.
const milli = 1000

// Bucket is a token bucket that fills by events and by time. Safe for
// concurrent use.
type Bucket struct {
	burst   atomic.Int64 // milli tokens
	trickle int64        // milli tokens a second
	level   atomic.Int64
	// filled is the time up to which the trickle was added.
	filled atomic.Int64
}

// NewBucket returns a full bucket of burst tokens that gains trickle tokens a
// second.
func NewBucket(now time.Duration, burst, trickle float64) *Bucket {
	b := &Bucket{trickle: int64(trickle * milli)}
	b.burst.Store(int64(burst * milli))
	b.level.Store(b.burst.Load())
	b.filled.Store(int64(now))
	return b
}

// Deposit adds tokens, up to the burst.
func (b *Bucket) Deposit(tokens float64) { b.deposit(int64(tokens * milli)) }

func (b *Bucket) deposit(amount int64) {
	for {
		level := b.level.Load()
		next := min(level+amount, b.burst.Load())
		if next == level || b.level.CompareAndSwap(level, next) {
			return
		}
	}
}

// scale changes the burst by a factor; what is above it is lost.
func (b *Bucket) scale(factor float64) {
	b.burst.Store(int64(float64(b.burst.Load()) * factor))
	b.deposit(0)
}

// Take takes one token, or tells that there is none.
func (b *Bucket) Take(now time.Duration) bool {
	b.fill(now)
	for {
		level := b.level.Load()
		if level < milli {
			return false
		}
		if b.level.CompareAndSwap(level, level-milli) {
			return true
		}
	}
}

// fill adds the trickle. Only the caller that moves the time on adds it.
func (b *Bucket) fill(now time.Duration) {
	before := b.filled.Load()
	gained := int64((now - time.Duration(before)).Seconds() * float64(b.trickle))
	if gained > 0 && b.filled.CompareAndSwap(before, int64(now)) {
		b.deposit(gained)
	}
}

// Key names an account at a service.
type Key struct{ Account, Service string }

// Budget holds the buckets of one entry.
type Budget struct {
	cfg     Config
	mu      sync.RWMutex
	buckets map[Key]*Bucket
	// hosts share the bursts.
	hosts float64
}

// New returns a budget in which every bucket starts full.
func New(cfg Config) *Budget {
	return &Budget{cfg: cfg.withDefaults(), buckets: map[Key]*Bucket{}, hosts: 1}
}

// SetHostCount says how many hosts share the bursts, so that all hosts' retries
// keep to one bound. Buckets that hold more are emptied to their part.
func (b *Budget) SetHostCount(hosts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := float64(max(hosts, 1))
	if next == b.hosts {
		return
	}
	for _, bucket := range b.buckets {
		bucket.scale(b.hosts / next)
	}
	b.hosts = next
}

// RecordFirstAttempt books a first try.
func (b *Budget) RecordFirstAttempt(now time.Duration, k Key) {
	b.bucket(now, k).Deposit(b.cfg.RetryRatio)
	b.service(now, k).Deposit(b.cfg.RetryRatio)
}

// AllowRetry tells whether a request may be tried once more, and books it. When it
// may not, the failure is the request's answer.
func (b *Budget) AllowRetry(now time.Duration, k Key) bool {
	own := b.bucket(now, k)
	if !own.Take(now) {
		return false
	}
	if b.service(now, k).Take(now) {
		return true
	}
	own.Deposit(1)
	return false
}

// Buckets is the number of buckets that are kept.
func (b *Budget) Buckets() int {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return len(b.buckets)
}

func (b *Budget) service(now time.Duration, k Key) *Bucket {
	return b.bucket(now, Key{Service: k.Service})
}

func (b *Budget) bucket(now time.Duration, k Key) *Bucket {
	b.mu.RLock()
	bucket := b.buckets[k]
	b.mu.RUnlock()
	if bucket != nil {
		return bucket
	}
	return b.create(now, k)
}

func (b *Budget) create(now time.Duration, k Key) *Bucket {
	b.mu.Lock()
	defer b.mu.Unlock()
	if bucket := b.buckets[k]; bucket != nil {
		return bucket
	}
	if len(b.buckets) >= b.cfg.MaxBuckets {
		b.evict(now)
	}
	burst, trickle := b.cfg.Burst, b.cfg.RefillPerSecond
	if k.Account == "" {
		burst, trickle = b.cfg.ServiceBurst, trickle*serviceBurst
	}
	bucket := NewBucket(now, burst/b.hosts, trickle)
	b.buckets[k] = bucket
	return bucket
}

// evict forgets full buckets, which say no more than new ones, and, when
// none is full, an arbitrary eighth. Else accounts that come once each would
// fill the memory.
func (b *Budget) evict(now time.Duration) {
	for k, bucket := range b.buckets {
		bucket.fill(now)
		if bucket.level.Load() >= bucket.burst.Load() {
			delete(b.buckets, k)
		}
	}
	for k := range b.buckets {
		if len(b.buckets) <= b.cfg.MaxBuckets*7/8 {
			return
		}
		delete(b.buckets, k)
	}
}
