package servicecall

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"filbertdeck/internal/accounting"
	"filbertdeck/internal/decide/idempotency"
	"filbertdeck/internal/entry/admit"
	"filbertdeck/internal/entry/state"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/handle"
)

// HeaderIdempotencyKey carries the caller's idempotency key.
const HeaderIdempotencyKey = "Idempotency-Key"

// headerReplayed marks an answer that was replayed from the record.
const headerReplayed = "Filbert-Replayed"

// atMostOnceTimeout limits one call; after it the outcome is unknown.
const atMostOnceTimeout = 30 * time.Second

// AtMostOnceDoer sends a request at most once and calls before right before the
// first byte is sent; targetclient.AtMostOnceClient implements it.
type AtMostOnceDoer interface {
	Do(req *http.Request, before func() error) (*http.Response, error)
}

// Forwarder forwards a call to the entry that owns its key.
type Forwarder interface {
	Forward(ctx context.Context, owner idempotency.Process, key string, revision uint64, call Call) (*idempotency.Answer, bool, error)
}

// AtMostOnceRelay relays calls that may run at most once.
type AtMostOnceRelay struct {
	Admission *admit.Client
	Client    AtMostOnceDoer
	Picker    Picker
	KeyRing   *handle.KeyRing
	Self      idempotency.Process
	Board     *state.Board
	Forwarder Forwarder

	mu        sync.Mutex
	registry  *idempotency.Registry
	startTime time.Time
}

// Init creates the registry of idempotency keys. It accepts no keys from before
// this time.
func (r *AtMostOnceRelay) Init() {
	r.startTime = time.Now()
	r.registry = idempotency.New(idempotency.Config{Self: r.Self})
}

func (r *AtMostOnceRelay) now() time.Duration { return time.Since(r.startTime) }

// MintKey creates an idempotency key that only this process runs.
func (r *AtMostOnceRelay) MintKey(account string) string {
	r.mu.Lock()
	sequence := r.registry.NextSequence()
	r.mu.Unlock()
	return r.KeyRing.Mint(handle.MintedKey{
		Account: account, Owner: r.Self.Address, Incarnation: r.Self.Incarnation,
		OwnerUptimeAtMint: r.now(), Sequence: sequence,
	})
}

// RecordSize returns the number of recorded keys and the total size of their
// answers in bytes.
func (r *AtMostOnceRelay) RecordSize() (keys, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.registry.Len(), r.registry.AnswerBytes()
}

// parseKey parses an idempotency key, which is either minted by an entry or
// chosen by the caller.
func (r *AtMostOnceRelay) parseKey(text, account string) (idempotency.Key, error) {
	if text == "" {
		return idempotency.Key{}, failure.New(failure.KindKeyRequired, "this service requires the header %s", HeaderIdempotencyKey)
	}
	if !handle.IsMinted(text) {
		return idempotency.CallerKey(text)
	}
	minted, err := r.KeyRing.OpenMinted(text, account)
	if err != nil {
		return idempotency.Key{}, err
	}
	owner := idempotency.Process{Address: minted.Owner, Incarnation: minted.Incarnation}
	id := owner.Address + "/" + strconv.FormatUint(minted.Incarnation, 16) + "/" + strconv.FormatUint(minted.Sequence, 16)
	return idempotency.MintedKey(id, owner, minted.OwnerUptimeAtMint), nil
}

// Serve relays the call. It has already written the error that it returns to the
// caller.
func (r *AtMostOnceRelay) Serve(ctx context.Context, w http.ResponseWriter, call Call) error {
	answer, replayed, err := r.Run(ctx, call, call.Header.Get(HeaderIdempotencyKey), nil)
	if err != nil {
		failure.Write(w, err)
		return err
	}
	if replayed {
		w.Header().Set(headerReplayed, "true")
		call.Accounting.Update(func(c *accounting.Counts) { c.Replays++ })
	}
	writeAnswer(w, answer)
	return nil
}

// Origin holds what a forwarding entry sent with a call.
type Origin struct {
	Incarnation   uint64
	HostsRevision uint64
}

