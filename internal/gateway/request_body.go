package gateway

import (
	"cmp"
	"io"
	"net/http"
	"time"

	"filbertdeck/internal/callerconn"
	"filbertdeck/internal/failure"
)

const (
	// defaultBodyLimitBytes applies when the configuration sets no limit.
	defaultBodyLimitBytes = 4 << 20
	// firstBodyBytes is the size of the first buffer for a body of unknown length. It is part
	// of what every connection holds.
	firstBodyBytes = 4 << 10
	// bodyRetryAfter is returned when there is no memory for a body. The caller's next try
	// reaches another host.
	bodyRetryAfter = 300 * time.Millisecond
)

// readBody reads the whole body: it may have to be sent again, and a target
// must never receive less than the caller sent. Errors: KindBodyTooLarge; KindOverloaded if
// there is no memory for it; KindBadRequest if it can't be read.
func readBody(r *http.Request, limit int64) ([]byte, error) {
	conn := callerconn.FromContext(r.Context())
	if r.ContentLength > limit {
		return nil, errBodyTooLarge(limit)
	}
	body, err := readWhole(conn, r, limit)
	if err != nil {
		return nil, err
	}
	if !conn.Serve() {
		return nil, failure.New(failure.KindOverloaded, "the connection was closed since its peer was slow")
	}
	return body, nil
}

func errBodyTooLarge(limit int64) error {
	return failure.New(failure.KindBodyTooLarge, "the request body is longer than %d bytes", limit)
}

// readWhole reads a body into memory that is reserved before it is read.
func readWhole(conn *callerconn.Conn, r *http.Request, limit int64) ([]byte, error) {
	capacity := r.ContentLength
	if capacity < 0 {
		capacity = min(firstBodyBytes, limit)
	}
	if capacity > firstBodyBytes && !conn.Reserve(capacity) {
		return nil, errNoBodyMemory()
	}
	body := make([]byte, 0, capacity)
	for {
		if len(body) == cap(body) {
			more, err := atEnd(r.Body)
			if err != nil || more == nil {
				return body, err
			}
			if body, err = grow(conn, body, limit); err != nil {
				return nil, err
			}
			body = append(body, *more)
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, unreadable(err)
		}
	}
}

// atEnd returns the next byte of a body, nil at its end.
func atEnd(body io.Reader) (next *byte, err error) {
	var one [1]byte
	switch _, err := io.ReadFull(body, one[:]); err {
	case nil:
		return &one[0], nil
	case io.EOF:
		return nil, nil
	default:
		return nil, unreadable(err)
	}
}

func unreadable(err error) error {
	return failure.Wrap(err, failure.KindBadRequest, "reading the request body failed")
}

// grow returns a body with twice the capacity, up to the limit.
func grow(conn *callerconn.Conn, body []byte, limit int64) ([]byte, error) {
	capacity := min(max(2*int64(cap(body)), firstBodyBytes), limit)
	if capacity <= int64(len(body)) {
		return nil, errBodyTooLarge(limit)
	}
	if !conn.Reserve(capacity - int64(cap(body))) {
		return nil, errNoBodyMemory()
	}
	return append(make([]byte, 0, capacity), body...), nil
}

func errNoBodyMemory() error {
	return failure.New(failure.KindOverloaded, "there is no memory for the request body").WithRetryAfter(bodyRetryAfter)
}

// refuseUnread refuses a request whose body was not read to its end. When the body is legal, the
// rest is discarded, so that the caller keeps its connection and reads the answer.
func (g *Gateway) refuseUnread(w http.ResponseWriter, r *http.Request, err error) {
	if failure.KindOf(err) != failure.KindOverloaded {
		g.refuse(w, nil, err)
		return
	}
	controller := http.NewResponseController(w)
	fullDuplex := controller.EnableFullDuplex() == nil
	g.Refuse(w, r, err)
	if fullDuplex && controller.Flush() == nil {
		limit := cmp.Or(g.CallerLimits().BodyBytes, defaultBodyLimitBytes)
		callerconn.FromContext(r.Context()).Discard(r, limit)
	}
}
