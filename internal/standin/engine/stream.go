package engine

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"filbertdeck/internal/standin/web"
)

// maxFrameTokens limits the tokens of one event, for a stream that resumes far
// behind the generation.
const maxFrameTokens = 256

// stream is a connection that receives the output of a generation. The server's
// lock protects its flags.
type stream struct {
	generation *generation
	wake       chan struct{}
	aborted    bool
	silent     bool
}

func (st *stream) signal() {
	select {
	case st.wake <- struct{}{}:
	default:
	}
}

// abort makes the stream close its connection without an end marker.
func (st *stream) abort() {
	st.aborted = true
	st.signal()
}

// streamSnapshot is the state of a stream and its generation at one time.
type streamSnapshot struct {
	produced        int
	state           State
	aborted, silent bool
}

func (s *Server) snapshot(st *stream) streamSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := st.generation
	return streamSnapshot{produced: g.producedTokens, state: g.state, aborted: st.aborted, silent: st.silent}
}

// attachStream adds a stream to a generation; the caller holds the lock.
func (s *Server) attachStream(g *generation) *stream {
	st := &stream{generation: g, wake: make(chan struct{}, 1)}
	s.streams[st] = struct{}{}
	g.streams[st] = struct{}{}
	return st
}

// detachStream removes a stream. A running generation without streams is
// cancelled after Config.DisconnectGrace, unless it was resumed by then.
func (s *Server) detachStream(st *stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := st.generation
	delete(s.streams, st)
	delete(g.streams, st)
	if len(g.streams) > 0 || g.state != StateRunning {
		return
	}
	g.disconnections++
	disconnection := g.disconnections
	time.AfterFunc(s.cfg.DisconnectGrace, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if len(g.streams) == 0 && g.disconnections == disconnection {
			s.cancelGeneration(g)
		}
	})
}

// streamTokens sends the tokens of a generation from offset on as they are
// produced.
func (s *Server) streamTokens(w http.ResponseWriter, r *http.Request, st *stream, offset int) {
	defer s.detachStream(st)
	frames := newFrameWriter(w, st.generation)
	frames.writeHeader()
	keepAlive := time.NewTicker(s.cfg.KeepAliveInterval)
	defer keepAlive.Stop()
	for {
		s.waitWhileFrozen(r)
		current := s.snapshot(st)
		if current.aborted || current.state == StateCancelled || current.state == StateLost {
			web.AbortConnection()
		}
		if current.silent {
			s.holdSilently(r.Context())
			return
		}
		if sent := s.sendProduced(frames, current, offset); sent > offset {
			offset = sent
			keepAlive.Reset(s.cfg.KeepAliveInterval)
		}
		if current.state == StateFinished && offset == current.produced {
			frames.writeDone()
			return
		}
		select {
		case <-st.wake:
		case <-keepAlive.C:
			frames.writeKeepAlive()
		case <-r.Context().Done():
			return
		case <-s.closed:
			web.AbortConnection()
		}
	}
}

// sendProduced sends the tokens produced after offset and returns the new offset.
func (s *Server) sendProduced(frames *frameWriter, current streamSnapshot, offset int) int {
	end := frames.generation.outputTokens
	for offset < current.produced {
		n := min(current.produced-offset, maxFrameTokens)
		frames.appendFrame(offset, n, offset+n == end, s.takeFrameCorruption())
		offset += n
	}
	if offset == end && !frames.finalSent {
		frames.appendFrame(offset, 0, true, corruptNone)
	}
	frames.flush()
	return offset
}

// holdSilently keeps the connection open without sending, as when a middlebox on
// the path has lost the connection's state.
func (s *Server) holdSilently(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-s.closed:
	}
}

// frameWriter writes the server-sent events of one stream.
type frameWriter struct {
	w          http.ResponseWriter
	control    *http.ResponseController
	generation *generation
	pending    []byte
	finalSent  bool
}

func newFrameWriter(w http.ResponseWriter, g *generation) *frameWriter {
	return &frameWriter{w: w, control: http.NewResponseController(w), generation: g}
}

func (f *frameWriter) writeHeader() {
	h := f.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderGeneration, f.generation.id)
	f.w.WriteHeader(http.StatusOK)
	_ = f.control.Flush()
}

// appendFrame adds an event with n tokens from offset on to the pending output.
func (f *frameWriter) appendFrame(offset, n int, final bool, corruption frameCorruption) {
	generationID, sentOffset := f.generation.id, offset
	switch corruption {
	case corruptOffset:
		sentOffset++
	case corruptGeneration:
		generationID = "other-" + generationID
	}
	b := append(f.pending, "id: "...)
	b = strconv.AppendInt(b, int64(sentOffset+n), 10)
	b = append(b, "\ndata: {\"generation\":\""...)
	b = append(b, generationID...)
	b = append(b, "\",\"offset\":"...)
	b = strconv.AppendInt(b, int64(sentOffset), 10)
	b = append(b, ",\"text\":\""...)
	for i := range n {
		b = appendTokenText(b, IDSuffix(f.generation.id), offset+i)
	}
	b = append(b, "\",\"tokens\":"...)
	b = strconv.AppendInt(b, int64(n), 10)
	b = append(b, ",\"finish_reason\":"...)
	if final {
		b = strconv.AppendQuote(b, f.generation.finishReason)
		f.finalSent = true
	} else {
		b = append(b, "null"...)
	}
	f.pending = append(b, "}\n\n"...)
}

func (f *frameWriter) flush() {
	if len(f.pending) == 0 {
		return
	}
	_, _ = f.w.Write(f.pending)
	f.pending = f.pending[:0]
	_ = f.control.Flush()
}

func (f *frameWriter) writeKeepAlive() {
	_, _ = f.w.Write([]byte(": keep-alive\n\n"))
	_ = f.control.Flush()
}

func (f *frameWriter) writeDone() {
	_, _ = f.w.Write([]byte("data: [DONE]\n\n"))
	_ = f.control.Flush()
}
