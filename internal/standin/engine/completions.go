package engine

import (
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/standin/web"
)

// refuse answers a request whose generation did not start.
func refuse(w http.ResponseWriter, err error) {
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
		refuse(w, err)
		return
	}
	s.mu.Lock()
	err = s.passFence(r.Header.Get(HeaderFence))
	if err == nil {
		err = s.admit(g, job)
	}
	var st *stream
	if err == nil {
		st = s.attach(g)
	}
	s.mu.Unlock()
	switch {
	case failure.KindOf(err) == failure.KindFenced:
		refuseFenced(w, err)
	case err != nil:
		refuse(w, err)
	case body.Stream:
		s.follow(w, r, st, 0)
	default:
		s.whole(w, r, st, body.Model)
	}
}

func (s *Server) getGeneration(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil {
		offset = 0
	}
	s.mu.Lock()
	g := s.find(id)
	if g == nil {
		s.mu.Unlock()
		failure.Write(w, notFound(id))
		return
	}
	if offset < 0 || offset > g.produced {
		produced := g.produced
		s.mu.Unlock()
		failure.Write(w, failure.New(failure.KindBadRequest, "offset: 0 to %d are allowed", produced))
		return
	}
	st := s.attach(g)
	s.mu.Unlock()
	s.follow(w, r, st, offset)
}

func (s *Server) deleteGeneration(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.generations[id]
	if g == nil {
		failure.Write(w, notFound(id))
		return
	}
	s.cancel(g)
	w.WriteHeader(http.StatusNoContent)
}

// choice and completion are the usual interface's answer.
type choice struct {
	Index  int    `json:"index"`
	Text   string `json:"text"`
	Finish string `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

type completion struct {
	ID         string   `json:"id"`
	Object     string   `json:"object"`
	Model      string   `json:"model"`
	Choices    []choice `json:"choices"`
	Usage      usage    `json:"usage"`
	Generation string   `json:"generation"`
}

// whole answers with the complete text once it is there.
func (s *Server) whole(w http.ResponseWriter, r *http.Request, st *stream, model string) {
	defer s.detach(st)
	for {
		s.awaitThaw(r)
		v := s.look(st)
		if v.severed || v.state == StateCancelled {
			web.Abort()
		}
		if v.state == StateFinished {
			web.WriteJSON(w, http.StatusOK, wholeAnswer(st.generation, model))
			return
		}
		select {
		case <-st.wake:
		case <-r.Context().Done():
			return
		case <-s.closed:
			web.Abort()
		}
	}
}

func wholeAnswer(g *generation, model string) completion {
	var text []byte
	for i := range g.length {
		text = appendWord(text, Tail(g.id), i)
	}
	return completion{
		ID: g.id, Object: "text_completion", Model: model, Generation: g.id,
		Choices: []choice{{Text: string(text), Finish: g.finish}},
		Usage:   usage{PromptTokens: g.promptTokens, CompletionTokens: g.length},
	}
}
