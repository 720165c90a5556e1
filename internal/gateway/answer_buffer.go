package gateway

import (
	"cmp"
	"errors"
	"io"
	"net/http"
	"sync"

	gometrics "github.com/rcrowley/go-metrics"

	"filbertdeck/internal/callerconn"
	"filbertdeck/internal/decide/answerlimit"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/httpcheck"
)

const (
	// maxAnswerBytes limits an answer that is buffered until it is complete.
	maxAnswerBytes = 8 << 20
	// MaxBufferedBytes limits all answers that are buffered at the same time: two of the
	// longest ones, and short ones beside them. MinBufferedBytes is the least limit, with which
	// an answer of the longest length still fits.
	MaxBufferedBytes = 2*maxAnswerBytes + 1<<20
	MinBufferedBytes = maxAnswerBytes + 1<<19
	// firstChunkBytes is the size of an answer's first chunk, which holds the answers of most
	// plain services; chunkBytes that of the others.
	firstChunkBytes = 4 << 10
	chunkBytes      = 32 << 10
)

// answerBuffers holds the bodies of answers that are buffered, within a bound over all of
// them. It is safe for concurrent use.
type answerBuffers struct {
	evicted gometrics.Counter
	chunks  sync.Pool

	mu      sync.Mutex
	limiter *answerlimit.Limiter
}

func newAnswerBuffers(limit int64, reg gometrics.Registry) *answerBuffers {
	b := &answerBuffers{
		limiter: answerlimit.New(int(cmp.Or(limit, MaxBufferedBytes))), chunks: sync.Pool{New: func() any { return new([chunkBytes]byte) }},
		evicted: gometrics.GetOrRegisterCounter("gateway.answers_evicted", reg),
	}
	_ = reg.Register("gateway.answers_buffered_bytes", gometrics.NewFunctionalGauge(b.usedBytes))
	return b
}

func (b *answerBuffers) usedBytes() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return int64(b.limiter.Used())
}

// bufferedBody is the body of an answer. It must be released when it is no longer needed.
type bufferedBody struct {
	buffers *answerBuffers
	share   *answerlimit.Answer
	first   []byte
	pooled  []*[chunkBytes]byte
	size    int
}

// read reads the body of an answer to its end and closes it. Errors: KindTargetLost if it ended
// early, KindTargetFailed if it is too long, was evicted or has an invalid trailer, all with unknown execution.
func (b *answerBuffers) read(resp *http.Response) (*bufferedBody, error) {
	defer func() { _ = resp.Body.Close() }()
	if resp.ContentLength > maxAnswerBytes {
		return nil, errAnswerTooLong()
	}
	body := &bufferedBody{buffers: b}
	b.mu.Lock()
	// Closing a body may wait for its connection, and the limiter's lock is held.
	body.share = b.limiter.Open(resp.ContentLength >= 0, func() { go func() { _ = resp.Body.Close() }() })
	b.mu.Unlock()
	if err := body.fill(resp.Body); err != nil {
		body.release()
		return nil, err
	}
	return body, nil
}

func errAnswerTooLong() error {
	return failure.New(failure.KindTargetFailed, "the answer is longer than %d bytes", maxAnswerBytes).WithExecutionUnknown()
}

// fill reads until the end of the answer.
func (body *bufferedBody) fill(from io.Reader) error {
	for {
		chunk, err := body.nextChunk()
		if err != nil {
			return err
		}
		n, err := readChunk(from, chunk)
		body.size += n
		switch {
		case body.size > maxAnswerBytes:
			return errAnswerTooLong()
		case err == io.EOF:
			return body.keep()
		case err != nil:
			return body.readError(err)
		}
	}
}

// readChunk reads until a chunk is full or reading fails.
func readChunk(from io.Reader, chunk []byte) (n int, err error) {
	for n < len(chunk) && err == nil {
		var more int
		more, err = from.Read(chunk[n:])
		n += more
	}
	return n, err
}

// nextChunk returns memory for what follows.
func (body *bufferedBody) nextChunk() ([]byte, error) {
	size := chunkBytes
	if body.first == nil {
		size = firstChunkBytes
	}
	body.buffers.mu.Lock()
	granted := body.buffers.limiter.Grow(body.share, size)
	body.buffers.mu.Unlock()
	if !granted {
		return nil, body.evictedError()
	}
	if body.first == nil {
		body.first = make([]byte, firstChunkBytes)
		return body.first, nil
	}
	chunk := body.buffers.chunks.Get().(*[chunkBytes]byte)
	body.pooled = append(body.pooled, chunk)
	return chunk[:], nil
}

// keep records that the answer is complete.
func (body *bufferedBody) keep() error {
	body.buffers.mu.Lock()
	kept := body.buffers.limiter.Keep(body.share)
	body.buffers.mu.Unlock()
	if !kept {
		return body.evictedError()
	}
	return nil
}

// allowEviction lets a complete answer be evicted while its caller is slow to read it.
func (body *bufferedBody) allowEviction(conn *callerconn.Conn) {
	body.buffers.mu.Lock()
	defer body.buffers.mu.Unlock()
	body.buffers.limiter.AllowEviction(body.share, conn.IsSlow, conn.Abort)
}

// readError returns the failure of an answer that could not be read to its end. Reading also
// fails once the answer was evicted.
func (body *bufferedBody) readError(err error) error {
	if evicted := body.keep(); evicted != nil {
		return evicted
	}
	var invalid *httpcheck.Error
	if errors.As(err, &invalid) {
		return invalid.Failure()
	}
	return failure.Wrap(err, failure.KindTargetLost, "reading the answer failed").WithExecutionUnknown()
}

func (body *bufferedBody) evictedError() error {
	body.buffers.evicted.Inc(1)
	return failure.New(failure.KindTargetFailed, "the answer was given up after %d bytes: all answers together exceed the limit", body.size).WithExecutionUnknown()
}

// writeTo writes the body.
func (body *bufferedBody) writeTo(w io.Writer) error {
	left := body.size
	write := func(chunk []byte) error {
		chunk = chunk[:min(left, len(chunk))]
		left -= len(chunk)
		if len(chunk) == 0 {
			return nil
		}
		_, err := w.Write(chunk)
		return err
	}
	err := write(body.first)
	for i := 0; i < len(body.pooled) && err == nil; i++ {
		err = write(body.pooled[i][:])
	}
	return err
}

// release gives the memory of the body back; nothing may read it any more.
func (body *bufferedBody) release() {
	if body == nil {
		return
	}
	for _, chunk := range body.pooled {
		body.buffers.chunks.Put(chunk)
	}
	body.first, body.pooled, body.size = nil, nil, 0
	body.buffers.mu.Lock()
	defer body.buffers.mu.Unlock()
	body.buffers.limiter.Close(body.share)
}
