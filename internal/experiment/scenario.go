package experiment

import (
	"math"
	"math/rand/v2"
	"time"

	"filbertdeck/internal/standin/model"
)

// TokenDistribution is a log-normal distribution of token counts.
type TokenDistribution struct {
	Median float64
	Sigma  float64
}

func (l TokenDistribution) sample(rng *rand.Rand) int {
	return max(1, int(l.Median*math.Exp(l.Sigma*rng.NormFloat64())))
}

// RequestClass describes a stream of similar requests of one account.
type RequestClass struct {
	Account string
	// Weight is the account's weight, equal in all classes of an account.
	Weight float64
	// Rate is the Poisson arrival rate per second. 0 means a closed loop that
	// keeps Backlog requests waiting or running at all times.
	Rate    float64
	Backlog int
	// Start and End bound the time in which the class sends; End 0 means no end.
	Start, End     time.Duration
	Prompt, Output TokenDistribution
	// MaxTokens is the output limit that callers state in the request.
	MaxTokens int
	// MaxWait is how long a caller waits for the first token.
	MaxWait time.Duration
	// Watched marks the classes whose latency the scenario examines; their first
	// token times are also printed separately.
	Watched bool
	// CrashesEngine makes requests crash the engine that runs them; all share one
	// fingerprint.
	CrashesEngine bool
	// SharedPrefixes is the number of distinct prefixes, each half a prompt long,
	// that prompts share; 0 means that no prefixes are shared.
	SharedPrefixes int
}

// FaultKind is the kind of a fault injected into an engine.
type FaultKind int

// The kinds of faults. FaultCold makes a running engine cold again,
// FaultLeave marks an engine as leaving and FaultReturn undoes that.
const (
	FaultSlow FaultKind = iota + 1
	FaultCrash
	FaultCold
	FaultLeave
	FaultReturn
)

// Fault is a fault injected into one engine at a given time.
type Fault struct {
	At     time.Duration
	Engine int
	Kind   FaultKind
	// Factor multiplies step times for FaultSlow.
	Factor float64
}

// Scenario is a load on a few engines and the policies to compare under it.
type Scenario struct {
	Name, About string
	Engines     int
	Engine      model.Config
	// Plain makes the engines represent plain services, which report no memory.
	Plain    bool
	Duration time.Duration
	// Warmup is the time at the start that is excluded from the measurements.
	Warmup   time.Duration
	Classes  []RequestClass
	Faults   []Fault
	Policies []PolicySpec
}

const (
	maxOutputTokens = 8192
	unboundedWait   = 10 * time.Hour
	callerTimeout   = 20 * time.Second
	minute          = time.Minute
)

// The mixes of prompt and output lengths, in tokens, that the design trial used.
var (
	mixedPrompt, mixedOutput = TokenDistribution{400, 0.8}, TokenDistribution{300, 0.8}
	longPrompt, longOutput   = TokenDistribution{100, 0.5}, TokenDistribution{1500, 0.5}
	widePrompt, wideOutput   = TokenDistribution{200, 0.8}, TokenDistribution{100, 2}
)

// warmEngineConfig configures an engine of full size that has been running for a
// while. It is limited by memory, not by the batch size.
func warmEngineConfig() model.Config {
	cfg := model.DefaultConfig()
	cfg.WarmUpTime, cfg.WarmCapacity = 0, 256
	return cfg
}

// closedLoopClass returns a class that keeps a full queue of one mix of lengths.
func closedLoopClass(account string, weight float64, prompt, output TokenDistribution, backlog int) RequestClass {
	return RequestClass{
		Account: account, Weight: weight, Backlog: backlog, Prompt: prompt, Output: output,
		MaxTokens: maxOutputTokens, MaxWait: unboundedWait,
	}
}

// openLoopClass returns a class that sends at a rate, whose callers wait for
// callerTimeout.
func openLoopClass(account string, rate float64) RequestClass {
	return RequestClass{
		Account: account, Weight: 1, Rate: rate, Prompt: mixedPrompt, Output: mixedOutput,
		MaxTokens: maxOutputTokens, MaxWait: callerTimeout,
	}
}

// engineArrivalRate is the number of requests of the mixed lengths that one warm
// engine serves per second: the tokens per second of the saturated scenario
// "mix-mixed" divided by the mean output of 413 tokens.
const engineArrivalRate = 6.4

// tenAccounts returns one class for each of ten accounts that share a load, which
// is given as a fraction of the engines' capacity.
func tenAccounts(load float64, engines int) []RequestClass {
	const accounts = 10
	classes := make([]RequestClass, accounts)
	for i := range classes {
		classes[i] = openLoopClass(accountName(i), load*engineArrivalRate*float64(engines)/accounts)
	}
	return classes
}

func accountName(i int) string { return "account-" + string(rune('a'+i)) }

func asWatched(c RequestClass) RequestClass {
	c.Watched = true
	return c
}

func mixScenario(name, about string, classes ...RequestClass) Scenario {
	return Scenario{
		Name: "mix-" + name, About: about, Engines: 2, Engine: warmEngineConfig(),
		Duration: 6 * minute, Warmup: minute, Classes: classes, Policies: memoryPolicies(),
	}
}

