package generation

import "encoding/json"

// bufferedStreamSink serves a caller that requested a stream from a service with
// whole delivery: it sends keep-alives while it buffers, and the complete answer
// in one event at the end.
type bufferedStreamSink struct {
	documentSink
	stream *streamSink
}

func (s *bufferedStreamSink) close() { s.stream.close() }

func (s *bufferedStreamSink) keepAlive() error { return s.stream.keepAlive() }

func (s *bufferedStreamSink) restart(generation, target string) {
	s.documentSink.restart(generation, target)
	s.stream.restart(generation, target)
}

func (s *bufferedStreamSink) finish() error {
	text, err := json.Marshal(s.text.String())
	if err != nil {
		return err
	}
	frame := s.lastFrame
	frame.Text, frame.Offset, frame.Tokens = text, 0, s.tokens
	if err := s.stream.writeFrame(&frame, s.tokens); err != nil {
		return err
	}
	return s.stream.finish()
}

func (s *bufferedStreamSink) fail(err error) { s.stream.fail(err) }
