package engine

import (
	"math"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/standin/model"
)

// The headers of the protocol between filbertdeck and an engine.
const (
	HeaderGeneration = "Filbert-Generation"
	HeaderPriority   = "Filbert-Priority"
	HeaderFence      = "Filbert-Fence"
	HeaderExecuted   = "Filbert-Executed"
)

// charsPerToken is the average number of characters per token that is commonly
// assumed for English prompts.
const charsPerToken = 4

// crashMarker in a prompt makes the engine crash when it runs the prompt.
const crashMarker = "[crash]"

// lengthMarker in a prompt specifies the output length.
var lengthMarker = regexp.MustCompile(`\[tokens=(\d{1,7})\]`)

// LengthDistribution is a log-normal distribution of output lengths, in tokens.
// The defaults are those of the mixed load in the design's trial: median 300,
// sigma 1.
type LengthDistribution struct {
	MedianTokens float64
	Sigma        float64
	// MaxTokens limits a length if the request has no max_tokens.
	MaxTokens int
	Seed      uint64
}

const (
	defaultMedianTokens = 300
	defaultSigma        = 1.0
	defaultMaxTokens    = 16384
)

func (l LengthDistribution) withDefaults() LengthDistribution {
	if l.MedianTokens == 0 {
		l.MedianTokens = defaultMedianTokens
	}
	if l.Sigma == 0 {
		l.Sigma = defaultSigma
	}
	if l.MaxTokens == 0 {
		l.MaxTokens = defaultMaxTokens
	}
	return l
}

// sample returns the length of a generation. The same seed and id always give the
// same length.
func (l LengthDistribution) sample(id string) int {
	rng := rand.New(rand.NewPCG(l.Seed, xxhash.Sum64String(id)))
	return max(1, int(l.MedianTokens*math.Exp(l.Sigma*rng.NormFloat64())))
}

// completionRequest holds the used fields of an OpenAI-compatible completion
// request.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// newGeneration creates a generation and its job from a request.
func (s *Server) newGeneration(r *http.Request, body completionRequest) (*generation, model.Job, error) {
	id := r.Header.Get(HeaderGeneration)
	if id == "" {
		id = uuid.NewString()
	}
	if err := checkID(id); err != nil {
		return nil, model.Job{}, err
	}
	priority, err := parsePriority(r)
	if err != nil {
		return nil, model.Job{}, err
	}
	g := &generation{id: id, priority: priority, state: StateRunning, streams: map[*stream]struct{}{}}
	g.promptTokens = (len(body.Prompt) + charsPerToken - 1) / charsPerToken
	g.outputTokens, g.finishReason = s.outputLength(id, body)
	return g, model.Job{
		Priority: priority, PromptTokens: g.promptTokens, OutputTokens: g.outputTokens,
		Prefix: model.PrefixChain(body.Prompt), Crash: strings.Contains(body.Prompt, crashMarker),
	}, nil
}

// outputLength returns the output length of a generation and its finish reason.
func (s *Server) outputLength(id string, body completionRequest) (int, string) {
	length := 0
	if match := lengthMarker.FindStringSubmatch(body.Prompt); match != nil {
		length, _ = strconv.Atoi(match[1])
		length = max(1, length)
	} else {
		length = s.cfg.OutputLengths.sample(id)
	}
	limit := s.cfg.OutputLengths.MaxTokens
	if body.MaxTokens > 0 {
		limit = body.MaxTokens
	}
	if length > limit {
		return limit, finishLength
	}
	return length, finishStop
}

func parsePriority(r *http.Request) (int, error) {
	text := r.Header.Get(HeaderPriority)
	if text == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		return 0, failure.Wrap(err, failure.KindBadRequest, "%s: %q is not an integer", HeaderPriority, text)
	}
	return n, nil
}