// Scenarios returns all scenarios in the order in which they are printed.
func Scenarios() []Scenario {
	list := []Scenario{
		mixScenario("mixed", "always a full queue, outputs of median 300", closedLoopClass("a", 1, mixedPrompt, mixedOutput, 600)),
		mixScenario("long", "always a full queue, long reports of median 1500", closedLoopClass("a", 1, longPrompt, longOutput, 600)),
		mixScenario("wide", "always a full queue, outputs of median 100, sigma 2", closedLoopClass("a", 1, widePrompt, wideOutput, 800)),
		mixScenario("shift", "the mix shifts every 90 s: mixed, long, wide, long", shiftingClasses()...),
		fairnessScenario("fairness-start", minute), fairnessScenario("fairness", 3*minute), burstScenario(), hotAccountScenario(), hotKeyScenario(), slowTargetScenario(), longAmongShortScenario(),
	}
	for _, load := range []struct {
		name   string
		factor float64
	}{{"1.2", 1.2}, {"2", 2}, {"5", 5}} {
		list = append(list, overloadScenario(load.name, load.factor))
	}
	return append(list, lookupScenario("idle", 0), lookupScenario("overload", 5),
		coldTargetScenario(), dataCentreScenario(), poisonScenario(), twoFaultsScenario())
}

func shiftingClasses() []RequestClass {
	const phase = 90 * time.Second
	var classes []RequestClass
	for i, l := range []struct{ prompt, output TokenDistribution }{
		{mixedPrompt, mixedOutput}, {longPrompt, longOutput}, {widePrompt, wideOutput}, {longPrompt, longOutput},
	} {
		c := closedLoopClass("a", 1, l.prompt, l.output, 450)
		c.Start, c.End = time.Duration(i)*phase, time.Duration(i+1)*phase
		classes = append(classes, c)
	}
	return classes
}

// fairnessScenario measures fairness after the given warm-up: a short one includes
// the time in which the queue's counters converge, a long one excludes it.
func fairnessScenario(name string, warmup time.Duration) Scenario {
	return Scenario{
		Name: name, About: "four backlogged accounts of weights 4, 2, 1, 1 and unlike lengths",
		Engines: 4, Engine: warmEngineConfig(), Duration: warmup + 4*minute, Warmup: warmup,
		Classes: []RequestClass{
			closedLoopClass("a", 4, mixedPrompt, mixedOutput, 240),
			closedLoopClass("b", 2, longPrompt, longOutput, 240),
			closedLoopClass("c", 1, mixedPrompt, TokenDistribution{50, 0.8}, 240),
			closedLoopClass("d", 1, TokenDistribution{1000, 0.8}, mixedOutput, 240),
		},
		Policies: queuePolicies(),
	}
}

func burstScenario() Scenario {
	c := openLoopClass("burst", 3*2*engineArrivalRate)
	c.Start, c.End = 60*time.Second, 70*time.Second
	var classes []RequestClass
	for _, small := range tenAccounts(0.6, 2) {
		classes = append(classes, asWatched(small))
	}
	return Scenario{
		Name: "burst", About: "ten accounts at 0.6 of capacity; one more sends 3 times capacity for 10 s",
		Engines: 2, Engine: warmEngineConfig(), Duration: 3 * minute, Warmup: 30 * time.Second,
		Classes: append(classes, c), Policies: queuePolicies(),
	}
}

func hotAccountScenario() Scenario {
	var classes []RequestClass
	for _, small := range tenAccounts(0.5, 2) {
		classes = append(classes, asWatched(small))
	}
	return Scenario{
		Name: "hot-account", About: "ten accounts at 0.5 of capacity, a hot one at 3 times",
		Engines: 2, Engine: warmEngineConfig(), Duration: 3 * minute, Warmup: 30 * time.Second,
		Classes: append(classes, openLoopClass("hot", 3*2*engineArrivalRate)), Policies: queuePolicies(),
	}
}

func hotKeyScenario() Scenario {
	classes := tenAccounts(0.7, 4)
	for i := range classes {
		classes[i].Prompt, classes[i].SharedPrefixes = TokenDistribution{3000, 0.2}, 8
	}
	return Scenario{
		Name: "hot-key", About: "prompts of 3000 tokens, half of each one of eight shared prefixes",
		Engines: 4, Engine: warmEngineConfig(), Duration: 3 * minute, Warmup: 30 * time.Second,
		Classes: classes, Policies: balancingPolicies(),
	}
}

func slowTargetScenario() Scenario {
	return Scenario{
		Name: "slow-target", About: "one of four engines runs at a fifth of its speed for a minute, load 0.6",
		Engines: 4, Engine: warmEngineConfig(), Duration: 3 * minute, Warmup: 30 * time.Second, Classes: tenAccounts(0.6, 4),
		Faults: []Fault{
			{At: 60 * time.Second, Engine: 1, Kind: FaultSlow, Factor: 5},
			{At: 120 * time.Second, Engine: 1, Kind: FaultSlow, Factor: 1},
		},
		Policies: balancingPolicies(),
	}
}

