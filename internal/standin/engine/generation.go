package engine

import (
	"strconv"
	"time"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/standin/model"
)

// State is the state of a generation.
type State string

// The states of a generation.
const (
	StateRunning   State = "running"
	StateFinished  State = "finished"
	StateCancelled State = "cancelled"
	// StateLost means that the engine crashed.
	StateLost State = "lost"
)

// The values of finish_reason.
const (
	finishStop   = "stop"
	finishLength = "length"
)

// idSuffixLength is the number of characters of the generation's id in the text
// of each token.
const idSuffixLength = 6

// maxIDLength limits the length of a generation's id, in characters.
const maxIDLength = 128

// generation is the state of a generation; the server's lock protects it.
type generation struct {
	id             string
	jobID          model.JobID
	incarnation    uint64
	priority       int
	promptTokens   int
	outputTokens   int
	finishReason   string
	producedTokens int
	preemptions    int
	state          State
	endedAt        time.Time
	streams        map[*stream]struct{}
	// disconnections counts how often the last stream was detached.
	disconnections int
}

// notify wakes the generation's streams.
func (g *generation) notifyStreams() {
	for st := range g.streams {
		st.signal()
	}
}

// Record describes a generation in the response of GET /admin/records.
type Record struct {
	Generation   string `json:"generation"`
	Incarnation  uint64 `json:"incarnation"`
	Priority     int    `json:"priority"`
	PromptTokens int    `json:"prompt_tokens"`
	Length       int    `json:"length"`
	Produced     int    `json:"produced"`
	Preemptions  int    `json:"preemptions"`
	State        State  `json:"state"`
}

func (g *generation) record() Record {
	return Record{
		Generation: g.id, Incarnation: g.incarnation, Priority: g.priority, PromptTokens: g.promptTokens,
		Length: g.outputTokens, Produced: g.producedTokens, Preemptions: g.preemptions, State: g.state,
	}
}

// Records returns the started generations, oldest first, at most maxRecords.
func (s *Server) Records() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Record, 0, len(s.records))
	for _, g := range s.records {
		out = append(out, g.record())
	}
	return out
}

// IDSuffix returns the part of a generation's id that the text of its tokens
// contains.
func IDSuffix(id string) string { return id[max(0, len(id)-idSuffixLength):] }

// TokenText returns the text of the token at an index of a generation, with a
// trailing space.
func TokenText(id string, index int) string { return string(appendTokenText(nil, IDSuffix(id), index)) }

func appendTokenText(b []byte, idSuffix string, index int) []byte {
	b = append(b, 'w')
	b = strconv.AppendInt(b, int64(index), 10)
	b = append(b, '-')
	b = append(b, idSuffix...)
	return append(b, ' ')
}

// checkID rejects ids that need escaping in JSON or in a URL path.
func checkID(id string) error {
	if id == "" || len(id) > maxIDLength {
		return failure.New(failure.KindBadRequest, "Filbert-Generation: 1 to %d characters are allowed", maxIDLength)
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' || c == '"' || c == '\\' || c == '/' || c == '%' || c == '?' || c == '#' {
			return failure.New(failure.KindBadRequest, "Filbert-Generation: character %q is not allowed", c)
		}
	}
	return nil
}

// startGeneration submits a generation to the model; the caller holds the lock.
func (s *Server) startGeneration(g *generation, job model.Job) error {
	if s.generations[g.id] != nil {
		return failure.New(failure.KindInProgress, "generation %q was already started", g.id)
	}
	s.lastJobID++
	g.jobID, job.ID = s.lastJobID, s.lastJobID
	g.incarnation = s.model.Report(s.modelTime()).Incarnation
	if err := s.model.Submit(s.modelTime(), job); err != nil {
		return err
	}
	s.generations[g.id], s.jobs[g.jobID] = g, g
	s.records = append(s.records, g)
	if len(s.records) > maxRecords {
		delete(s.generations, s.records[0].id)
		s.records = s.records[1:]
	}
	s.wakeDriver()
	return nil
}

// findResumable returns a generation whose output can still be read, or nil. The
// caller holds the lock.
func (s *Server) findResumable(id string) *generation {
	g := s.generations[id]
	if g == nil || g.state == StateCancelled {
		return nil
	}
	if g.state != StateRunning && time.Since(g.endedAt) > s.cfg.Retention {
		return nil
	}
	return g
}

// cancelGeneration cancels a running generation; the caller holds the lock.
func (s *Server) cancelGeneration(g *generation) {
	if g.state != StateRunning {
		return
	}
	s.model.Cancel(s.modelTime(), g.jobID)
	s.endGeneration(g, StateCancelled)
	s.wakeDriver()
}
