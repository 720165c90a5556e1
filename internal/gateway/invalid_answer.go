package gateway

import (
	"errors"
	"log/slog"

	gometrics "github.com/rcrowley/go-metrics"

	"filbertdeck/internal/directory"
	"filbertdeck/internal/httpcheck"
)

// newInvalidAnswerCounters returns a counter of targets' invalid answers for each part that may
// be invalid.
func newInvalidAnswerCounters(counter func(name string) gometrics.Counter) map[httpcheck.Part]gometrics.Counter {
	counters := map[httpcheck.Part]gometrics.Counter{}
	for _, part := range httpcheck.Parts() {
		counters[part] = counter("answers_invalid." + string(part))
	}
	return counters
}

// recordInvalidAnswer logs and counts an answer of a target that was read here and is invalid; err
// is the failure of reading it, of any kind. call names the request or the call that it answers.
func (g *Gateway) recordInvalidAnswer(t directory.Target, err error, call slog.Attr) {
	var invalid *httpcheck.Error
	if !errors.As(err, &invalid) {
		return
	}
	g.metrics.invalidAnswers[invalid.Part].Inc(1)
	g.cfg.Log.Warn("target's answer is invalid", call, "target", t.ID, "part", invalid.Part, "text", invalid.Text)
}

// requestAttr names a request in a log line.
func requestAttr(id string) slog.Attr { return slog.String("request", id) }

// sourceAttr names a call of a target's own interface in a log line.
func sourceAttr(call string) slog.Attr { return slog.String("source", call) }
