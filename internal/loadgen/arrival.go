package loadgen

import (
	"math/rand/v2"
	"time"
)

// ArrivalConfig determines when calls start, regardless of the progress of
// earlier calls (open loop). A closed loop, which waits for answers, would send
// fewer calls exactly when the system is slow and so hide the slowness.
type ArrivalConfig struct {
	// Rate is the mean number of calls per second outside bursts.
	Rate float64
	// BurstFactor multiplies the rate for BurstDuration at the end of every
	// BurstInterval. A BurstInterval of 0 disables bursts.
	BurstFactor                  float64
	BurstInterval, BurstDuration time.Duration
	// Duration is the length of the run.
	Duration time.Duration
	// LengthScale multiplies the median lengths of prompts and outputs.
	LengthScale float64
	Seed        uint64
}

// Call is one call to make.
type Call struct {
	Number int
	// IntendedStart is relative to the start of the run.
	IntendedStart time.Duration
	// AccountIndex selects an account; lower indexes make more calls.
	AccountIndex int
	Kind         *CallKind
	// PromptTokens and OutputTokens are lengths in tokens. The engine stand-in
	// takes OutputTokens from the prompt; the system under test is not told it.
	PromptTokens, OutputTokens int
}

// schedule generates the calls of a run in order of their start. The same seed
// gives the same calls.
type schedule struct {
	arrivals      ArrivalConfig
	profile       Profile
	accountShares []float64
	random        *rand.Rand
	now           time.Duration
	number        int
}

// scheduleRandomStream is the second word of the PCG seed. It keeps the
// schedule's random numbers independent of others drawn from the same seed.
const scheduleRandomStream = 0x66696c62

func newSchedule(arrivals ArrivalConfig, profile Profile, accounts int) *schedule {
	return &schedule{
		arrivals: arrivals, profile: profile, accountShares: zipfShares(accounts),
		random: rand.New(rand.NewPCG(arrivals.Seed, scheduleRandomStream)),
	}
}

// zipfShares gives each account a share proportional to 1/rank (Zipf's law with
// exponent 1). Of ten accounts, the first makes a third of the calls and the
// last 3%. The users have about ten accounts, a few of them large.
func zipfShares(n int) []float64 {
	shares, sum := make([]float64, n), 0.0
	for i := range shares {
		shares[i] = 1 / float64(i+1)
		sum += shares[i]
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}

// next returns the next call, or false when the run is over.
func (s *schedule) next() (Call, bool) {
	if !s.advance() {
		return Call{}, false
	}
	s.number++
	kind := &s.profile.Kinds[pickWeighted(s.random, len(s.profile.Kinds), func(i int) float64 { return s.profile.Kinds[i].Share })]
	call := Call{Number: s.number, IntendedStart: s.now, Kind: kind}
	call.AccountIndex = pickWeighted(s.random, len(s.accountShares), func(i int) float64 { return s.accountShares[i] })
	if kind.Type == CallTypeStream || kind.Type == CallTypeWhole {
		call.PromptTokens = kind.Prompt.draw(s.random, s.arrivals.LengthScale)
		call.OutputTokens = kind.Output.draw(s.random, s.arrivals.LengthScale)
	}
	return call, true
}

// advance moves to the next arrival and returns false at the end of the run. If
// the drawn gap extends past a change of rate, it draws again from that point.
// This is correct because exponential gaps are memoryless.
func (s *schedule) advance() bool {
	for {
		rate, changesAt := s.currentRate()
		gap := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
		if s.now+gap < changesAt {
			s.now += gap
			return true
		}
		s.now = changesAt
		if s.now >= s.arrivals.Duration {
			return false
		}
	}
}

// currentRate returns the current rate and the time of its next change.
func (s *schedule) currentRate() (float64, time.Duration) {
	arrivals := s.arrivals
	if arrivals.BurstInterval <= 0 || arrivals.BurstDuration <= 0 {
		return arrivals.Rate, arrivals.Duration
	}
	periodStart := s.now - s.now%arrivals.BurstInterval
	burstStart := periodStart + arrivals.BurstInterval - arrivals.BurstDuration
	if s.now < burstStart {
		return arrivals.Rate, min(burstStart, arrivals.Duration)
	}
	return arrivals.Rate * arrivals.BurstFactor, min(periodStart+arrivals.BurstInterval, arrivals.Duration)
}

// pickWeighted draws an index with the probability of its share. The shares sum
// to about 1.
func pickWeighted(random *rand.Rand, n int, share func(int) float64) int {
	remaining := random.Float64()
	for i := range n - 1 {
		if remaining -= share(i); remaining < 0 {
			return i
		}
	}
	return n - 1
}
