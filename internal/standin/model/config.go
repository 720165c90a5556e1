package model

import "time"

// FallOver says what an engine does when it is loaded with more than it bears.
type FallOver int

// The ways to fall over.
const (
	// FallOverStall stops all progress for Config.StallTime; the engine is cold
	// after that.
	FallOverStall FallOver = iota
	// FallOverCrash ends the engine.
	FallOverCrash
)

// Config holds the engine's figures. A zero field takes the value of DefaultConfig,
// but for those that say otherwise.
type Config struct {
	// MemoryTokens is the memory for keys and values, in tokens.
	MemoryTokens int
	// MaxBatch bounds the running sequences, MaxWaiting those in the queue.
	MaxBatch, MaxWaiting int
	// BaseStep is the time of an empty batch step; each decoding sequence adds
	// PerSequence, each prompt token computed in the step adds PerPromptToken.
	BaseStep, PerSequence, PerPromptToken time.Duration
	// PrefillChunk bounds the prompt tokens computed in one step.
	PrefillChunk int
	// WarmUpTime is the time of serving in which a cold engine comes to bear
	// FullBears requests; it begins with one. 0 means that it starts warm.
	WarmUpTime   time.Duration
	WarmCapacity int
	// FallOver and StallTime say what too much load does to a cold engine.
	FallOver  FallOver
	StallTime time.Duration
	// ColdGrace is the time after a warm engine turned cold in which too much
	// load slows it but does not yet make it fall over.
	ColdGrace time.Duration
	// ReportLag is the age of a load report. Negative means none.
	ReportLag time.Duration
	// CacheBlocks is the size of the prefix cache, in blocks of BlockTokens.
	CacheBlocks int
	// CacheLag is the age of cache events; CacheLoss is the part of them that is
	// lost, between 0 and 1, which shows as a gap. 0 means none for both.
	CacheLag  time.Duration
	CacheLoss float64
	// Incarnation is told in reports; each restart counts it up.
	Incarnation uint64
	// Seed drives what is random: the loss of cache events.
	Seed uint64
}

// BlockTokens is the tokens of one prefix block: 64 characters of a prompt at
// the usual four characters a token.
const BlockTokens = 16

// coldSlowdown multiplies the step time of a cold engine that runs more than
// it bears: graph compilation and weight loading compete with serving.
const coldSlowdown = 3

// DefaultConfig gives the figures of one engine of the target size.
//
// 10,000 servers make 12 million tokens a second, 1,200 each. With these step
// times 20 sequences make 1,330 tokens a second, 50 make 2,200, and at 204
// sequences a step takes the 61 ms that the users allow between tokens. The
// memory holds about 50 sequences of 2,000 tokens, so that memory and not the
// batch is what long reports run out of. Prompt tokens cost 20 microseconds
// each, 50,000 a second, the usual order for a server of eight accelerators;
// a chunk of 512 adds 10 ms to the others' step.
func DefaultConfig() Config {
	return Config{
		MemoryTokens: 100_000, MaxBatch: 256, MaxWaiting: 1024,
		BaseStep: 10 * time.Millisecond, PerSequence: 250 * time.Microsecond,
		PerPromptToken: 20 * time.Microsecond, PrefillChunk: 512,
		WarmUpTime: 20 * time.Second, WarmCapacity: 64,
		FallOver: FallOverStall, StallTime: 15 * time.Second, ColdGrace: time.Second,
		ReportLag: 500 * time.Millisecond, CacheBlocks: 4096,
		CacheLag: 300 * time.Millisecond, CacheLoss: 0.02, Incarnation: 1,
	}
}

// withDefaults fills the fields whose zero value means nothing.
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
	setTime(&c.StallTime, d.StallTime)
	setTime(&c.ReportLag, d.ReportLag)
	if c.Incarnation == 0 {
		c.Incarnation = 1
	}
	return c
}
