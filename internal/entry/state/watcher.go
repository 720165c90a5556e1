package state

import (
	"context"
	"log/slog"
	"maps"
	"time"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/blackboard"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/rpc"
	"filbertdeck/internal/table"
)

const (
	// confirmInterval is how often the control process is asked how fresh the
	// host list is. The request also serves as a heartbeat.
	confirmInterval = 500 * time.Millisecond
	// confirmTimeout limits one such request. A control process on the same host
	// answers within microseconds; after this time the connection is considered
	// broken.
	confirmTimeout = time.Second
	// reconnectDelay prevents a busy loop while no control process can be
	// reached.
	reconnectDelay = 200 * time.Millisecond
)

// Watcher receives state from a control process; it is the only writer of the
// board.
type Watcher struct {
	board      *Board
	controls   []string
	entry      string
	dataCentre string
	creds      rpc.Credentials
	log        *slog.Logger

	tables    *blackboard.Writer[table.Table]
	hosts     *blackboard.Writer[Hosts]
	pools     *blackboard.Writer[Pools]
	backlogs  *blackboard.Writer[map[string]uint32]
	confirmed *blackboard.Writer[Confirmation]

	accountingSnapshot func(all bool) []byte
	// accountingSent is set once the full accounting was sent on the current
	// stream.
	accountingSent bool
	// streamTable is the table received on the current stream, the base for its
	// deltas.
	streamTable *table.Table
}

// WatcherConfig configures a Watcher.
type WatcherConfig struct {
	// Controls are the control processes, tried in order; the local one comes
	// first.
	Controls   []string
	Entry      string
	DataCentre string
	Creds      rpc.Credentials
	Log        *slog.Logger
	// AccountingSnapshot returns the accounting for the control process as JSON:
	// all rows, or only those that changed since the last call.
	AccountingSnapshot func(all bool) []byte
}

// NewWatcher returns a watcher and claims the board's sections for writing.
func NewWatcher(b *Board, config WatcherConfig) (*Watcher, error) {
	w := &Watcher{
		board: b, controls: config.Controls, entry: config.Entry, dataCentre: config.DataCentre,
		creds: config.Creds, log: config.Log, accountingSnapshot: config.AccountingSnapshot,
	}
	var err error
	if w.tables, err = b.Table.Claim(); err != nil {
		return nil, err
	}
	if w.hosts, err = b.Hosts.Claim(); err != nil {
		return nil, err
	}
	if w.pools, err = b.Pools.Claim(); err != nil {
		return nil, err
	}
	if w.backlogs, err = b.Backlogs.Claim(); err != nil {
		return nil, err
	}
	if w.confirmed, err = b.Confirmed.Claim(); err != nil {
		return nil, err
	}
	return w, nil
}

// Run receives state until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, control := range w.controls {
			err := w.watchControl(ctx, control)
			if ctx.Err() != nil {
				return
			}
			w.log.Warn("state stream ended", "control", control, "error", err)
		}
		select {
		case <-time.After(reconnectDelay):
		case <-ctx.Done():
		}
	}
}

// watchControl receives state from one control process until the stream breaks
// or a heartbeat is not answered.
func (w *Watcher) watchControl(ctx context.Context, control string) error {
	conn, err := rpc.Dial(control, w.creds)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	client := filbertv1.NewAdmissionClient(conn)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.streamTable, w.accountingSent = nil, false
	stream, err := client.WatchState(ctx, &filbertv1.WatchStateRequest{Entry: w.entry, DataCentre: w.dataCentre})
	if err != nil {
		return failure.Wrap(err, failure.KindControlLost, "could not open the state stream from control process %s", control)
	}
	confirmDone := make(chan struct{})
	go func() {
		defer close(confirmDone)
		w.confirmLoop(ctx, client)
		cancel()
	}()
	// Wait for the last request of this stream: if it completed during the next
	// stream, it would mark that stream's accounting as sent.
	defer func() { cancel(); <-confirmDone }()
	for {
		update, err := stream.Recv()
		if err != nil {
			return failure.Wrap(err, failure.KindControlLost, "the state stream from control process %s failed", control)
		}
		if err := w.apply(update); err != nil {
			return err
		}
	}
}

