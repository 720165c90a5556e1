package loadgen

import (
	"io"
	"slices"
	"strings"
	"time"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/settings"
)

// RunSettings are the flags and variables of filbert-load run.
type RunSettings struct {
	Entries       []string      `arg:"--entry,separate,env:FILBERT_LOAD_ENTRY" check:"hostport" help:"ip:port of an entry; repeat it to spread the callers"`
	DirectEngines []string      `arg:"--direct-engine,separate,env:FILBERT_LOAD_DIRECT_ENGINE" check:"hostport" help:"ip:port of an engine stand-in to call without the system between; repeat it"`
	DirectApps    []string      `arg:"--direct-app,separate,env:FILBERT_LOAD_DIRECT_APP" check:"hostport" help:"the same for a plain service's stand-in"`
	APIKeys       []string      `arg:"--api-key,separate,env:FILBERT_LOAD_API_KEY" secret:"true" help:"account=KEY; repeat it, largest account first"`
	Services      []string      `arg:"--service,separate,env:FILBERT_LOAD_SERVICE" help:"kind=service, to replace a kind's service; repeat it"`
	Profile       string        `arg:"--profile,env:FILBERT_LOAD_PROFILE" check:"foundation|cooperative" default:"foundation" help:"mix of calls"`
	Rate          float64       `arg:"--rate,env:FILBERT_LOAD_RATE" check:"0.001..100000" default:"10" help:"calls a second outside bursts"`
	Duration      time.Duration `arg:"--duration,env:FILBERT_LOAD_DURATION" check:"1ms..24h" default:"30s" help:"time in which calls start"`
	Warmup        time.Duration `arg:"--warmup,env:FILBERT_LOAD_WARMUP" check:"0s..24h" default:"0s" help:"first part of it that is not measured"`
	BurstFactor   float64       `arg:"--burst-factor,env:FILBERT_LOAD_BURST_FACTOR" check:"0.001..1000" default:"5" help:"rate during a burst, relative to --rate"`
	BurstEvery    time.Duration `arg:"--burst-every,env:FILBERT_LOAD_BURST_EVERY" check:"0s..24h" default:"0s" help:"time from burst to burst; 0 means none"`
	BurstFor      time.Duration `arg:"--burst-for,env:FILBERT_LOAD_BURST_FOR" check:"1ms..24h" default:"2s" help:"length of a burst"`
	LengthScale   float64       `arg:"--length-scale,env:FILBERT_LOAD_LENGTH_SCALE" check:"0.001..100" default:"1" help:"factor on the median lengths"`
	Seed          uint64        `arg:"--seed,env:FILBERT_LOAD_SEED" default:"1" help:"seed of arrivals, kinds, accounts and lengths"`
	Timeout       time.Duration `arg:"--timeout,env:FILBERT_LOAD_TIMEOUT" check:"1ms..24h" default:"10m" help:"bound of one call with all its attempts"`
	Opening       time.Duration `arg:"--opening,env:FILBERT_LOAD_OPENING" check:"1ms..1h" default:"1m" help:"time in which a stream must open or a plain service answer, the wait for admission included; then it is asked for elsewhere"`
	Silence       time.Duration `arg:"--silence,env:FILBERT_LOAD_SILENCE" check:"1ms..1h" default:"5s" help:"time without a byte after which an open stream is resumed elsewhere"`
	Attempts      int           `arg:"--attempts,env:FILBERT_LOAD_ATTEMPTS" check:"1..1000" default:"5" help:"tries of one call after lost connections, without new tokens between them"`
	MaxInProgress int           `arg:"--max-in-progress,env:FILBERT_LOAD_MAX_IN_PROGRESS" check:"1..1000000" default:"20000" help:"calls in progress beyond which new ones are not sent but counted"`
	StallBound    time.Duration `arg:"--stall-bound,env:FILBERT_LOAD_STALL_BOUND" check:"1ms..1h" default:"250ms" help:"gap between tokens beyond which time counts as stall"`
	ProgressEvery time.Duration `arg:"--progress-every,env:FILBERT_LOAD_PROGRESS_EVERY" check:"100ms..1h" default:"2s" help:"time between lines of progress on standard error"`
	Out           string        `arg:"--out,env:FILBERT_LOAD_OUT" help:"file for the JSON result; empty means standard output"`
}

