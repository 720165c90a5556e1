package gateway

import (
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"filbertdeck/internal/call"
	"filbertdeck/internal/directory"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/httpcheck"
)

// Size and decay of the histograms' samples. 512 values, weighted towards the
// last minutes, leave about five above the 99th percentile and take 8 KB for
// each histogram.
const (
	histogramSampleSize  = 512
	histogramSampleAlpha = 0.015
)

// gatewayMetrics are the gateway's metrics for operators. Their names are
// listed in docs/operators/gateway-counters.md.
type gatewayMetrics struct {
	registry gometrics.Registry
	byKind   map[directory.RequestKind]*kindMetrics
	// firstEvent and longestPause cover generations that were served
	// completely.
	firstEvent, longestPause gometrics.Histogram
	// broken counts generations that broke off while their caller waited,
	// callerLeft those whose caller disconnected first.
	broken, callerLeft gometrics.Counter
	// retries counts sends beyond the first of a request.
	retries gometrics.Counter
	// movedByCopy and movedToBackup count generations moved off a leaving
	// engine, resumedAfterLoss those continued from a copy or backup after
	// their engine was lost, newRuns those continued by a new run.
	movedByCopy, movedToBackup, resumedAfterLoss, newRuns gometrics.Counter
	copiesFailed                                          gometrics.Counter
	// switchHeader and switchFirstEvent are the times from the request to go on from a copy,
	// while the old stream still runs, to the header and to the first event of the answer.
	switchHeader, switchFirstEvent gometrics.Histogram
	// switchesFailed counts such requests that were not accepted or whose answer ended without
	// an event, switchesTimedOut those of them that took longer than switchTimeout.
	switchesFailed, switchesTimedOut gometrics.Counter
	// switchesHandedOver counts the switches whose time was over and that ended the stream
	// from the previous engine.
	switchesHandedOver gometrics.Counter
	// movesWithoutTarget counts moves that found no engine of the generation's version.
	movesWithoutTarget gometrics.Counter
	// movesWaiting counts moves that waited since no engine had room, withdrawn the
	// generations without an event that were withdrawn from a leaving engine.
	movesWaiting, withdrawn gometrics.Counter
	// targetsRestarted counts requests that were not sent since their target had started
	// again.
	targetsRestarted gometrics.Counter
	// takenUp counts the requests that take up a stream of an earlier one.
	takenUp gometrics.Counter
	// originsUnknown counts those of them whose version is not known.
	originsUnknown gometrics.Counter
	// leavingAnswers and restAnswers count the answers in which a target says
	// that it leaves or asks for a rest.
	leavingAnswers, restAnswers gometrics.Counter
	// unreadableFigures counts the figures of targets' load reports that can't be
	// read.
	unreadableFigures gometrics.Counter
	// searchesWithoutRoom counts the searches that found no engine with room for a
	// generation, which then waited.
	searchesWithoutRoom gometrics.Counter
	// promptsHeld counts the generations that waited because engines with memory had
	// unread prompts beyond the limit, promptHold is the time for which they did.
	promptsHeld gometrics.Counter
	promptHold  gometrics.Histogram
	// waitingTurns, waitingHeld and waitingUnanswered count the reports of waiting
	// generations that were answered with a turn to search, that were answered without one,
	// and that were not answered; waitingHopeless counts the generations refused since their
	// wait would outlast their caller.
	waitingTurns, waitingHeld, waitingUnanswered, waitingHopeless gometrics.Counter
	// failuresReported counts the broken requests of which other hosts were told.
	failuresReported gometrics.Counter
	// emptyStreams counts the streams of engines that ended without an event.
	emptyStreams gometrics.Counter
	// sendsRefused counts the sends that did not take place since the request had become
	// known to crash targets.
	sendsRefused gometrics.Counter
	// cutOff counts the requests that were cut off by the exit of the process.
	cutOff gometrics.Counter
	// panics counts the requests whose handler panicked.
	panics gometrics.Counter
	// answersCut counts the answers of targets that were cut off.
	answersCut gometrics.Counter
	// invalidAnswers counts the invalid answers of targets, by the part that is invalid.
	invalidAnswers map[httpcheck.Part]gometrics.Counter
	// rooms count grants of engines' room, and searches without an engine in time.
	rooms roomCounters
}

// kindMetrics are the metrics of one request kind.
type kindMetrics struct {
	received, answered gometrics.Counter
	// duration is the time from the arrival of a request to the end of its
	// answer.
	duration gometrics.Histogram
}

