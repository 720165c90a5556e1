package generation

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/sse"
)

var suiteT *testing.T

// inFakeTime runs f with a clock that advances when all goroutines wait. Expectations
// belong after it.
func inFakeTime(f func()) { synctest.Test(suiteT, func(*testing.T) { f() }) }

// timedPart is a part of an answer, sent some time after it is read for.
type timedPart struct {
	after time.Duration
	text  string
}

// timedEngine answers a request after some time, even if the request has ended, and then
// sends the parts of a stream until the request ends.
type timedEngine struct {
	headerAfter time.Duration
	parts       []timedPart
	ctx         context.Context
}

func (e *timedEngine) Do(req *http.Request) (*http.Response, error) {
	time.Sleep(e.headerAfter)
	e.ctx = req.Context()
	return &http.Response{StatusCode: http.StatusOK, Body: e}, nil
}

func (e *timedEngine) Read(p []byte) (int, error) {
	if len(e.parts) == 0 {
		<-e.ctx.Done()
		return 0, e.ctx.Err()
	}
	select {
	case <-time.After(e.parts[0].after):
	case <-e.ctx.Done():
	}
	if err := e.ctx.Err(); err != nil {
		return 0, err
	}
	n := copy(p, e.parts[0].text)
	e.parts = e.parts[1:]
	return n, nil
}

func (*timedEngine) Close() error { return nil }

var _ io.ReadCloser = (*timedEngine)(nil)

var _ = Describe("the silence of an engine", func() {
	event := func(after time.Duration) timedPart { return timedPart{after, "data: x\n\n"} }

	// readEvents opens a stream and reads n events, with a pause before each.
	readEvents := func(e *timedEngine, n int, pause time.Duration) (read int, err error) {
		inFakeTime(func() {
			var s *engineStream
			if s, err = (engineClient{http: e}).resume(context.Background(), "127.0.0.1:1", "g-1", 0); err != nil {
				return
			}
			defer s.close()
			for ; read < n && err == nil; read++ {
				time.Sleep(pause)
				var ev sse.Event
				err = s.next(&ev)
			}
		})
		return read, err
	}

	// Guards against a caller who reads nothing for a few seconds and whose stream is then
	// broken off as if its engine were silent.
	It("does not count while nothing is read", func() {
		read, err := readEvents(&timedEngine{parts: []timedPart{event(0), event(0), event(0)}}, 3, 4*silenceTimeout)
		Expect(err).NotTo(HaveOccurred())
		Expect(read).To(Equal(3))
	})

	// Guards against an engine that answers late and is then given no time for its first
	// event.
	It("counts from the header on once that has arrived", func() {
		most := silenceTimeout - time.Millisecond
		_, err := readEvents(&timedEngine{headerAfter: most, parts: []timedPart{event(most), event(most)}}, 2, 0)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against a stream that is taken for open although its time was over.
	It("ends a request whose header arrives too late", func() {
		read, err := readEvents(&timedEngine{headerAfter: silenceTimeout + time.Millisecond, parts: []timedPart{event(0)}}, 1, 0)
		Expect(read).To(BeZero())
		Expect(failure.KindOf(err)).To(Equal(failure.KindTargetLost))
		Expect(failure.FromError(err).Executed).To(Equal(failure.ExecutedUnknown))
	})

	// Guards against a read that waits forever on a connection that has gone silent.
	It("ends a stream while it is read", func() {
		_, err := readEvents(&timedEngine{parts: []timedPart{event(0)}}, 2, 0)
		Expect(failure.KindOf(streamError(err))).To(Equal(failure.KindTargetLost))
	})
})
