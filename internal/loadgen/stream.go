package loadgen

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"filbertdeck/internal/failure"
	"filbertdeck/internal/sse"
)

// maxEvent bounds one event of a stream in bytes.
const maxEvent = 1 << 20

// doneData is the data of a stream's last event.
const doneData = "[DONE]"

// following is a stream that is being followed over one or more connections.
type following struct {
	caller *caller
	call   Call
	check  checker
	out    outcome
	handle string
	last   time.Time
	done   bool
}

// stream follows a generation; a lost connection is resumed at another entry
// by the handle of the last event.
func (c *caller) stream(ctx context.Context, call Call) outcome {
	f := &following{caller: c, call: call}
	f.out.attempts, f.out.err = c.client.retry(ctx, f.received, func() error { return f.connect(ctx) })
	if f.out.err == nil && f.out.violation == "" {
		f.out.violation = f.check.complete(call.Length)
	}
	f.out.tokens = f.check.next
	return f.out
}

func (f *following) received() int { return f.check.next }

// connect follows one connection to its end.
func (f *following) connect(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(f.caller.client.target.Opening, cancel)
	defer silence.Stop()
	q := f.caller.completion(f.call, true)
	if f.handle != "" {
		q.headers = append(q.headers, [2]string{"Last-Event-ID", f.handle})
	}
	resp, err := f.caller.client.send(ctx, q)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(resp.Body, maxEvent))
		return refusal(resp, body)
	}
	heard := func() { silence.Reset(f.caller.client.target.Silence) }
	heard()
	return f.events(sse.NewReader(resp.Body, maxEvent), heard)
}

// events takes events to the end of the connection; heard is called for each,
// comments included.
func (f *following) events(r *sse.Reader, heard func()) error {
	var e sse.Event
	for !f.done && f.out.violation == "" {
		if err := r.Next(&e); err != nil {
			return lost(err)
		}
		heard()
		switch {
		case e.Comment:
		case string(e.Name) == "error":
			return streamFailure(e.Data)
		default:
			f.take(&e)
		}
	}
	return nil
}

func streamFailure(data []byte) error {
	var p failure.Problem
	if json.Unmarshal(data, &p) != nil {
		return failure.New(failure.KindInternal, "stream failed without a problem document").WithExecutionUnknown()
	}
	return failure.FromProblem(p)
}

// take checks one event and notes its time.
func (f *following) take(e *sse.Event) {
	if string(e.Data) == doneData {
		f.done = true
		return
	}
	a, ok := parseCompletion(e.Data, f.caller.client.target.direct())
	if !ok {
		f.out.violation = ViolationMalformed
		return
	}
	if len(e.ID) > 0 && !f.caller.client.target.direct() {
		f.handle = string(e.ID)
	}
	f.out.violation = f.check.add(a.piece())
	if f.out.violation == "" && a.Filbert.Tokens > 0 {
		f.time(a.Filbert.Tokens)
	}
}

// time notes the gap before an event's first token; its other tokens came
// together with it.
func (f *following) time(tokens int) {
	now := time.Now()
	if f.last.IsZero() {
		f.out.first = now
	} else {
		gap := now.Sub(f.last)
		f.caller.gap(f.call, gap)
		f.out.stall += max(0, gap-f.caller.bound)
	}
	for range tokens - 1 {
		f.caller.gap(f.call, 0)
	}
	f.last = now
}
