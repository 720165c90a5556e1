package gateway

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
)

// Sizes of the samples behind the histograms: 512 values, of which those of the
// last minutes weigh most, give the 99th percentile with a handful above it and
// take 8 KB each.
const (
	sampleSize  = 512
	sampleAlpha = 0.015
)

// meters are what on-call engineers read of the gateway. Names are listed in
// docs/operators/gateway-counters.md.
type meters struct {
	registry gometrics.Registry
	kinds    map[directory.RequestKind]*kindMeters
	// firstEvent and longestPause are of generations that were served whole.
	firstEvent, longestPause gometrics.Histogram
	// broken counts generations that broke off while their caller waited, left
	// those whose caller left first.
	broken, left gometrics.Counter
	// sentAgain counts sends beyond the first of a request.
	sentAgain gometrics.Counter
	// movedCopy and movedBackup count generations that went over from a leaving
	// engine, cameBack those that went on from a copy or backup after their
	// engine was lost, movedAnew those that another run went on with.
	movedCopy, movedBackup, cameBack, movedAnew gometrics.Counter
	copyFailed                                  gometrics.Counter
}

// kindMeters are those of one kind of request.
type kindMeters struct {
	received, answered gometrics.Counter
	// took is the time from a request to the end of its answer.
	took gometrics.Histogram
}

func newMeters(r gometrics.Registry) *meters {
	counter := func(name string) gometrics.Counter { return gometrics.GetOrRegisterCounter("gateway."+name, r) }
	m := &meters{
		registry: r, kinds: map[directory.RequestKind]*kindMeters{},
		firstEvent: newHistogram("first_event_us", r), longestPause: newHistogram("longest_pause_us", r),
		broken: counter("generations_broken"), left: counter("generations_left"), sentAgain: counter("sent_again"),
		movedCopy: counter("moved.copy"), movedBackup: counter("moved.backup"), cameBack: counter("moved.after_loss"), movedAnew: counter("moved.anew"),
		copyFailed: counter("copies_failed"),
	}
	for _, kind := range []directory.RequestKind{directory.AtMostOnce, directory.Repeatable, directory.Generation} {
		m.kinds[kind] = &kindMeters{
			received: counter("received." + kind.String()), answered: counter("answered." + kind.String()),
			took: newHistogram("took_us."+kind.String(), r),
		}
	}
	return m
}

func newHistogram(name string, r gometrics.Registry) gometrics.Histogram {
	return gometrics.GetOrRegisterHistogram("gateway."+name, r, gometrics.NewExpDecaySample(sampleSize, sampleAlpha))
}

// received counts a request whose route is known.
func (m *meters) received(kind directory.RequestKind) {
	if k := m.kinds[kind]; k != nil {
		k.received.Inc(1)
	}
}

// answered counts a target's whole answer that was passed on.
func (m *meters) answered(kind directory.RequestKind, took time.Duration) {
	if k := m.kinds[kind]; k != nil {
		k.answered.Inc(1)
		k.took.Update(took.Microseconds())
	}
}

// served counts the times of a generation that was passed on whole.
func (m *meters) served(p pauses) {
	m.firstEvent.Update(p.first.Microseconds())
	m.longestPause.Update(p.longest.Microseconds())
}

// refused counts an answer of the gateway's own.
func (m *meters) refused(kind failure.Kind) {
	gometrics.GetOrRegisterCounter("gateway.refused."+string(kind), m.registry).Inc(1)
}

// broke counts a generation that was cut.
func (m *meters) broke(callerLeft bool) {
	if callerLeft {
		m.left.Inc(1)
		return
	}
	m.broken.Inc(1)
}
