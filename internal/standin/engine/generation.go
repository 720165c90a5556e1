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
	// StateLost means that the engine died.
	StateLost State = "lost"
)

// The reasons of a generation's end that callers see.
const (
	finishStop   = "stop"
	finishLength = "length"
)

// tailLength is the characters of the generation's id in each word.
const tailLength = 6

// maxID bounds a generation's id.
const maxID = 128

// generation is one answer being made; the server's lock guards it.
type generation struct {
	id           string
	job          model.JobID
	incarnation  uint64
	priority     int
	promptTokens int
	length       int
	finish       string
	produced     int
	preemptions  int
	state        State
	ended        time.Time
	streams      map[*stream]struct{}
}

// notify wakes the generation's streams.
func (g *generation) notify() {
	for st := range g.streams {
		st.nudge()
	}
}

// Record is what GET /admin/records tells of a generation.
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
		Length: g.length, Produced: g.produced, Preemptions: g.preemptions, State: g.state,
	}
}

// Records lists every generation started, oldest first.
func (s *Server) Records() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Record, 0, len(s.records))
	for _, g := range s.records {
		out = append(out, g.record())
	}
	return out
}

// Tail gives the part of a generation's id that its words carry.
func Tail(id string) string { return id[max(0, len(id)-tailLength):] }

// Word gives the word at an index of a generation, with the space after it.
func Word(id string, index int) string { return string(appendWord(nil, Tail(id), index)) }

func appendWord(b []byte, tail string, index int) []byte {
	b = append(b, 'w')
	b = strconv.AppendInt(b, int64(index), 10)
	b = append(b, '-')
	b = append(b, tail...)
	return append(b, ' ')
}

// checkID allows ids that stand in JSON and in a path as they are.
func checkID(id string) error {
	if id == "" || len(id) > maxID {
		return failure.New(failure.KindBadRequest, "Filbert-Generation: 1 to %d characters are allowed", maxID)
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' || c == '"' || c == '\\' || c == '/' || c == '%' || c == '?' || c == '#' {
			return failure.New(failure.KindBadRequest, "Filbert-Generation: character %q is not allowed", c)
		}
	}
	return nil
}

// admit starts a generation; the lock is held.
func (s *Server) admit(g *generation, job model.Job) error {
	if s.generations[g.id] != nil {
		return failure.New(failure.KindInProgress, "generation %q was started before", g.id)
	}
	s.nextJob++
	g.job, job.ID = s.nextJob, s.nextJob
	g.incarnation = s.model.Report(s.now()).Incarnation
	if err := s.model.Submit(s.now(), job); err != nil {
		return err
	}
	s.generations[g.id], s.jobs[g.job] = g, g
	s.records = append(s.records, g)
	if len(s.records) > maxRecords {
		delete(s.generations, s.records[0].id)
		s.records = s.records[1:]
	}
	s.nudge()
	return nil
}

// find gives a generation that can still be followed; the lock is held.
func (s *Server) find(id string) *generation {
	g := s.generations[id]
	if g == nil || g.state == StateCancelled {
		return nil
	}
	if g.state != StateRunning && time.Since(g.ended) > s.cfg.Retain {
		return nil
	}
	return g
}

// cancel stops a generation that runs; the lock is held.
func (s *Server) cancel(g *generation) {
	if g.state != StateRunning {
		return
	}
	s.model.Cancel(s.now(), g.job)
	s.end(g, StateCancelled)
	s.nudge()
}