// Run runs the call, replays its recorded answer, or forwards it to the key's
// owner. The second result reports a replay.
func (r *AtMostOnceRelay) Run(ctx context.Context, call Call, keyText string, origin *Origin) (*idempotency.Answer, bool, error) {
	key, err := r.parseKey(keyText, call.Account.Name)
	if err != nil {
		return nil, false, err
	}
	request := idempotency.Call{
		Account: call.Account.Name, Key: key, Fingerprint: call.fingerprint(), WallTime: time.Now(),
	}
	if origin != nil {
		request.Forwarded = true
		request.Incarnation, request.HostsRevision = origin.Incarnation, origin.HostsRevision
	}
	decision, revision := r.beginCall(request)
	switch decision.Action {
	case idempotency.Replay:
		return decision.Answer, true, nil
	case idempotency.Forward:
		return r.Forwarder.Forward(ctx, decision.Owner, keyText, revision, call)
	case idempotency.Refuse:
		return nil, false, decision.Err
	}
	answer, err := r.execute(ctx, call, key)
	return answer, false, err
}

func (r *AtMostOnceRelay) beginCall(request idempotency.Call) (idempotency.Decision, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	revision := r.refreshHosts()
	return r.registry.Begin(r.now(), request), revision
}

// refreshHosts passes the host list and its last confirmation to the registry
// and returns the list's revision. The caller must hold the mutex.
func (r *AtMostOnceRelay) refreshHosts() uint64 {
	hosts, confirmed := r.Board.Hosts.Get(), r.Board.Confirmed.Get()
	if hosts == nil || confirmed == nil {
		return 0
	}
	if hosts.Revision != confirmed.HostsRevision {
		// The list on the blackboard is older than the confirmed one.
		r.registry.ObservePeerRevision(r.now(), confirmed.HostsRevision)
		return hosts.Revision
	}
	r.registry.ConfirmHosts(r.now(), idempotency.HostList{
		Revision: hosts.Revision, LiveHosts: hosts.LiveEntries(), ConfirmedAt: confirmed.ConfirmedAt.Sub(r.startTime),
	})
	return hosts.Revision
}

// RefreshHosts updates the registry's host list. It is called periodically, so
// that the registry has no gap in its view of the hosts while no calls arrive.
func (r *AtMostOnceRelay) RefreshHosts() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refreshHosts()
}

// execute runs a call that this process may run. The call continues when its
// caller disconnects, and its outcome is recorded for a later retry.
func (r *AtMostOnceRelay) execute(ctx context.Context, call Call, key idempotency.Key) (*idempotency.Answer, error) {
	lease, err := acquireLease(ctx, r.Admission, r.Picker, call, nil)
	if err != nil {
		r.recordNotRun(call, key)
		return nil, err
	}
	startedAt := time.Now()
	runCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), atMostOnceTimeout)
	defer cancel()
	answer, err := r.send(runCtx, call, key, lease)
	elapsed := time.Since(startedAt)
	lease.Settle(leaseOutcome(runCtx, err), elapsed, elapsed)
	r.recordOutcome(call, key, answer, err)
	return answer, err
}

func (r *AtMostOnceRelay) send(ctx context.Context, call Call, key idempotency.Key, lease *admit.Lease) (*idempotency.Answer, error) {
	req, err := call.newTargetRequest(lease.Target)
	if err != nil {
		return nil, err
	}
	resp, err := r.Client.Do(req.WithContext(ctx), func() error {
		if err := lease.Check(time.Now()); err != nil {
			return err
		}
		return r.checkMayRun(call, key)
	})
	if err != nil {
		return nil, err
	}
	if resp.Header.Get("Filbert-Executed") == string(failure.ExecutedNo) && resp.StatusCode >= http.StatusBadRequest {
		_ = resp.Body.Close()
		return nil, failure.New(failure.KindTargetFailed, "the target did not run the call (status %d)", resp.StatusCode)
	}
	return readAnswer(resp)
}

// checkMayRun verifies, right before the first byte is sent, that this process
// may still run the call.
func (r *AtMostOnceRelay) checkMayRun(call Call, key idempotency.Key) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refreshHosts()
	validUntil, err := r.registry.Check(r.now(), call.Account.Name, key)
	if err != nil {
		return err
	}
	if r.now() >= validUntil {
		return failure.New(failure.KindKeyUnvouched, "the process was paused before the call was sent").WithExecutionUnknown()
	}
	return nil
}

func (r *AtMostOnceRelay) recordNotRun(call Call, key idempotency.Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.registry.MarkNotRun(call.Account.Name, key)
}

func (r *AtMostOnceRelay) recordOutcome(call Call, key idempotency.Key, answer *idempotency.Answer, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	account := call.Account.Name
	switch {
	case err == nil:
		r.registry.MarkFinished(account, key, answer)
	case failure.FromError(err).Executed == failure.ExecutedNo:
		r.registry.MarkNotRun(account, key)
	default:
		r.registry.MarkLost(account, key)
	}
}