func longAmongShortScenario() Scenario {
	long := closedLoopClass("reports", 1, longPrompt, longOutput, 100)
	short := openLoopClass("clerks", 6)
	short.Output, short.Watched = TokenDistribution{60, 0.5}, true
	return Scenario{
		Name: "long-among-short", About: "a backlog of long reports, and short summaries of another account",
		Engines: 2, Engine: warmEngineConfig(), Duration: 4 * minute, Warmup: minute,
		Classes: []RequestClass{long, short}, Policies: queuePolicies(),
	}
}

func overloadScenario(name string, factor float64) Scenario {
	return Scenario{
		Name: "overload-" + name, About: "ten accounts at " + name + " times capacity, callers wait 20 s",
		Engines: 2, Engine: warmEngineConfig(), Duration: 3 * minute, Warmup: minute,
		Classes: tenAccounts(factor, 2), Policies: overloadPolicies(),
	}
}

// lookupScenario sends calls of a plain service, each of one short step. Each of
// the two servers handles 16 calls at once in 20 ms, which is 800 a second.
func lookupScenario(name string, hotLoad float64) Scenario {
	const capacity = 2 * 16 / 0.020
	cfg := model.DefaultConfig()
	cfg.WarmUpTime, cfg.WarmCapacity, cfg.MaxBatch = 0, 16, 16
	cfg.BaseStep, cfg.PerSequence, cfg.PerPromptToken = 20*time.Millisecond, time.Nanosecond, time.Nanosecond
	lookupClass := func(account string, rate float64) RequestClass {
		return RequestClass{
			Account: account, Weight: 1, Rate: rate, Prompt: TokenDistribution{1, 0}, Output: TokenDistribution{1, 0},
			MaxTokens: 1, MaxWait: 2 * time.Second,
		}
	}
	var classes []RequestClass
	for i := range 10 {
		classes = append(classes, asWatched(lookupClass(accountName(i), capacity/100)))
	}
	if hotLoad > 0 {
		classes = append(classes, lookupClass("hot", hotLoad*capacity))
	}
	return Scenario{
		Name: "lookups-" + name, About: "gate lookups of ten accounts at 0.1 of capacity, a hot one at the rest",
		Engines: 2, Engine: cfg, Plain: true, Duration: 16 * time.Second, Warmup: 8 * time.Second,
		Classes: classes, Policies: queuePolicies(),
	}
}

func coldTargetScenario() Scenario {
	cfg := model.DefaultConfig()
	return Scenario{
		Name: "cold-target", About: "all four start cold; one crashes and is back after 5 s, one turns cold in place; load 0.5",
		Engines: 4, Engine: cfg, Duration: 4 * minute, Warmup: 90 * time.Second, Classes: tenAccounts(0.5, 4),
		Faults: []Fault{
			{At: 100 * time.Second, Engine: 1, Kind: FaultCrash},
			{At: 160 * time.Second, Engine: 2, Kind: FaultCold},
		},
		Policies: balancingPolicies(),
	}
}

func dataCentreScenario() Scenario {
	return Scenario{
		Name: "data-centre", About: "two of four engines leave at 60 s, return at 120 s; load 0.45",
		Engines: 4, Engine: warmEngineConfig(), Duration: 4 * minute, Warmup: 30 * time.Second, Classes: tenAccounts(0.45, 4),
		Faults: []Fault{
			{At: 60 * time.Second, Engine: 0, Kind: FaultLeave}, {At: 60 * time.Second, Engine: 1, Kind: FaultLeave},
			{At: 120 * time.Second, Engine: 0, Kind: FaultReturn}, {At: 120 * time.Second, Engine: 1, Kind: FaultReturn},
		},
		Policies: balancingPolicies(),
	}
}

func poisonScenario() Scenario {
	poison := openLoopClass("poison", 0.2)
	poison.CrashesEngine = true
	poison.Start, poison.End = 60*time.Second, 120*time.Second
	return Scenario{
		Name: "poison", About: "a caller sends a request that kills its engine every 5 s for a minute; engines restart after 5 s; load 0.4",
		Engines: 4, Engine: warmEngineConfig(), Duration: 4 * minute, Warmup: 30 * time.Second,
		Classes: append(tenAccounts(0.4, 4), poison), Policies: balancingPolicies(),
	}
}

func twoFaultsScenario() Scenario {
	return Scenario{
		Name: "two-faults", About: "load 0.8; one engine slows to a fifth at 60 s, another crashes at 70 s and is back at 75 s",
		Engines: 4, Engine: warmEngineConfig(), Duration: 4 * minute, Warmup: 30 * time.Second, Classes: tenAccounts(0.8, 4),
		Faults: []Fault{
			{At: 60 * time.Second, Engine: 1, Kind: FaultSlow, Factor: 5},
			{At: 70 * time.Second, Engine: 2, Kind: FaultCrash},
			{At: 120 * time.Second, Engine: 1, Kind: FaultSlow, Factor: 1},
		},
		Policies: overloadPolicies(),
	}
}
