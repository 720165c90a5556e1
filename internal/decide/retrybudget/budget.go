// Package retrybudget limits retries to a fraction of first attempts.
//
// When a target crashes or a pool is overloaded, a third of all requests may
// fail at once, and each entry and its callers retry them. With three attempts
// each, a pool at 70% of its capacity that loses a third of it receives up to
// three times its load. The retries fail as well and cause further retries, so
// that the targets receive many times the requests that callers sent, for
// minutes after the fault is over.
//
// The budget has a token bucket per account and service, and one per service.
// Each first attempt adds a fraction of a token, the configured share, to both;
// a retry takes one token from both. Thus the failures of one account use up
// neither the retries of another account nor more than that share of the
// service. Buckets also refill slowly with time, so that accounts with little
// traffic, for which the share of a few requests is less than one token, can
// retry single requests.
//
// Each entry keeps the budget for its own requests. Because it is a fraction of
// them, the fleet as a whole keeps to the same fraction without any
// coordination. In a large fleet a host's share of a burst is less than one token, and
// so is what it earns by few requests. It then retries with a probability equal to the
// fraction that it holds and owes the rest of the token, so that the hosts together
// make as many retries as they hold tokens.
//
// Budget and Bucket are safe for concurrent use; the levels of the buckets are atomics.
package retrybudget

