// Package command implements the program filbert-standin. Each process runs one
// of the simulated services, which the first argument selects.
package command

import "time"

// Listen holds the setting that all simulated services have.
type Listen struct {
	Listen string `arg:"--listen,env:FILBERT_STANDIN_LISTEN" check:"hostport" default:"127.0.0.1:0" help:"ip:port to serve at; port 0 takes a free one"`
}

func (l Listen) address() string { return l.Listen }

// PlatformSettings holds the settings of the configuration service.
type PlatformSettings struct {
	Listen
	CallsPerSecond int `arg:"--calls-per-second,env:FILBERT_STANDIN_CALLS_PER_SECOND" check:"0..1000000" default:"2000" help:"rate over all readers; 0 means no limit"`
}

// EngineSettings holds the settings of the model engine.
type EngineSettings struct {
	Listen
	MemoryTokens    int           `arg:"--memory-tokens,env:FILBERT_STANDIN_MEMORY_TOKENS" check:"1..100000000" default:"100000" help:"memory for keys and values, in tokens"`
	MaxBatch        int           `arg:"--max-batch,env:FILBERT_STANDIN_MAX_BATCH" check:"1..100000" default:"256" help:"sequences in one batch"`
	BaseStep        time.Duration `arg:"--base-step,env:FILBERT_STANDIN_BASE_STEP" check:"1us..1m" default:"10ms" help:"time of an empty batch step"`
	PerSequence     time.Duration `arg:"--per-sequence,env:FILBERT_STANDIN_PER_SEQUENCE" check:"1ns..1s" default:"250us" help:"step time that each decoding sequence adds"`
	PerPromptToken  time.Duration `arg:"--per-prompt-token,env:FILBERT_STANDIN_PER_PROMPT_TOKEN" check:"1ns..1s" default:"20us" help:"step time that each prompt token adds"`
	WarmUpTime      time.Duration `arg:"--ramp-time,env:FILBERT_STANDIN_RAMP_TIME" check:"0s..1h" default:"0s" help:"serving time from cold to warm; 0 starts warm"`
	WarmCapacity    int           `arg:"--full-bears,env:FILBERT_STANDIN_FULL_BEARS" check:"1..100000" default:"64" help:"requests that a warm engine bears"`
	OverloadEffect  string        `arg:"--fall-over,env:FILBERT_STANDIN_FALL_OVER" check:"stall|crash" default:"stall" help:"what too much load does to a cold engine"`
	StallTime       time.Duration `arg:"--stall-time,env:FILBERT_STANDIN_STALL_TIME" check:"1ms..1h" default:"15s" help:"length of such a stall"`
	ReportLag       time.Duration `arg:"--report-lag,env:FILBERT_STANDIN_REPORT_LAG" check:"1ms..1m" default:"500ms" help:"age of a load report"`
	CacheLag        time.Duration `arg:"--cache-lag,env:FILBERT_STANDIN_CACHE_LAG" check:"0s..1m" default:"300ms" help:"age of cache events"`
	CacheLossRate   float64       `arg:"--cache-loss,env:FILBERT_STANDIN_CACHE_LOSS" check:"0..1" default:"0.02" help:"part of the cache events that is lost"`
	MedianTokens    float64       `arg:"--median-tokens,env:FILBERT_STANDIN_MEDIAN_TOKENS" check:"1..1000000" default:"300" help:"median of the log-normal output length"`
	SigmaTokens     float64       `arg:"--sigma-tokens,env:FILBERT_STANDIN_SIGMA_TOKENS" check:"0.001..5" default:"1" help:"sigma of the log-normal output length"`
	DisconnectGrace time.Duration `arg:"--grace,env:FILBERT_STANDIN_GRACE" check:"1ms..1h" default:"10s" help:"time that a generation runs on without a connection"`
	RestartAfter    time.Duration `arg:"--restart-after,env:FILBERT_STANDIN_RESTART_AFTER" check:"0s..1h" default:"0s" help:"time after which a crashed engine comes back cold within its process; 0 lets the process exit"`
	CheckFence      bool          `arg:"--check-fence,env:FILBERT_STANDIN_CHECK_FENCE" help:"refuse old fencing numbers"`
	Seed            uint64        `arg:"--seed,env:FILBERT_STANDIN_SEED" default:"1" help:"seed of lengths and lost cache events"`
}

// AppSettings holds the settings of the ordinary HTTP service.
type AppSettings struct {
	Listen
	Delay    time.Duration `arg:"--delay,env:FILBERT_STANDIN_DELAY" check:"0s..1h" default:"1ms" help:"time that a call takes"`
	Capacity int           `arg:"--bears,env:FILBERT_STANDIN_BEARS" check:"1..100000" default:"64" help:"concurrent calls that the load report tells"`
}
