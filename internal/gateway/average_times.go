package gateway

import (
	"sync/atomic"
	"time"

	"filbertdeck/internal/call"
)

// averageTimes keeps moving averages of the time from a request to its first
// event and of the interval between events. It is safe for concurrent use.
type averageTimes struct{ first, interval atomic.Int64 }

const (
	// Defaults until the first generation has ended.
	defaultFirstEvent, defaultEventInterval = 500 * time.Millisecond, 45 * time.Millisecond
	// sampleWeightDivisor sets the weight of a new sample in the average to
	// 1/8.
	sampleWeightDivisor = 8
	// defaultEvents is the number of events assumed for generations without a
	// length limit or hint.
	defaultEvents = 100
)

func (t *averageTimes) add(times eventTimes) {
	if times.events < 2 {
		return
	}
	updateAverage(&t.first, times.first, defaultFirstEvent)
	updateAverage(&t.interval, (times.last-times.first)/time.Duration(times.events-1), defaultEventInterval)
}

// updateAverage adds a sample to a moving average, which starts at fallback. It
// may lose one of two concurrent samples, which the average tolerates.
func updateAverage(average *atomic.Int64, sample, fallback time.Duration) {
	old := average.Load()
	if old == 0 {
		old = int64(fallback)
	}
	average.Store(old + (int64(sample)-old)/sampleWeightDivisor)
}

// expectedDuration returns the time that a generation is expected to take.
func (t *averageTimes) expectedDuration(prompt call.Prompt, tokensPerEvent int) time.Duration {
	events := expectedEvents(prompt, tokensPerEvent)
	if events == 0 {
		events = defaultEvents
	}
	return valueOr(t.first.Load(), defaultFirstEvent) + time.Duration(events)*valueOr(t.interval.Load(), defaultEventInterval)
}

func valueOr(measured int64, fallback time.Duration) time.Duration {
	if measured == 0 {
		return fallback
	}
	return time.Duration(measured)
}

// expectedEvents returns the number of events of the expected output; 0 when
// the request gives no indication of it.
func expectedEvents(prompt call.Prompt, tokensPerEvent int) int {
	return expectedOutputTokens(prompt) / max(tokensPerEvent, 1)
}
