package generation

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"filbertdeck/internal/entry/admit"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/sse"
)

// The headers that the entry sets or reads (docs/protocols.md).
const (
	headerGeneration = "Filbert-Generation"
	headerPriority   = "Filbert-Priority"
	headerFence      = "Filbert-Fence"
	headerExecuted   = "Filbert-Executed"
)

const (
	// progressLimit closes a connection on which nothing came, not even the
	// engine's comment of every second. Three in a row missing is more than a
	// busy engine or a lost packet explains.
	progressLimit = 3 * time.Second
	// cancelLimit bounds the order to cancel a generation that nobody wants.
	cancelLimit = 2 * time.Second
)

// stream is one connection to a target that carries a generation's events.
type stream struct {
	events *sse.Reader
	body   io.ReadCloser
	cancel context.CancelFunc
	// watchdog cancels the request when no event came for progressLimit: an
	// open connection can go silent for good, and reading would wait for ever.
	watchdog *time.Timer
}

func (s *stream) next(ev *sse.Event) error {
	err := s.events.Next(ev)
	s.watchdog.Reset(progressLimit)
	return err
}

func (s *stream) close() {
	s.watchdog.Stop()
	s.cancel()
	_ = s.body.Close()
}

// engineClient speaks the engines' protocol.
type engineClient struct {
	http Doer
}

// Doer sends a request once; targetclient.Client is one.
type Doer interface {
	Do(req *http.Request) (*http.Response, error)
}

// start sends the request that begins a generation.
func (c engineClient) start(ctx context.Context, lease *admit.Lease, generation string, body []byte) (*stream, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+lease.Target+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, failure.Wrap(err, failure.KindInternal, "the request to the target could not be made")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerGeneration, generation)
	req.Header.Set(headerPriority, strconv.Itoa(int(lease.Priority)))
	req.Header.Set(headerFence, strconv.FormatUint(lease.Fence, 10))
	return c.open(ctx, req)
}

// resume asks for the rest of a generation that runs at the target.
func (c engineClient) resume(ctx context.Context, target, generation string, offset uint64) (*stream, error) {
	url := "http://" + target + "/v1/generations/" + generation + "?offset=" + strconv.FormatUint(offset, 10)
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindInternal, "the request to the target could not be made")
	}
	return c.open(ctx, req)
}

func (c engineClient) open(ctx context.Context, req *http.Request) (*stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	watchdog := time.AfterFunc(progressLimit, cancel)
	resp, err := c.http.Do(req.WithContext(ctx))
	if err != nil {
		watchdog.Stop()
		cancel()
		return nil, lostStream(err)
	}
	s := &stream{events: sse.NewReader(resp.Body, 0), body: resp.Body, cancel: cancel, watchdog: watchdog}
	if resp.StatusCode == http.StatusOK {
		return s, nil
	}
	defer s.close()
	return nil, refused(resp)
}

// refused turns a target's status into a failure.
func refused(resp *http.Response) error {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 4096))
	f := failure.New(failure.KindTargetFailed, "the target answered with status %d", resp.StatusCode)
	switch {
	case resp.StatusCode == http.StatusNotFound:
		f = failure.New(failure.KindGenerationGone, "the target does not hold this generation any more").Ran()
	case resp.Header.Get(headerExecuted) == string(failure.ExecutedNo), resp.StatusCode == http.StatusPreconditionFailed:
		f.Executed = failure.ExecutedNo
	default:
		f.Executed = failure.ExecutedUnknown
	}
	return f
}

// cancelGeneration tells a target that nobody wants the rest. The context of
// the caller has ended by then, so the order has one of its own.
func (c engineClient) cancelGeneration(target, generation string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+target+"/v1/generations/"+generation, nil)
	if err != nil {
		return
	}
	if resp, err := c.http.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}
