// Package state serves the published state to entries: table, hosts and pools.
package state

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"

	"filbertdeck/internal/accounting"
	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/control/poolmanager"
	"filbertdeck/internal/control/sessions"
	"filbertdeck/internal/controller/configwatch"
	"filbertdeck/internal/failure"
	"filbertdeck/internal/table"
)

// Service implements the Admission service for entries.
type Service struct {
	filbertv1.UnimplementedAdmissionServer
	Board    *configwatch.Board
	Pools    *poolmanager.Manager
	Sessions *sessions.Server
	// Backlog returns the wait in a pool, of this process or announced by a peer;
	// false if it is unknown.
	Backlog func(pool string) (time.Duration, bool)
	// Ready reports whether the table in force may be handed out. A process that
	// was just started may hold an older table than its peers.
	Ready func() bool
	// Departed returns the control processes that are known to be dead or to
	// have left, in a stable order.
	Departed func() []string

	mu         sync.Mutex
	accounting map[string]*accounting.SnapshotMerger
}

// backlogInterval is the interval at which changed backlogs are sent to entries.
const backlogInterval = 500 * time.Millisecond

// Session implements the Admission service.
func (s *Service) Session(stream grpc.BidiStreamingServer[filbertv1.EntryMessage, filbertv1.ControlMessage]) error {
	return s.Sessions.Serve(stream)
}

// Confirm returns the revisions in force and the age of the host list's last
// confirmation.
func (s *Service) Confirm(context.Context, *filbertv1.ConfirmRequest) (*filbertv1.ConfirmReply, error) {
	hosts := s.Board.Hosts.Get()
	reply := &filbertv1.ConfirmReply{Unconfirmed: true}
	if t := s.Board.Table.Get(); t != nil {
		reply.TableRevision = t.Revision
	}
	if hosts == nil || hosts.ConfirmedAt.IsZero() {
		return reply, nil
	}
	reply.Unconfirmed = false
	reply.HostsRevision = hosts.Version.Revision
	reply.ConfirmedMs = uint64(time.Since(hosts.ConfirmedAt).Milliseconds()) + 1
	return reply, nil
}

// PutAccounting stores the counters of an entry: all rows, or those that
// changed.
func (s *Service) PutAccounting(_ context.Context, r *filbertv1.PutAccountingRequest) (*filbertv1.PutAccountingReply, error) {
	var snapshot accounting.Snapshot
	if err := json.Unmarshal(r.Snapshot, &snapshot); err != nil {
		return nil, failure.Wrap(err, failure.KindBadRequest, "the accounting of %s cannot be read", r.Entry)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.accounting == nil {
		s.accounting = map[string]*accounting.SnapshotMerger{}
	}
	if s.accounting[r.Entry] == nil || !r.Changes {
		s.accounting[r.Entry] = accounting.NewSnapshotMerger()
	}
	s.accounting[r.Entry].Apply(snapshot)
	return &filbertv1.PutAccountingReply{}, nil
}

// Accounting returns the latest counters of each entry.
func (s *Service) Accounting() []accounting.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []accounting.Snapshot
	for _, merged := range s.accounting {
		all = append(all, merged.Snapshot())
	}
	return all
}

// WatchState streams the state. Each section is sent at first and whenever it
// changes; the table and the backlogs are then reduced to what changed.
func (s *Service) WatchState(_ *filbertv1.WatchStateRequest, stream grpc.ServerStreamingServer[filbertv1.StateUpdate]) error {
	ticker := time.NewTicker(backlogInterval)
	defer ticker.Stop()
	var sent streamState
	for {
		tableChanged, hostsChanged, plansChanged := s.Board.Table.Changed(), s.Board.Hosts.Changed(), s.Pools.Changed()
		if update := s.update(&sent); update != nil {
			if err := stream.Send(update); err != nil {
				return err
			}
		}
		select {
		case <-tableChanged:
		case <-hostsChanged:
		case <-plansChanged:
		case <-ticker.C:
		case <-stream.Context().Done():
			return nil
		}
	}
}