// confirmLoop sends requests until one fails.
func (w *Watcher) confirmLoop(ctx context.Context, client filbertv1.AdmissionClient) {
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if w.confirm(ctx, client) != nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

func (w *Watcher) confirm(ctx context.Context, client filbertv1.AdmissionClient) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	askedAt := time.Now()
	reply, err := client.Confirm(ctx, &filbertv1.ConfirmRequest{})
	if err != nil {
		return failure.Wrap(err, failure.KindControlLost, "the control process did not answer the heartbeat")
	}
	if !reply.Unconfirmed {
		w.confirmed.Publish(&Confirmation{
			HostsRevision: reply.HostsRevision,
			ConfirmedAt:   askedAt.Add(-time.Duration(reply.ConfirmedMs) * time.Millisecond),
		})
	}
	_, err = client.PutAccounting(ctx, &filbertv1.PutAccountingRequest{
		Entry: w.entry, Snapshot: w.accountingSnapshot(!w.accountingSent), Changes: w.accountingSent,
	})
	if err != nil {
		return failure.Wrap(err, failure.KindControlLost, "the control process did not accept the accounting")
	}
	w.accountingSent = true
	return nil
}

func (w *Watcher) apply(u *filbertv1.StateUpdate) error {
	if t := u.GetTable(); t != nil {
		if err := w.applyTable(t); err != nil {
			return err
		}
	}
	if h := u.GetHosts(); h != nil {
		w.hosts.Publish(&Hosts{Revision: h.Revision, Entries: h.Hosts})
	}
	if p := u.GetPools(); p != nil {
		w.pools.Publish(newPools(p.Pools))
	}
	if b := u.GetBacklogs(); b != nil {
		w.applyBacklogs(b)
	}
	return nil
}

func (w *Watcher) applyBacklogs(section *filbertv1.BacklogsSection) {
	next := map[string]uint32{}
	if current := w.board.Backlogs.Get(); current != nil {
		next = maps.Clone(*current)
	}
	for _, b := range section.Backlogs {
		next[b.Pool] = b.BacklogMs
	}
	w.backlogs.Publish(&next)
}

// applyTable validates the rows again, although the control process has done so:
// the two may run different releases during an upgrade, and a row that this
// process does not understand must leave its table unchanged. The stream is then
// reopened, since its later deltas no longer apply.
//
// A table older than the one in force is ignored: the entry may have connected
// to a control process that has not received the last edit yet, and an accepted
// edit must never be reverted.
func (w *Watcher) applyTable(section *filbertv1.TableSection) error {
	next, faults := w.readTable(section)
	if len(faults) > 0 {
		w.log.Error("table refused", "revision", section.Revision, "faults", len(faults))
		return failure.Wrap(faults.Err(), failure.KindTableInvalid, "the table received from the control process is invalid")
	}
	next.Restores = section.Restores
	next.Drained = make(map[string]bool, len(section.Drained))
	for _, name := range section.Drained {
		next.Drained[name] = true
	}
	w.streamTable = next
	if current := w.board.Table.Get(); current != nil && current.IsNewerThan(next) {
		return nil
	}
	w.tables.Publish(next)
	return nil
}

func (w *Watcher) readTable(section *filbertv1.TableSection) (*table.Table, table.Faults) {
	if !section.Delta {
		next, faults := table.Parse(section.Revision, section.Pages)
		if len(faults) == 0 {
			next.Epoch = section.Epoch
		}
		return next, faults
	}
	base := w.streamTable
	if base == nil {
		base = &table.Table{}
	}
	changes := make([]table.RowChange, len(section.Changes))
	for i, c := range section.Changes {
		changes[i] = table.RowChange{Key: c.Key, Text: c.Text}
	}
	return base.Apply(section.Epoch, section.Revision, changes)
}