// parseRun reads and checks the settings of a run. A wrong one is a
// KindSettingInvalid that names flag, variable, value and what is allowed.
func parseRun(args []string, out io.Writer) (Config, string, error) {
	s := &RunSettings{}
	if err := settings.Parse(program+" run", usage, s, args, out); err != nil {
		return Config{}, "", err
	}
	cfg, err := s.config()
	return cfg, s.Out, err
}

func (s *RunSettings) config() (Config, error) {
	if err := s.checkAddresses(); err != nil {
		return Config{}, err
	}
	if s.Warmup >= s.Duration {
		return Config{}, invalid("--warmup (FILBERT_LOAD_WARMUP)", s.Warmup.String(), "less than --duration, which is "+s.Duration.String())
	}
	profile, _ := ProfileNamed(s.Profile)
	profile.StallBound = s.StallBound
	accounts, keys, err := s.keys()
	if err != nil {
		return Config{}, err
	}
	return Config{
		Profile: profile,
		Arrivals: Arrivals{
			Rate: s.Rate, BurstFactor: s.BurstFactor, BurstEvery: s.BurstEvery, BurstFor: min(s.BurstFor, s.BurstEvery),
			Duration: s.Duration, LengthScale: s.LengthScale, Seed: s.Seed,
		},
		Target: Target{
			Entries: s.Entries, DirectEngines: s.DirectEngines, DirectApps: s.DirectApps, Accounts: accounts, Keys: keys,
			Timeout: s.Timeout, Opening: s.Opening, Silence: s.Silence, Attempts: s.Attempts,
		},
		Warmup: s.Warmup, MaxInProgress: s.MaxInProgress, ProgressEvery: s.ProgressEvery,
	}, s.rename(profile)
}

// checkAddresses wants either entries or both kinds of stand-ins.
func (s *RunSettings) checkAddresses() error {
	direct := len(s.DirectEngines) + len(s.DirectApps)
	switch {
	case len(s.Entries) == 0 && direct == 0:
		return invalid("--entry (FILBERT_LOAD_ENTRY)", "", "at least one ip:port")
	case len(s.Entries) > 0 && direct > 0:
		return invalid("--entry (FILBERT_LOAD_ENTRY)", strings.Join(s.Entries, " "), "none beside --direct-engine and --direct-app")
	case direct > 0 && len(s.DirectEngines) == 0:
		return invalid("--direct-engine (FILBERT_LOAD_DIRECT_ENGINE)", "", "at least one beside --direct-app")
	case direct > 0 && len(s.DirectApps) == 0:
		return invalid("--direct-app (FILBERT_LOAD_DIRECT_APP)", "", "at least one beside --direct-engine")
	}
	return nil
}

// keys splits account=KEY; a key never shows in an error.
func (s *RunSettings) keys() (accounts, keys []string, err error) {
	const name, allowed = "--api-key (FILBERT_LOAD_API_KEY)", "account=KEY, at least one, each account once"
	seen := map[string]bool{}
	for _, pair := range s.APIKeys {
		account, key, ok := strings.Cut(pair, "=")
		if !ok || account == "" || key == "" || seen[account] {
			return nil, nil, invalid(name, "(secret)", allowed)
		}
		seen[account] = true
		accounts, keys = append(accounts, account), append(keys, key)
	}
	if len(keys) == 0 {
		return nil, nil, invalid(name, "", allowed)
	}
	return accounts, keys, nil
}

// rename gives the profile's kinds the services that the settings name.
func (s *RunSettings) rename(p Profile) error {
	for _, pair := range s.Services {
		name, service, ok := strings.Cut(pair, "=")
		kind := slices.IndexFunc(p.Kinds, func(k Kind) bool { return k.Name == name })
		if !ok || service == "" || kind < 0 {
			return invalid("--service (FILBERT_LOAD_SERVICE)", pair, "kind=service with kind among "+strings.Join(p.kindNames(), ", "))
		}
		p.Kinds[kind].Service = service
	}
	return nil
}

func invalid(setting, value, allowed string) error {
	return failure.New(failure.KindSettingInvalid, "%s is %q; allowed: %s", setting, value, allowed)
}