import (
	"cmp"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Config holds the parameters of a budget. A zero field means its default.
type Config struct {
	// RetryRatio is the fraction of first attempts that may be retried. Default 0.1:
	// it covers the loss of one of ten targets at once, and adds at most a
	// tenth to an overload.
	RetryRatio float64
	// Burst is the capacity of an account's bucket, in tokens. Default 10.
	Burst float64
	// ServiceBurst is the capacity of a service's bucket, in tokens. Default
	// ten times Burst.
	ServiceBurst float64
	// RefillPerSecond is the number of tokens that an account's bucket gains per second
	// regardless of traffic; a service's bucket gains ten times as many.
	// Default 0.2: an account that sends one request a minute can always retry
	// it.
	RefillPerSecond float64
	// Draw returns random numbers in [0, 1). Default rand.Float64.
	Draw func() float64
	// MaxBuckets limits the number of buckets for accounts and services; full
	// ones are evicted first. Default 4096, some 600 KB.
	MaxBuckets int
}

const (
	defaultRetryRatio      = 0.1
	defaultBurst           = 10
	defaultRefillPerSecond = 0.2
	defaultMaxBuckets      = 4096
	// serviceBurstFactor is the ratio of a service's default burst and refill
	// rate to those of an account.
	serviceBurstFactor = 10
	// NoRefill, as the refill rate of a Config, disables the refill over time.
	NoRefill = -1
)

func (c Config) withDefaults() Config {
	c.RetryRatio = cmp.Or(c.RetryRatio, defaultRetryRatio)
	c.Burst = cmp.Or(c.Burst, defaultBurst)
	c.ServiceBurst = cmp.Or(c.ServiceBurst, serviceBurstFactor*c.Burst)
	c.RefillPerSecond = max(cmp.Or(c.RefillPerSecond, defaultRefillPerSecond), 0)
	c.MaxBuckets = cmp.Or(c.MaxBuckets, defaultMaxBuckets)
	if c.Draw == nil {
		c.Draw = rand.Float64
	}
	return c
}

// unitsPerToken is the resolution of a bucket: its level is counted in
// thousandths of a token (millitokens), so that it fits in one atomic integer.
const unitsPerToken = 1000

// Bucket is a token bucket that is filled by deposits and over time. It is safe
// for concurrent use.
type Bucket struct {
	burst           atomic.Int64 // millitokens
	refillPerSecond int64        // millitokens a second
	level           atomic.Int64
	// refilledAt is the time up to which the refill over time has been added.
	refilledAt atomic.Int64
}

// NewBucket returns a full bucket with a capacity of burst tokens that gains
// refillPerSecond tokens a second.
func NewBucket(now time.Duration, burst, refillPerSecond float64) *Bucket {
	b := &Bucket{refillPerSecond: int64(refillPerSecond * unitsPerToken)}
	b.burst.Store(int64(burst * unitsPerToken))
	b.level.Store(b.burst.Load())
	b.refilledAt.Store(int64(now))
	return b
}

// Deposit adds tokens, up to the capacity.
func (b *Bucket) Deposit(tokens float64) { b.deposit(int64(tokens * unitsPerToken)) }

func (b *Bucket) deposit(amount int64) {
	for {
		level := b.level.Load()
		next := min(level+amount, b.burst.Load())
		if next == level || b.level.CompareAndSwap(level, next) {
			return
		}
	}
}

// setBurst sets the capacity, in tokens, and discards tokens above it.
func (b *Bucket) setBurst(burst float64) {
	b.burst.Store(int64(burst * unitsPerToken))
	b.deposit(0)
}

// Take takes one token and reports whether there was one.
func (b *Bucket) Take(now time.Duration) bool {
	b.refill(now)
	for {
		level := b.level.Load()
		if level < unitsPerToken {
			return false
		}
		if b.level.CompareAndSwap(level, level-unitsPerToken) {
			return true
		}
	}
}

// takeOrOwe is Take for a bucket that may be too small for one token. If it is, a
// fraction of a token allows the retry with that probability, and the rest is owed.
func (b *Bucket) takeOrOwe(now time.Duration, draw float64) bool {
	if b.burst.Load() >= unitsPerToken {
		return b.Take(now)
	}
	b.refill(now)
	for {
		level := b.level.Load()
		if float64(level) <= draw*unitsPerToken {
			return false
		}
		if b.level.CompareAndSwap(level, level-unitsPerToken) {
			return true
		}
	}
}

// refill adds the tokens gained since the last refill. When called
// concurrently, only the caller that advances refilledAt adds them.
func (b *Bucket) refill(now time.Duration) {
	lastRefill := b.refilledAt.Load()
	refilled := int64((now - time.Duration(lastRefill)).Seconds() * float64(b.refillPerSecond))
	if refilled > 0 && b.refilledAt.CompareAndSwap(lastRefill, int64(now)) {
		b.deposit(refilled)
	}
}

// Key identifies an account's use of a service; Account is empty for the
// service as a whole.
type Key struct{ Account, Service string }

// Budget holds the buckets of one entry.
type Budget struct {
	cfg     Config
	mu      sync.RWMutex
	buckets map[Key]*Bucket
	// hosts is the number of hosts that share the bursts.
	hosts float64
}

// New returns a budget in which every bucket starts full.
func New(cfg Config) *Budget {
	return &Budget{cfg: cfg.withDefaults(), buckets: map[Key]*Bucket{}, hosts: 1}
}

// SetHostCount sets the number of hosts that share the bursts, so that the
// retries of all hosts stay within one bound. Tokens above a bucket's new
// capacity are discarded.
func (b *Budget) SetHostCount(hosts int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	hostCount := float64(max(hosts, 1))
	if hostCount == b.hosts {
		return
	}
	b.hosts = hostCount
	for k, bucket := range b.buckets {
		// Not from the bucket's previous capacity, which is rounded, maybe to zero.
		bucket.setBurst(b.burst(k))
	}
}

// burst returns this host's share of a bucket's capacity, in tokens.
func (b *Budget) burst(k Key) float64 {
	if k.Account == "" {
		return b.cfg.ServiceBurst / b.hosts
	}
	return b.cfg.Burst / b.hosts
}

// RecordFirstAttempt records a first attempt.
func (b *Budget) RecordFirstAttempt(now time.Duration, k Key) {
	b.bucketFor(now, k).Deposit(b.cfg.RetryRatio)
	b.serviceBucket(now, k).Deposit(b.cfg.RetryRatio)
}

// AllowRetry reports whether a request may be retried, and takes the tokens if so.
// If not, the caller gets the failure as the answer.
func (b *Budget) AllowRetry(now time.Duration, k Key) bool {
	// One draw for both: the smaller of the two fractions is the probability.
	accountBucket, draw := b.bucketFor(now, k), b.cfg.Draw()
	if !accountBucket.takeOrOwe(now, draw) {
		return false
	}
	if b.serviceBucket(now, k).takeOrOwe(now, draw) {
		return true
	}
	accountBucket.Deposit(1)
	return false
}

// BucketCount returns the number of buckets.
func (b *Budget) BucketCount() int {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return len(b.buckets)
}

func (b *Budget) serviceBucket(now time.Duration, k Key) *Bucket {
	return b.bucketFor(now, Key{Service: k.Service})
}

func (b *Budget) bucketFor(now time.Duration, k Key) *Bucket {
	b.mu.RLock()
	bucket := b.buckets[k]
	b.mu.RUnlock()
	if bucket != nil {
		return bucket
	}
	return b.createBucket(now, k)
}

func (b *Budget) createBucket(now time.Duration, k Key) *Bucket {
	b.mu.Lock()
	defer b.mu.Unlock()
	if bucket := b.buckets[k]; bucket != nil {
		return bucket
	}
	if len(b.buckets) >= b.cfg.MaxBuckets {
		b.evict(now)
	}
	refillPerSecond := b.cfg.RefillPerSecond
	if k.Account == "" {
		refillPerSecond *= serviceBurstFactor
	}
	bucket := NewBucket(now, b.burst(k), refillPerSecond)
	b.buckets[k] = bucket
	return bucket
}

// evict removes full buckets, which are equivalent to new ones, and, if that is
// not enough, arbitrary ones down to seven eighths of MaxBuckets. Without it,
// accounts that send a single request each would exhaust the memory.
func (b *Budget) evict(now time.Duration) {
	for k, bucket := range b.buckets {
		bucket.refill(now)
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
