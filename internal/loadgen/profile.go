package loadgen

import (
	"math"
	"math/rand/v2"
	"time"
)

// CallType is the way in which a kind of call is made.
type CallType string

// Call types.
const (
	// CallTypeStream requests a generation and reads it as a stream.
	CallTypeStream CallType = "stream"
	// CallTypeWhole requests a generation and waits for the complete text.
	CallTypeWhole CallType = "whole"
	// CallTypeLookup calls a plain service; the call may be repeated.
	CallTypeLookup CallType = "lookup"
	// CallTypeOnce calls a plain service with an idempotency key.
	CallTypeOnce CallType = "once"
)

// LogNormal is a heavy-tailed distribution of token counts. Without the limit
// Max, its mean is Median times exp(Sigma squared over 2).
type LogNormal struct {
	Median float64 `json:"median"`
	Sigma  float64 `json:"sigma"`
	Max    int     `json:"max"`
}

// draw returns a random number from 1 to Max.
func (l LogNormal) draw(random *rand.Rand, scale float64) int {
	n := l.Median * scale * math.Exp(l.Sigma*random.NormFloat64())
	return max(1, min(int(n), l.Max))
}

// CallKind is one kind of call in a profile.
type CallKind struct {
	Name    string   `json:"name"`
	Service string   `json:"service"`
	Type    CallType `json:"type"`
	// Share is the fraction of all calls that are of this kind.
	Share float64 `json:"share"`
	// Prompt and Output are in tokens; plain services have none.
	Prompt LogNormal `json:"prompt"`
	Output LogNormal `json:"output"`
}

// Profile is the mix of calls of one deployment.
type Profile struct {
	Name        string     `json:"name"`
	Description string     `json:"about"`
	Kinds       []CallKind `json:"kinds"`
	// StallThreshold is the gap between tokens above which a stream counts as
	// stalled.
	StallThreshold time.Duration `json:"stall_bound"`
}

func (p Profile) kindNames() []string {
	names := make([]string, len(p.Kinds))
	for i, k := range p.Kinds {
		names[i] = k.Name
	}
	return names
}

// defaultStallThreshold is about four times the 61 ms that the requirements
// allow between tokens in 95 of 100 cases. At this gap a reader notices that
// the text has stopped.
const defaultStallThreshold = 250 * time.Millisecond

// Profiles returns the call mixes of the known deployments. The users specified
// kinds of work but no volumes. The shares and lengths are assumptions, chosen so
// that generations use most of the engine capacity while lookups are the most
// frequent calls.
func Profiles() []Profile {
	return []Profile{
		{
			Name:        "foundation",
			Description: "long fault reports streamed to technicians, contract summaries, site lookups, work orders",
			Kinds: []CallKind{
				{Name: "report", Service: "reports", Type: CallTypeStream, Share: 0.30,
					Prompt: LogNormal{400, 0.6, 4000}, Output: LogNormal{1500, 0.8, 8192}},
				{Name: "contract", Service: "summaries", Type: CallTypeWhole, Share: 0.15,
					Prompt: LogNormal{2500, 0.5, 8000}, Output: LogNormal{300, 0.7, 4096}},
				{Name: "lookup", Service: "sites", Type: CallTypeLookup, Share: 0.45},
				{Name: "booking", Service: "orders", Type: CallTypeOnce, Share: 0.10},
			},
			StallThreshold: defaultStallThreshold,
		},
		{
			Name:        "cooperative",
			Description: "waiver summaries at the gate, park reports, gate and medical-flag lookups, signatures",
			Kinds: []CallKind{
				{Name: "waiver", Service: "waivers", Type: CallTypeWhole, Share: 0.20,
					Prompt: LogNormal{1200, 0.5, 8000}, Output: LogNormal{250, 0.7, 4096}},
				{Name: "report", Service: "reports", Type: CallTypeStream, Share: 0.10,
					Prompt: LogNormal{500, 0.6, 4000}, Output: LogNormal{900, 0.9, 8192}},
				{Name: "lookup", Service: "gate", Type: CallTypeLookup, Share: 0.55},
				{Name: "signature", Service: "signatures", Type: CallTypeOnce, Share: 0.15},
			},
			StallThreshold: defaultStallThreshold,
		},
	}
}

// FindProfile returns the profile with the given name.
func FindProfile(name string) (Profile, bool) {
	for _, p := range Profiles() {
		if p.Name == name {
			return p, true
		}
	}
	return Profile{}, false
}
