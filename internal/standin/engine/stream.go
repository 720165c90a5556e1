package engine

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"filbertdeck/internal/standin/web"
)

// maxFrame bounds the tokens of one event, after a resume far behind.
const maxFrame = 256

// stream is one connection that follows a generation; the server's lock guards
// its flags.
type stream struct {
	generation *generation
	wake       chan struct{}
	severed    bool
	silent     bool
}

func (st *stream) nudge() {
	select {
	case st.wake <- struct{}{}:
	default:
	}
}

// sever closes the connection without an end of the stream.
func (st *stream) sever() {
	st.severed = true
	st.nudge()
}

// view is what a stream sees of its generation at one time.
type view struct {
	produced        int
	state           State
	severed, silent bool
}

func (s *Server) look(st *stream) view {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := st.generation
	return view{produced: g.produced, state: g.state, severed: st.severed, silent: st.silent}
}

// attach makes a stream of a generation; the lock is held.
func (s *Server) attach(g *generation) *stream {
	st := &stream{generation: g, wake: make(chan struct{}, 1)}
	s.streams[st] = struct{}{}
	g.streams[st] = struct{}{}
	return st
}

// detach takes a stream away. A generation that nobody follows any more is
// cancelled after the grace time, unless it was resumed.
func (s *Server) detach(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := st.generation
	delete(s.streams, st)
	delete(g.streams, st)
	if len(g.streams) > 0 || g.state != StateRunning {
		return
	}
	time.AfterFunc(s.cfg.Grace, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if len(g.streams) == 0 {
			s.cancel(g)
		}
	})
}

// follow sends a generation's tokens from offset on as they come.
func (s *Server) follow(w http.ResponseWriter, r *http.Request, st *stream, offset int) {
	defer s.detach(st)
	f := newFrameWriter(w, st.generation)
	f.open()
	quiet := time.NewTicker(s.cfg.KeepAlive)
	defer quiet.Stop()
	for {
		s.awaitThaw(r)
		v := s.look(st)
		if v.severed || v.state == StateCancelled || v.state == StateLost {
			web.Abort()
		}
		if v.silent {
			s.fallSilent(r.Context())
			return
		}
		if sent := s.send(f, v, offset); sent > offset {
			offset = sent
			quiet.Reset(s.cfg.KeepAlive)
		}
		if v.state == StateFinished && offset == v.produced {
			f.done()
			return
		}
		select {
		case <-st.wake:
		case <-quiet.C:
			f.keepAlive()
		case <-r.Context().Done():
			return
		case <-s.closed:
			web.Abort()
		}
	}
}

// send writes what was produced after offset and gives the new offset.
func (s *Server) send(f *frameWriter, v view, offset int) int {
	last := f.generation.length
	for offset < v.produced {
		n := min(v.produced-offset, maxFrame)
		f.frame(offset, n, offset+n == last, s.takeMisnumber())
		offset += n
	}
	if offset == last && !f.finished {
		f.frame(offset, 0, true, misnumberNone)
	}
	f.flush()
	return offset
}

// fallSilent keeps the connection open and sends nothing more, as when
// something between the two ends has lost track of it.
func (s *Server) fallSilent(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-s.closed:
	}
}

// frameWriter writes the events of one stream.
type frameWriter struct {
	w          http.ResponseWriter
	control    *http.ResponseController
	generation *generation
	buf        []byte
	finished   bool
}

func newFrameWriter(w http.ResponseWriter, g *generation) *frameWriter {
	return &frameWriter{w: w, control: http.NewResponseController(w), generation: g}
}

func (f *frameWriter) open() {
	h := f.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderGeneration, f.generation.id)
	f.w.WriteHeader(http.StatusOK)
	_ = f.control.Flush()
}

// frame adds an event with n tokens from offset on.
func (f *frameWriter) frame(offset, n int, final bool, wrong misnumbering) {
	id, told := f.generation.id, offset
	switch wrong {
	case misnumberOffset:
		told++
	case misnumberGeneration:
		id = "other-" + id
	}
	b := append(f.buf, "id: "...)
	b = strconv.AppendInt(b, int64(told+n), 10)
	b = append(b, "\ndata: {\"generation\":\""...)
	b = append(b, id...)
	b = append(b, "\",\"offset\":"...)
	b = strconv.AppendInt(b, int64(told), 10)
	b = append(b, ",\"text\":\""...)
	for i := range n {
		b = appendWord(b, Tail(f.generation.id), offset+i)
	}
	b = append(b, "\",\"tokens\":"...)
	b = strconv.AppendInt(b, int64(n), 10)
	b = append(b, ",\"finish_reason\":"...)
	if final {
		b = strconv.AppendQuote(b, f.generation.finish)
		f.finished = true
	} else {
		b = append(b, "null"...)
	}
	f.buf = append(b, "}\n\n"...)
}

func (f *frameWriter) flush() {
	if len(f.buf) == 0 {
		return
	}
	_, _ = f.w.Write(f.buf)
	f.buf = f.buf[:0]
	_ = f.control.Flush()
}

func (f *frameWriter) keepAlive() {
	_, _ = f.w.Write([]byte(": keep-alive\n\n"))
	_ = f.control.Flush()
}

func (f *frameWriter) done() {
	_, _ = f.w.Write([]byte("data: [DONE]\n\n"))
	_ = f.control.Flush()
}
