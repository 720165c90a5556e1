package loadgen

import (
	"math/rand/v2"
	"time"
)

// Arrivals says when calls start, whatever became of the calls before: an open
// loop. A loop that waits for answers would send less just when the system is
// slow and so hide the slowness.
type Arrivals struct {
	// Rate is the mean number of calls a second outside bursts.
	Rate float64
	// BurstFactor multiplies the rate for BurstFor at the end of every
	// BurstEvery; BurstEvery 0 means none.
	BurstFactor          float64
	BurstEvery, BurstFor time.Duration
	// Duration ends the run.
	Duration time.Duration
	// LengthScale multiplies the medians of prompts and outputs.
	LengthScale float64
	Seed        uint64
}

// Call is one call to make.
type Call struct {
	Number int
	// At is the intended start, from the start of the run.
	At time.Duration
	// Account is an index; the first accounts are the largest.
	Account int
	Kind    *Kind
	// PromptTokens and Length are in tokens; the system is not told Length.
	PromptTokens, Length int
}

// schedule makes the calls of a run, one after the other. The same seed gives
// the same calls.
type schedule struct {
	arrivals Arrivals
	profile  Profile
	accounts []float64
	random   *rand.Rand
	at       time.Duration
	number   int
}

// scheduleStream keeps the schedule's random numbers apart from others' of the
// same seed.
const scheduleStream = 0x66696c62

func newSchedule(a Arrivals, p Profile, accounts int) *schedule {
	return &schedule{
		arrivals: a, profile: p, accounts: accountShares(accounts),
		random: rand.New(rand.NewPCG(a.Seed, scheduleStream)),
	}
}

// accountShares gives each account the share 1/rank (Zipf's law with exponent
// 1): of ten accounts the first makes a third of the calls, the last 3%. The
// users have about ten accounts, a few large.
func accountShares(n int) []float64 {
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

// next gives the next call, and false when the run is over.
func (s *schedule) next() (Call, bool) {
	if !s.advance() {
		return Call{}, false
	}
	s.number++
	kind := &s.profile.Kinds[pick(s.random, len(s.profile.Kinds), func(i int) float64 { return s.profile.Kinds[i].Share })]
	call := Call{Number: s.number, At: s.at, Kind: kind}
	call.Account = pick(s.random, len(s.accounts), func(i int) float64 { return s.accounts[i] })
	if kind.Type == TypeStream || kind.Type == TypeWhole {
		call.PromptTokens = kind.Prompt.draw(s.random, s.arrivals.LengthScale)
		call.Length = kind.Output.draw(s.random, s.arrivals.LengthScale)
	}
	return call, true
}

// advance moves to the next arrival. A draw that crosses a change of the rate
// is made again from there, which is right since the gaps have no memory.
func (s *schedule) advance() bool {
	for {
		rate, until := s.rate()
		gap := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
		if s.at+gap < until {
			s.at += gap
			return true
		}
		s.at = until
		if s.at >= s.arrivals.Duration {
			return false
		}
	}
}

// rate gives the rate in force and the time at which it changes.
func (s *schedule) rate() (float64, time.Duration) {
	a := s.arrivals
	if a.BurstEvery <= 0 || a.BurstFor <= 0 {
		return a.Rate, a.Duration
	}
	start := s.at - s.at%a.BurstEvery
	burst := start + a.BurstEvery - a.BurstFor
	if s.at < burst {
		return a.Rate, min(burst, a.Duration)
	}
	return a.Rate * a.BurstFactor, min(start+a.BurstEvery, a.Duration)
}

// pick draws an index by its share; the shares sum to about 1.
func pick(random *rand.Rand, n int, share func(int) float64) int {
	x := random.Float64()
	for i := range n - 1 {
		if x -= share(i); x < 0 {
			return i
		}
	}
	return n - 1
}