func newGatewayMetrics(r gometrics.Registry) *gatewayMetrics {
	counter := func(name string) gometrics.Counter { return gometrics.GetOrRegisterCounter("gateway."+name, r) }
	m := &gatewayMetrics{
		registry: r, byKind: map[directory.RequestKind]*kindMetrics{},
		firstEvent: newHistogram("first_event_us", r), longestPause: newHistogram("longest_pause_us", r),
		broken: counter("generations_broken"), callerLeft: counter("generations_left"), retries: counter("sent_again"),
		movedByCopy: counter("moved.copy"), movedToBackup: counter("moved.backup"), resumedAfterLoss: counter("moved.after_loss"), newRuns: counter("moved.anew"),
		copiesFailed: counter("copies_failed"), takenUp: counter("streams_taken_up"), targetsRestarted: counter("targets_restarted"), originsUnknown: counter("stream_origins_unknown"), movesWithoutTarget: counter("moves_without_target"), leavingAnswers: counter("answers_leaving"), restAnswers: counter("answers_rest"),
		switchHeader: newHistogram("switch_header_us", r), switchFirstEvent: newHistogram("switch_first_event_us", r),
		switchesFailed: counter("switches_failed"), switchesTimedOut: counter("switches_timed_out"), switchesHandedOver: counter("switches_handed_over"),
		movesWaiting: counter("moves_waiting"), withdrawn: counter("withdrawn"),
		unreadableFigures: counter("load_figures_unreadable"), searchesWithoutRoom: counter("searches_without_room"),
		promptsHeld: counter("prompts_held"), promptHold: newHistogram("prompt_hold_us", r),
		waitingTurns: counter("waiting_turns"), waitingHeld: counter("waiting_held"), waitingUnanswered: counter("waiting_unanswered"), waitingHopeless: counter("waiting_hopeless"),
		failuresReported: counter("failures_reported"), sendsRefused: counter("sends_refused"), emptyStreams: counter("streams_empty"), cutOff: counter("requests_cut_off"), panics: counter("panics"),
		answersCut:     counter("answers_cut"),
		invalidAnswers: newInvalidAnswerCounters(counter),
		rooms:          newRoomCounters(counter),
	}
	for _, kind := range []directory.RequestKind{directory.AtMostOnce, directory.Repeatable, directory.Generation} {
		m.byKind[kind] = &kindMetrics{
			received: counter("received." + kind.String()), answered: counter("answered." + kind.String()),
			duration: newHistogram("took_us."+kind.String(), r),
		}
	}
	return m
}

func newHistogram(name string, r gometrics.Registry) gometrics.Histogram {
	return gometrics.GetOrRegisterHistogram("gateway."+name, r, gometrics.NewExpDecaySample(histogramSampleSize, histogramSampleAlpha))
}

// countReceived counts a request whose route is known.
func (m *gatewayMetrics) countReceived(kind directory.RequestKind) {
	if k := m.byKind[kind]; k != nil {
		k.received.Inc(1)
	}
}

// countAnswered counts a complete target answer that was passed on.
func (m *gatewayMetrics) countAnswered(kind directory.RequestKind, took time.Duration) {
	if k := m.byKind[kind]; k != nil {
		k.answered.Inc(1)
		k.duration.Update(took.Microseconds())
	}
}

// recordServed records the event times of a generation that was passed on
// completely.
func (m *gatewayMetrics) recordServed(times eventTimes) {
	m.firstEvent.Update(times.first.Microseconds())
	m.longestPause.Update(times.longestGap.Microseconds())
}

// recordHeldPrompt records a generation that waited because of unread prompts.
func (m *gatewayMetrics) recordHeldPrompt(held time.Duration) {
	m.promptsHeld.Inc(1)
	m.promptHold.Update(held.Microseconds())
}

// countRefused counts a failure answer made by the gateway itself.
func (m *gatewayMetrics) countRefused(kind failure.Kind) {
	gometrics.GetOrRegisterCounter("gateway.refused."+string(kind), m.registry).Inc(1)
}

// countNotice counts what a target says in an answer about its load and the
// requests that it wants.
func (m *gatewayMetrics) countNotice(n call.TargetNotice) {
	if n.Leaving {
		m.leavingAnswers.Inc(1)
	}
	if n.Rest > 0 {
		m.restAnswers.Inc(1)
	}
	if n.Load != nil {
		m.unreadableFigures.Inc(int64(n.Load.Unreadable))
	}
}

// countBroken counts a generation that was cut off.
func (m *gatewayMetrics) countBroken(callerLeft bool) {
	if callerLeft {
		m.callerLeft.Inc(1)
		return
	}
	m.broken.Inc(1)
}
