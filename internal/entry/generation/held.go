package generation

import "encoding/json"

// heldStreamSink answers a caller that asked for a stream from a service whose
// answers are delivered whole: the stream shows itself to be alive, and the
// answer comes in one event at the end.
type heldStreamSink struct {
	wholeSink
	stream *streamSink
}

func (s *heldStreamSink) close() { s.stream.close() }

func (s *heldStreamSink) alive() error { return s.stream.alive() }

func (s *heldStreamSink) restart(generation, target string) {
	s.wholeSink.restart(generation, target)
	s.stream.restart(generation, target)
}

func (s *heldStreamSink) finish() error {
	text, err := json.Marshal(s.text.String())
	if err != nil {
		return err
	}
	whole := s.frame
	whole.Text, whole.Offset, whole.Tokens = text, 0, s.tokens
	if err := s.stream.token(&whole, s.tokens); err != nil {
		return err
	}
	return s.stream.finish()
}

func (s *heldStreamSink) fail(err error) { s.stream.fail(err) }
