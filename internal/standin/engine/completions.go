package engine

import (
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/standin/web"
)

// writeRefusal responds to a request whose generation was not started.
func writeRefusal(w http.ResponseWriter, err error) {
	w.Header().Set(HeaderExecuted, string(failure.ExecutedNo))
	failure.Write(w, err)
}

func (s *Server) postCompletion(w http.ResponseWriter, r *http.Request) {
	var body completionRequest
	if !web.ReadJSON(w, r, &body) {
		return
	}
	g, job, err := s.newGeneration(r, body)
	if err != nil {
		writeRefusal(w, err)
		return
	}
	s.mu.Lock()
	err = s.checkFenceHeader(r.Header.Get(HeaderFence))
	if err == nil {
		err = s.startGeneration(g, job)
	}
	var st *stream
	if err == nil {
		st = s.attachStream(g)
	}
	s.mu.Unlock()
	switch {
	case failure.KindOf(err) == failure.KindFenced:
		writeFenceRefusal(w, err)
	case err != nil:
		writeRefusal(w, err)
	case body.Stream:
		s.streamTokens(w, r, st, 0)
	default:
		s.respondWhole(w, r, st, body.Model)
	}
}

func (s *Server) getGeneration(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil {
		offset = 0
	}
	s.mu.Lock()
	g := s.findResumable(id)
	if g == nil {
		s.mu.Unlock()
		failure.Write(w, unknownGenerationError(id))
		return
	}
	if offset < 0 || offset > g.producedTokens {
		produced := g.producedTokens
		s.mu.Unlock()
		failure.Write(w, failure.New(failure.KindBadRequest, "offset: 0 to %d are allowed", produced))
		return
	}
	st := s.attachStream(g)
	s.mu.Unlock()
	s.streamTokens(w, r, st, offset)
}

func (s *Server) deleteGeneration(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.generations[id]
	if g == nil {
		failure.Write(w, unknownGenerationError(id))
		return
	}
	s.cancelGeneration(g)
	w.WriteHeader(http.StatusNoContent)
}

// choice is one choice of an OpenAI-compatible completion response.
type choice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// completion is an OpenAI-compatible completion response.
type completion struct {
	ID         string   `json:"id"`
	Object     string   `json:"object"`
	Model      string   `json:"model"`
	Choices    []choice `json:"choices"`
	Usage      usage    `json:"usage"`
	Generation string   `json:"generation"`
}

// respondWhole responds with the complete text when the generation has finished.
func (s *Server) respondWhole(w http.ResponseWriter, r *http.Request, st *stream, model string) {
	defer s.detachStream(st)
	for {
		s.waitWhileFrozen(r)
		current := s.snapshot(st)
		if current.aborted || current.state == StateCancelled {
			web.AbortConnection()
		}
		if current.state == StateFinished {
			web.WriteJSON(w, http.StatusOK, newCompletion(st.generation, model))
			return
		}
		select {
		case <-st.wake:
		case <-r.Context().Done():
			return
		case <-s.closed:
			web.AbortConnection()
		}
	}
}

func newCompletion(g *generation, model string) completion {
	var text []byte
	for i := range g.outputTokens {
		text = appendTokenText(text, IDSuffix(g.id), i)
	}
	return completion{
		ID: g.id, Object: "text_completion", Model: model, Generation: g.id,
		Choices: []choice{{Text: string(text), FinishReason: g.finishReason}},
		Usage:   usage{PromptTokens: g.promptTokens, CompletionTokens: g.outputTokens},
	}
}
