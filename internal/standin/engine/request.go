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

// The request headers that filbertdeck sets.
const (
	HeaderGeneration = "Filbert-Generation"
	HeaderPriority   = "Filbert-Priority"
	HeaderFence      = "Filbert-Fence"
	HeaderExecuted   = "Filbert-Executed"
)

// charsPerToken is the usual rule of thumb for English prompts.
const charsPerToken = 4

// crashMark in a prompt makes the engine die when it runs it.
const crashMark = "[crash]"

var lengthMark = regexp.MustCompile(`\[tokens=(\d{1,7})\]`)

// Lengths is the log-normal distribution of output lengths, in tokens. The
// defaults are the mixed load of the design's trial: median 300, sigma 1.
type Lengths struct {
	Median float64
	Sigma  float64
	// Max bounds a length when the request does not.
	Max  int
	Seed uint64
}

const (
	defaultMedian = 300
	defaultSigma  = 1.0
	defaultMax    = 16384
)

func (l Lengths) withDefaults() Lengths {
	if l.Median == 0 {
		l.Median = defaultMedian
	}
	if l.Sigma == 0 {
		l.Sigma = defaultSigma
	}
	if l.Max == 0 {
		l.Max = defaultMax
	}
	return l
}

// draw gives the length of a generation; the same id gives the same length.
func (l Lengths) draw(id string) int {
	random := rand.New(rand.NewPCG(l.Seed, xxhash.Sum64String(id)))
	return max(1, int(l.Median*math.Exp(l.Sigma*random.NormFloat64())))
}

// completionRequest is the usual interface's body, as far as it matters here.
type completionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// newGeneration makes a generation and its job of a request.
func (s *Server) newGeneration(r *http.Request, body completionRequest) (*generation, model.Job, error) {
	id := r.Header.Get(HeaderGeneration)
	if id == "" {
		id = uuid.NewString()
	}
	if err := checkID(id); err != nil {
		return nil, model.Job{}, err
	}
	priority, err := priorityOf(r)
	if err != nil {
		return nil, model.Job{}, err
	}
	g := &generation{id: id, priority: priority, state: StateRunning, streams: map[*stream]struct{}{}}
	g.promptTokens = (len(body.Prompt) + charsPerToken - 1) / charsPerToken
	g.length, g.finish = s.length(id, body)
	return g, model.Job{
		Priority: priority, PromptTokens: g.promptTokens, OutputTokens: g.length,
		Prefix: model.PrefixChain(body.Prompt), Crash: strings.Contains(body.Prompt, crashMark),
	}, nil
}

func (s *Server) length(id string, body completionRequest) (int, string) {
	length := 0
	if mark := lengthMark.FindStringSubmatch(body.Prompt); mark != nil {
		length, _ = strconv.Atoi(mark[1])
		length = max(1, length)
	} else {
		length = s.cfg.Lengths.draw(id)
	}
	bound := s.cfg.Lengths.Max
	if body.MaxTokens > 0 {
		bound = body.MaxTokens
	}
	if length > bound {
		return bound, finishLength
	}
	return length, finishStop
}

func priorityOf(r *http.Request) (int, error) {
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
