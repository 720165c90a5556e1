package model

import "time"

// OverloadEffect is the effect of more jobs than the capacity on a cold engine.
type OverloadEffect int

// The effects of overload.
const (
	// OverloadStall stops all progress for Config.OverloadStallTime and resets
	// the warm-up.
	OverloadStall OverloadEffect = iota
	// OverloadCrash crashes the engine.
	OverloadCrash
)

// Config holds the parameters of an engine. A zero field takes the value of
// DefaultConfig, unless its comment or withDefaults gives zero a meaning.
type Config struct {
	// MemoryTokens is the capacity of the KV cache, in tokens.
	MemoryTokens int
	// MaxBatch limits the running sequences, MaxWaiting the queued ones.
	MaxBatch, MaxWaiting int
	// BaseStep is the duration of an empty batch step. The other two are added
	// for each decoding sequence and for each prompt token computed in the step.
	BaseStep, PerSequence, PerPromptToken time.Duration
	// PrefillChunk limits the prompt tokens computed in one step.
	PrefillChunk int
	// WarmUpTime is the serving time in which the capacity of a cold engine grows
	// from one job to that of a warm engine, which the second field holds. 0 means
	// that the engine starts warm.
	WarmUpTime   time.Duration
	WarmCapacity int
	// OverloadEffect is the effect of overload on a cold engine;
	// OverloadStallTime is the duration of a stall.
	OverloadEffect    OverloadEffect
	OverloadStallTime time.Duration
	// ColdGracePeriod is the time after a running engine lost its warm-up in
	// which overload slows it down but does not stall or crash it.
	ColdGracePeriod time.Duration
	// ReportLag is the age of a load report. Negative means no lag.
	ReportLag time.Duration
	// CacheBlocks is the size of the prefix cache, in blocks of BlockTokens.
	CacheBlocks int
	// CacheLag is the age at which cache events become visible. CacheLossRate is
	// the fraction of events, from 0 to 1, that are lost; readers see a gap for
	// them. 0 means no lag and no loss.
	CacheLag      time.Duration
	CacheLossRate float64
	// Incarnation is stated in reports; each restart increments it.
	Incarnation uint64
	// Seed is the seed of the random loss of cache events.
	Seed uint64
}

// BlockTokens is the number of tokens in a prefix block: 64 characters of a
// prompt at the usual four characters per token.
const BlockTokens = 16

// coldSlowdownFactor multiplies the step duration of a cold engine that has more
// jobs than its capacity: graph compilation and weight loading compete with
// serving.
const coldSlowdownFactor = 3

// DefaultConfig returns the parameters of one engine in a deployment of the
// planned size.
//
// 10,000 servers produce 12 million tokens per second, 1,200 each. With these
// step durations, 20 sequences produce 1,330 tokens per second and 50 produce
// 2,200; at 204 sequences a step takes 61 ms, the maximum time between tokens
// that users accept. The memory holds about 50 sequences of 2,000 tokens, so that
// long outputs are limited by memory, not by the batch size. A prompt token takes
// 20 microseconds, which gives 50,000 per second, the usual order of magnitude
// for a server with eight accelerators. A chunk of 512 prompt tokens adds 10 ms
// to the step of the other sequences.
func DefaultConfig() Config {
	return Config{
		MemoryTokens: 100_000, MaxBatch: 256, MaxWaiting: 1024,
		BaseStep: 10 * time.Millisecond, PerSequence: 250 * time.Microsecond,
		PerPromptToken: 20 * time.Microsecond, PrefillChunk: 512,
		WarmUpTime: 20 * time.Second, WarmCapacity: 64,
		OverloadEffect: OverloadStall, OverloadStallTime: 15 * time.Second, ColdGracePeriod: time.Second,
		ReportLag: 500 * time.Millisecond, CacheBlocks: 4096,
		CacheLag: 300 * time.Millisecond, CacheLossRate: 0.02, Incarnation: 1,
	}
}

// withDefaults sets the fields for which zero has no meaning of its own.
func (c Config) withDefaults() Config {
	d := DefaultConfig()
	setInt := func(field *int, value int) {
		if *field == 0 {
			*field = value
		}
	}
	setTime := func(field *time.Duration, value time.Duration) {
		if *field == 0 {
			*field = value
		}
	}
	setInt(&c.MemoryTokens, d.MemoryTokens)
	setInt(&c.MaxBatch, d.MaxBatch)
	setInt(&c.MaxWaiting, d.MaxWaiting)
	setInt(&c.PrefillChunk, d.PrefillChunk)
	setInt(&c.WarmCapacity, d.WarmCapacity)
	setInt(&c.CacheBlocks, d.CacheBlocks)
	setTime(&c.BaseStep, d.BaseStep)
	setTime(&c.PerSequence, d.PerSequence)
	setTime(&c.PerPromptToken, d.PerPromptToken)
	setTime(&c.OverloadStallTime, d.OverloadStallTime)
	setTime(&c.ReportLag, d.ReportLag)
	if c.Incarnation == 0 {
		c.Incarnation = 1
	}
	return c
}