// streamState is the state that a stream has sent.
type streamState struct {
	table         *table.Table
	hostsRevision uint64
	plans         *[]poolmanager.Plan
	departed      []string
	backlogs      map[string]uint32
}

func (s *Service) update(sent *streamState) *filbertv1.StateUpdate {
	if !s.Ready() {
		return nil
	}
	update := &filbertv1.StateUpdate{}
	if t := s.Board.Table.Get(); t != nil && t != sent.table {
		update.Table = tableSection(sent.table, t)
		sent.table = t
	}
	if h := s.Board.Hosts.Get(); h != nil && h.Version.Revision != sent.hostsRevision {
		sent.hostsRevision = h.Version.Revision
		update.Hosts = hostsSection(h)
	}
	update.Pools = s.poolsSection(sent)
	update.Backlogs = s.backlogsSection(sent)
	if update.Table == nil && update.Hosts == nil && update.Pools == nil && update.Backlogs == nil {
		return nil
	}
	return update
}

// tableSection returns the whole table, or the changes since the previous table
// of the stream: an edit of one row among 11,000 must not make every entry read
// all of them.
func tableSection(previous, t *table.Table) *filbertv1.TableSection {
	section := &filbertv1.TableSection{Revision: t.Revision, Epoch: t.Epoch, Restores: t.Restores}
	for name := range t.Drained {
		section.Drained = append(section.Drained, name)
	}
	if previous == nil {
		section.Pages = table.EncodePages(t)
		return section
	}
	section.Delta = true
	for _, c := range table.ChangedRows(previous, t) {
		section.Changes = append(section.Changes, &filbertv1.RowChange{Key: c.Key, Text: c.Text})
	}
	return section
}

func hostsSection(h *configwatch.Hosts) *filbertv1.HostsSection {
	section := &filbertv1.HostsSection{Revision: h.Version.Revision}
	for _, host := range h.List {
		section.Hosts = append(section.Hosts, &filbertv1.HostEntry{
			Name: host.Name, DataCentre: host.DataCentre, Entry: host.Entry, Control: host.Control, State: string(host.State),
		})
	}
	return section
}

// poolsSection lists all pools if the plans or the set of departed control
// processes changed; it returns nil otherwise.
func (s *Service) poolsSection(sent *streamState) *filbertv1.PoolsSection {
	plans, departed := s.Pools.Plans(), s.Departed()
	if plans == nil || (plans == sent.plans && slices.Equal(departed, sent.departed)) {
		return nil
	}
	sent.plans, sent.departed = plans, departed
	section := &filbertv1.PoolsSection{}
	for _, p := range *plans {
		section.Pools = append(section.Pools, &filbertv1.Pool{
			Name: p.ID, Services: p.Services, DataCentre: p.DataCentre, Targets: p.Targets, Drained: p.Drained,
			Owners: departedLast(p.Owners, departed),
		})
	}
	return section
}

// departedLast moves the owners that are known to have departed to the end.
// They are still tried after all others, as that knowledge may be wrong.
func departedLast(owners, departed []string) []string {
	out := make([]string, 0, len(owners))
	var unavailable []string
	for _, o := range owners {
		if slices.Contains(departed, o) {
			unavailable = append(unavailable, o)
			continue
		}
		out = append(out, o)
	}
	return append(out, unavailable...)
}

// backlogsSection returns the backlogs that changed, or nil if none did.
func (s *Service) backlogsSection(sent *streamState) *filbertv1.BacklogsSection {
	if sent.plans == nil {
		return nil
	}
	if sent.backlogs == nil {
		sent.backlogs = map[string]uint32{}
	}
	section := &filbertv1.BacklogsSection{}
	for _, p := range *sent.plans {
		backlog, known := s.Backlog(p.ID)
		if !known {
			continue
		}
		ms := uint32(backlog.Milliseconds())
		if previous, wasSent := sent.backlogs[p.ID]; wasSent && previous == ms {
			continue
		}
		sent.backlogs[p.ID] = ms
		section.Backlogs = append(section.Backlogs, &filbertv1.Backlog{Pool: p.ID, BacklogMs: ms})
	}
	if len(section.Backlogs) == 0 {
		return nil
	}
	return section
}
