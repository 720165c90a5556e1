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

// Headers that the entry sets or reads (docs/protocols.md).
const (
	headerGeneration = "Filbert-Generation"
	headerPriority   = "Filbert-Priority"
	headerFence      = "Filbert-Fence"
	headerExecuted   = "Filbert-Executed"
)

const (
	// silenceTimeout closes a connection on which nothing was received,
	// including the comment that the engine sends every second. Three missing in
	// a row are more than a busy engine or a lost packet explains.
	silenceTimeout = 3 * time.Second
	// cancelTimeout limits the request that cancels an abandoned generation.
	cancelTimeout = 2 * time.Second
)

// engineStream is a connection to a target that carries a generation's events.
type engineStream struct {
	events *sse.Reader
	body   io.ReadCloser
	cancel context.CancelFunc
	// watchdog cancels the request when a read received nothing for
	// silenceTimeout: an open connection can go silent permanently, and the read
	// would block forever. It is stopped between reads, in which a slow caller can
	// take longer.
	watchdog *time.Timer
}

func (s *engineStream) next(ev *sse.Event) error {
	s.watchdog.Reset(silenceTimeout)
	err := s.events.Next(ev)
	s.watchdog.Stop()
	return err
}

func (s *engineStream) close() {
	s.watchdog.Stop()
	s.cancel()
	_ = s.body.Close()
}

// engineClient is a client of the engines' HTTP API.
type engineClient struct {
	http Doer
}

// Doer sends an HTTP request without retrying; targetclient.Client implements
// it.
type Doer interface {
	Do(req *http.Request) (*http.Response, error)
}

// start sends the request that starts a generation.
func (c engineClient) start(ctx context.Context, lease *admit.Lease, generation string, body []byte) (*engineStream, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+lease.Target+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, failure.Wrap(err, failure.KindInternal, "could not build the request to the target")
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerGeneration, generation)
	req.Header.Set(headerPriority, strconv.Itoa(int(lease.Priority)))
	req.Header.Set(headerFence, strconv.FormatUint(lease.Fence, 10))
	return c.open(ctx, req)
}

// resume requests the rest of a generation that runs at the target.
func (c engineClient) resume(ctx context.Context, target, generation string, offset uint64) (*engineStream, error) {
	url := "http://" + target + "/v1/generations/" + generation + "?offset=" + strconv.FormatUint(offset, 10)
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return nil, failure.Wrap(err, failure.KindInternal, "could not build the request to the target")
	}
	return c.open(ctx, req)
}

func (c engineClient) open(ctx context.Context, req *http.Request) (*engineStream, error) {
	ctx, cancel := context.WithCancel(ctx)
	watchdog := time.AfterFunc(silenceTimeout, cancel)
	resp, err := c.http.Do(req.WithContext(ctx))
	if err != nil {
		watchdog.Stop()
		cancel()
		return nil, streamError(err)
	}
	s := &engineStream{events: sse.NewReader(resp.Body, 0), body: resp.Body, cancel: cancel, watchdog: watchdog}
	if resp.StatusCode != http.StatusOK {
		defer s.close()
		return nil, statusError(resp)
	}
	if !watchdog.Stop() {
		s.close()
		return nil, failure.New(failure.KindTargetLost, "the target was silent for %s", silenceTimeout).WithExecutionUnknown()
	}
	return s, nil
}

// statusError converts a target's error status to a typed error.
func statusError(resp *http.Response) error {
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 4096))
	f := failure.New(failure.KindTargetFailed, "the target answered with status %d", resp.StatusCode)
	switch {
	case resp.StatusCode == http.StatusNotFound:
		f = failure.New(failure.KindGenerationGone, "the target no longer holds this generation").WithExecuted()
	case resp.Header.Get(headerExecuted) == string(failure.ExecutedNo), resp.StatusCode == http.StatusPreconditionFailed:
		f.Executed = failure.ExecutedNo
	default:
		f.Executed = failure.ExecutedUnknown
	}
	return f
}

// cancelGeneration cancels a generation at its target. It uses its own context,
// since the caller's has ended by then.
func (c engineClient) cancelGeneration(target, generation string) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+target+"/v1/generations/"+generation, nil)
	if err != nil {
		return
	}
	if resp, err := c.http.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}
