package state

import (
	"context"
	"log/slog"
	"time"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/blackboard"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/rpc"
	"filbertdeck/internal/table"
)

const (
	// confirmEvery is how often the local control process is asked for the
	// freshness of the host list; the question is its heartbeat as well.
	confirmEvery = 500 * time.Millisecond
	// confirmLimit bounds one question. A control process on the same host
	// answers in microseconds; after this time the connection is doubted.
	confirmLimit = time.Second
	// reconnectPause keeps a watcher from spinning while all are gone.
	reconnectPause = 200 * time.Millisecond
)

// Watcher is the board's only writer.
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
	confirmed *blackboard.Writer[Confirmation]

	snapshot func() []byte
	// streamed is the table that the present stream has told so far.
	streamed *table.Table
}

// Params are what a watcher needs to know.
type Params struct {
	// Controls are tried in order, the local one first.
	Controls   []string
	Entry      string
	DataCentre string
	Creds      rpc.Credentials
	Log        *slog.Logger
	// Snapshot gives the accounting, as JSON, for the control process.
	Snapshot func() []byte
}

// NewWatcher claims the board's sections.
func NewWatcher(b *Board, p Params) (*Watcher, error) {
	w := &Watcher{
		board: b, controls: p.Controls, entry: p.Entry, dataCentre: p.DataCentre,
		creds: p.Creds, log: p.Log, snapshot: p.Snapshot,
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
	if w.confirmed, err = b.Confirmed.Claim(); err != nil {
		return nil, err
	}
	return w, nil
}

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		for _, control := range w.controls {
			err := w.follow(ctx, control)
			if ctx.Err() != nil {
				return
			}
			w.log.Warn("state stream ended", "control", control, "error", err)
		}
		select {
		case <-time.After(reconnectPause):
		case <-ctx.Done():
		}
	}
}

// follow takes state from one control process until its heartbeat stays out.
func (w *Watcher) follow(ctx context.Context, control string) error {
	conn, err := rpc.Dial(control, w.creds)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	client := filbertv1.NewAdmissionClient(conn)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w.streamed = nil
	stream, err := client.WatchState(ctx, &filbertv1.WatchStateRequest{Entry: w.entry, DataCentre: w.dataCentre})
	if err != nil {
		return failure.Wrap(err, failure.KindControlLost, "state stream of %s cannot be opened", control)
	}
	go func() {
		w.confirmLoop(ctx, client)
		cancel()
	}()
	for {
		update, err := stream.Recv()
		if err != nil {
			return failure.Wrap(err, failure.KindControlLost, "state stream of %s broke", control)
		}
		if err := w.apply(update); err != nil {
			return err
		}
	}
}

// confirmLoop returns when a question stays without an answer.
func (w *Watcher) confirmLoop(ctx context.Context, client filbertv1.AdmissionClient) {
	ticker := time.NewTicker(confirmEvery)
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
	ctx, cancel := context.WithTimeout(ctx, confirmLimit)
	defer cancel()
	asked := time.Now()
	reply, err := client.Confirm(ctx, &filbertv1.ConfirmRequest{})
	if err != nil {
		return failure.Wrap(err, failure.KindControlLost, "heartbeat was not answered")
	}
	if !reply.Unconfirmed {
		w.confirmed.Publish(&Confirmation{
			HostsRevision: reply.HostsRevision,
			At:            asked.Add(-time.Duration(reply.ConfirmedMs) * time.Millisecond),
		})
	}
	_, err = client.PutAccounting(ctx, &filbertv1.PutAccountingRequest{Entry: w.entry, Snapshot: w.snapshot()})
	if err != nil {
		return failure.Wrap(err, failure.KindControlLost, "accounting was not taken")
	}
	return nil
}

func (w *Watcher) apply(u *filbertv1.StateUpdate) error {
	if t := u.GetTable(); t != nil {
		if err := w.applyTable(t); err != nil {
			return err
		}
	}
	if h := u.GetHosts(); h != nil {
		w.hosts.Publish(&Hosts{Revision: h.Revision, List: h.Hosts})
	}
	if p := u.GetPools(); p != nil {
		w.pools.Publish(newPools(p.Pools))
	}
	return nil
}

// applyTable reads rows again although the control process did so already: the
// two may run different releases during an upgrade, and a row that this one
// does not understand must leave its table as it is. The stream then begins
// anew, since its changes no longer apply.
//
// A table older than the one in force is not taken: the entry may have come to
// a control process that has not heard of the last edit yet, and an accepted
// edit never reverts.
func (w *Watcher) applyTable(section *filbertv1.TableSection) error {
	next, faults := w.readTable(section)
	if len(faults) > 0 {
		w.log.Error("table refused", "revision", section.Revision, "faults", len(faults))
		return failure.Wrap(faults.Err(), failure.KindTableInvalid, "the table handed over cannot be used")
	}
	next.Restores = section.Restores
	next.Drained = make(map[string]bool, len(section.Drained))
	for _, name := range section.Drained {
		next.Drained[name] = true
	}
	w.streamed = next
	if current := w.board.Table.Get(); current != nil && current.Newer(next) {
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
	base := w.streamed
	if base == nil {
		base = &table.Table{}
	}
	changes := make([]table.Change, len(section.Changes))
	for i, c := range section.Changes {
		changes[i] = table.Change{Key: c.Key, Text: c.Text}
	}
	return base.Apply(section.Epoch, section.Revision, changes)
}
