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

// HeaderKey carries the caller's idempotency key.
const HeaderKey = "Idempotency-Key"

// headerReplayed marks an answer that is repeated from the record.
const headerReplayed = "Filbert-Replayed"

// onceLimit bounds one call; past it the outcome is unknown.
const onceLimit = 30 * time.Second

// OnceDoer sends a request at most once and runs before right before the first
// byte; targetclient.Once is one.
type OnceDoer interface {
	Do(req *http.Request, before func() error) (*http.Response, error)
}

// Forwarder hands a call to the entry that owns its key.
type Forwarder interface {
	Forward(ctx context.Context, owner idempotency.Process, key string, revision uint64, call Call) (*idempotency.Answer, bool, error)
}

// Once runs calls that may run at most once.
type Once struct {
	Admission *admit.Client
	Client    OnceDoer
	Pick      Picker
	Ring      *handle.Ring
	Self      idempotency.Process
	Board     *state.Board
	Forwarder Forwarder

	mu       sync.Mutex
	register *idempotency.Registry
	start    time.Time
}

// Open makes the register; the process vouches for nothing older.
func (o *Once) Open() {
	o.start = time.Now()
	o.register = idempotency.New(idempotency.Config{Self: o.Self})
}

func (o *Once) now() time.Duration { return time.Since(o.start) }

// Mint makes a key that only this process will ever run.
func (o *Once) Mint(account string) string {
	o.mu.Lock()
	sequence := o.register.NextSequence()
	o.mu.Unlock()
	return o.Ring.Mint(handle.Minted{
		Account: account, Owner: o.Self.Address, Incarnation: o.Self.Incarnation,
		Age0: o.now(), Sequence: sequence,
	})
}

// Size gives the keys on record and the bytes of their answers, for gauges.
func (o *Once) Size() (keys, bytes int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.register.Len(), o.register.AnswerBytes()
}

// parseKey reads the caller's key, minted or of its own making.
func (o *Once) parseKey(text, account string) (idempotency.Key, error) {
	if text == "" {
		return idempotency.Key{}, failure.New(failure.KindKeyRequired, "this service needs the header %s", HeaderKey)
	}
	if !handle.IsMinted(text) {
		return idempotency.CallerKey(text)
	}
	m, err := o.Ring.OpenMinted(text, account)
	if err != nil {
		return idempotency.Key{}, err
	}
	owner := idempotency.Process{Address: m.Owner, Incarnation: m.Incarnation}
	id := owner.Address + "/" + strconv.FormatUint(m.Incarnation, 16) + "/" + strconv.FormatUint(m.Sequence, 16)
	return idempotency.MintedKey(id, owner, m.Age0), nil
}

// Serve answers the call; the failure it returns was told to the caller.
func (o *Once) Serve(ctx context.Context, w http.ResponseWriter, call Call) error {
	answer, replayed, err := o.Run(ctx, call, call.Header.Get(HeaderKey), nil)
	if err != nil {
		failure.Write(w, err)
		return err
	}
	if replayed {
		w.Header().Set(headerReplayed, "true")
		call.Books.Update(func(c *accounting.Counts) { c.Replays++ })
	}
	write(w, answer)
	return nil
}

// Origin is set for a call that another entry handed over.
type Origin struct {
	Incarnation   uint64
	HostsRevision uint64
}

// Run runs the call, repeats its recorded answer, or hands it to its owner.
func (o *Once) Run(ctx context.Context, call Call, keyText string, origin *Origin) (*idempotency.Answer, bool, error) {
	key, err := o.parseKey(keyText, call.Account.Name)
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
	d, revision := o.begin(request)
	switch d.Action {
	case idempotency.Replay:
		return d.Answer, true, nil
	case idempotency.Forward:
		return o.Forwarder.Forward(ctx, d.Owner, keyText, revision, call)
	case idempotency.Refuse:
		return nil, false, d.Err
	}
	answer, err := o.execute(ctx, call, key)
	return answer, false, err
}

func (o *Once) begin(request idempotency.Call) (idempotency.Decision, uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	revision := o.refresh()
	return o.register.Begin(o.now(), request), revision
}

// refresh hands the register the host list in force and when it was last
// confirmed, and gives the list's revision.
func (o *Once) refresh() uint64 {
	hosts, confirmed := o.Board.Hosts.Get(), o.Board.Confirmed.Get()
	if hosts == nil || confirmed == nil {
		return 0
	}
	if hosts.Revision != confirmed.HostsRevision {
		// The list on the blackboard is older than the one that was confirmed.
		o.register.ObservePeerRevision(o.now(), confirmed.HostsRevision)
		return hosts.Revision
	}
	o.register.ConfirmHosts(o.now(), idempotency.HostList{
		Revision: hosts.Revision, LiveHosts: hosts.LiveEntries(), ConfirmedAt: confirmed.At.Sub(o.start),
	})
	return hosts.Revision
}

// Refresh keeps the register's view of the host list continuous while no call
// comes.
func (o *Once) Refresh() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refresh()
}

// execute runs a call that this process may run. The call goes on when its
// caller leaves: its outcome is on record for when the caller asks again.
func (o *Once) execute(ctx context.Context, call Call, key idempotency.Key) (*idempotency.Answer, error) {
	lease, err := acquire(ctx, o.Admission, o.Pick, call, nil)
	if err != nil {
		o.notRun(call, key)
		return nil, err
	}
	started := time.Now()
	runCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), onceLimit)
	defer cancel()
	answer, err := o.send(runCtx, call, key, lease)
	elapsed := time.Since(started)
	lease.Settle(outcome(runCtx, err), elapsed, elapsed)
	o.record(call, key, answer, err)
	return answer, err
}

func (o *Once) send(ctx context.Context, call Call, key idempotency.Key, lease *admit.Lease) (*idempotency.Answer, error) {
	req, err := call.request(lease.Target)
	if err != nil {
		return nil, err
	}
	resp, err := o.Client.Do(req.WithContext(ctx), func() error {
		if err := lease.Check(time.Now()); err != nil {
			return err
		}
		return o.check(call, key)
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

// check is the last look at the right to run, right before the first byte.
func (o *Once) check(call Call, key idempotency.Key) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refresh()
	until, err := o.register.Check(o.now(), call.Account.Name, key)
	if err != nil {
		return err
	}
	if o.now() >= until {
		return failure.New(failure.KindKeyUnvouched, "the process was paused before the call was sent").Unknown()
	}
	return nil
}

func (o *Once) notRun(call Call, key idempotency.Key) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.register.MarkNotRun(call.Account.Name, key)
}

func (o *Once) record(call Call, key idempotency.Key, answer *idempotency.Answer, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	account := call.Account.Name
	switch {
	case err == nil:
		o.register.MarkFinished(account, key, answer)
	case failure.From(err).Executed == failure.ExecutedNo:
		o.register.MarkNotRun(account, key)
	default:
		o.register.MarkLost(account, key)
	}
}
