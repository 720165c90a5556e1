package loadgen

import (
	"math"
	"math/rand/v2"
	"time"
)

// Type says how a kind of call is made.
type Type string

// The types of calls.
const (
	// TypeStream asks for a generation and follows its stream.
	TypeStream Type = "stream"
	// TypeWhole asks for a generation and waits for the complete text.
	TypeWhole Type = "whole"
	// TypeLookup calls a plain service; the call may be repeated.
	TypeLookup Type = "lookup"
	// TypeOnce calls a plain service under an idempotency key.
	TypeOnce Type = "once"
)

// LogNormal is a heavy-tailed distribution of tokens. Its mean is Median times
// exp(Sigma squared over 2).
type LogNormal struct {
	Median float64 `json:"median"`
	Sigma  float64 `json:"sigma"`
	Max    int     `json:"max"`
}

// draw gives a number from 1 to Max.
func (l LogNormal) draw(random *rand.Rand, scale float64) int {
	n := l.Median * scale * math.Exp(l.Sigma*random.NormFloat64())
	return max(1, min(int(n), l.Max))
}

// Kind is one kind of call in a profile.
type Kind struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	Type    Type   `json:"type"`
	// Share is the part of all calls.
	Share float64 `json:"share"`
	// Prompt and Output are in tokens; plain services have none.
	Prompt LogNormal `json:"prompt"`
	Output LogNormal `json:"output"`
}

// Profile is the mix of calls of one deployment.
type Profile struct {
	Name  string `json:"name"`
	About string `json:"about"`
	Kinds []Kind `json:"kinds"`
	// StallBound is the gap between tokens beyond which a caller waits in vain.
	StallBound time.Duration `json:"stall_bound"`
}

func (p Profile) kindNames() []string {
	names := make([]string, len(p.Kinds))
	for i, k := range p.Kinds {
		names[i] = k.Name
	}
	return names
}

// stallBound is about four times the 61 ms between tokens that the target size
// allows 95 in 100: a reader notices that the text stopped.
const stallBound = 250 * time.Millisecond

// Profiles lists the deployments' mixes. The users gave kinds of work, not
// counts; the shares and lengths are ours, chosen so that generations use most
// of the engines while lookups are most of the calls.
func Profiles() []Profile {
	return []Profile{
		{
			Name:  "foundation",
			About: "long fault reports streamed to technicians, contract summaries, site lookups, work orders",
			Kinds: []Kind{
				{Name: "report", Service: "reports", Type: TypeStream, Share: 0.30,
					Prompt: LogNormal{400, 0.6, 4000}, Output: LogNormal{1500, 0.8, 8192}},
				{Name: "contract", Service: "summaries", Type: TypeWhole, Share: 0.15,
					Prompt: LogNormal{2500, 0.5, 8000}, Output: LogNormal{300, 0.7, 4096}},
				{Name: "lookup", Service: "sites", Type: TypeLookup, Share: 0.45},
				{Name: "booking", Service: "orders", Type: TypeOnce, Share: 0.10},
			},
			StallBound: stallBound,
		},
		{
			Name:  "cooperative",
			About: "waiver summaries at the gate, park reports, gate and medical-flag lookups, signatures",
			Kinds: []Kind{
				{Name: "waiver", Service: "waivers", Type: TypeWhole, Share: 0.20,
					Prompt: LogNormal{1200, 0.5, 8000}, Output: LogNormal{250, 0.7, 4096}},
				{Name: "report", Service: "reports", Type: TypeStream, Share: 0.10,
					Prompt: LogNormal{500, 0.6, 4000}, Output: LogNormal{900, 0.9, 8192}},
				{Name: "lookup", Service: "gate", Type: TypeLookup, Share: 0.55},
				{Name: "signature", Service: "signatures", Type: TypeOnce, Share: 0.15},
			},
			StallBound: stallBound,
		},
	}
}

// ProfileNamed gives a profile by its name.
func ProfileNamed(name string) (Profile, bool) {
	for _, p := range Profiles() {
		if p.Name == name {
			return p, true
		}
	}
	return Profile{}, false
}
