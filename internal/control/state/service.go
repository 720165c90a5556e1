// Package state serves the entries' view of the world: table, hosts, pools.
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
	// Backlog gives the wait in any pool, own or heard of; false when unknown.
	Backlog func(pool string) (time.Duration, bool)
	// Ready tells whether the table in force may be handed out: a process that
	// was just started could hold an older one than its peers.
	Ready func() bool
	// Gone lists the control processes that are known to be gone, in order.
	Gone func() []string

	mu         sync.Mutex
	accounting map[string]*accounting.SnapshotMerger
}

// backlogEvery is how often changed backlogs are pushed to the entries.
const backlogEvery = 500 * time.Millisecond

// Session implements the Admission service.
func (s *Service) Session(stream grpc.BidiStreamingServer[filbertv1.EntryMessage, filbertv1.ControlMessage]) error {
	return s.Sessions.Serve(stream)
}

// Confirm tells how fresh the host list is.
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

// PutAccounting takes the counters of an entry: all rows, or those that
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

// Accounting gives the last counters of each entry.
func (s *Service) Accounting() []accounting.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []accounting.Snapshot
	for _, merged := range s.accounting {
		all = append(all, merged.Snapshot())
	}
	return all
}

// WatchState pushes what changes. Each section is sent whole, at first and
// whenever its version changes.
func (s *Service) WatchState(_ *filbertv1.WatchStateRequest, stream grpc.ServerStreamingServer[filbertv1.StateUpdate]) error {
	ticker := time.NewTicker(backlogEvery)
	defer ticker.Stop()
	var sent sentState
	for {
		tables, hosts, plans := s.Board.Table.Changed(), s.Board.Hosts.Changed(), s.Pools.Changed()
		if update := s.update(&sent); update != nil {
			if err := stream.Send(update); err != nil {
				return err
			}
		}
		select {
		case <-tables:
		case <-hosts:
		case <-plans:
		case <-ticker.C:
		case <-stream.Context().Done():
			return nil
		}
	}
}

// sentState remembers what a stream has received.
type sentState struct {
	table    *table.Table
	hosts    uint64
	plans    *[]poolmanager.Plan
	gone     []string
	backlogs map[string]uint32
}

func (s *Service) update(sent *sentState) *filbertv1.StateUpdate {
	if !s.Ready() {
		return nil
	}
	update := &filbertv1.StateUpdate{}
	if t := s.Board.Table.Get(); t != nil && t != sent.table {
		update.Table = tableSection(sent.table, t)
		sent.table = t
	}
	if h := s.Board.Hosts.Get(); h != nil && h.Version.Revision != sent.hosts {
		sent.hosts = h.Version.Revision
		update.Hosts = hostsSection(h)
	}
	update.Pools = s.poolsSection(sent)
	update.Backlogs = s.backlogsSection(sent)
	if update.Table == nil && update.Hosts == nil && update.Pools == nil && update.Backlogs == nil {
		return nil
	}
	return update
}

// tableSection gives the table whole, or as its changes since the one that the
// stream has: an edit of one row among 11,000 must not make every entry read
// them all.
func tableSection(sent, t *table.Table) *filbertv1.TableSection {
	section := &filbertv1.TableSection{Revision: t.Revision, Epoch: t.Epoch, Restores: t.Restores}
	for name := range t.Drained {
		section.Drained = append(section.Drained, name)
	}
	if sent == nil {
		section.Pages = table.EncodePages(t)
		return section
	}
	section.Delta = true
	for _, c := range table.ChangedRows(sent, t) {
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

// poolsSection lists all pools when the plan changed, or when a control process
// is newly known to be gone or back; nil otherwise.
func (s *Service) poolsSection(sent *sentState) *filbertv1.PoolsSection {
	plans, gone := s.Pools.Plans(), s.Gone()
	if plans == nil || (plans == sent.plans && slices.Equal(gone, sent.gone)) {
		return nil
	}
	sent.plans, sent.gone = plans, gone
	section := &filbertv1.PoolsSection{}
	for _, p := range *plans {
		section.Pools = append(section.Pools, &filbertv1.Pool{
			Name: p.ID, Services: p.Services, DataCentre: p.DataCentre, Targets: p.Targets, Drained: p.Drained,
			Owners: reachable(p.Owners, gone),
		})
	}
	return section
}

// reachable puts the owners that are known to be gone last: they are tried
// when all others fail, since the knowledge may be wrong.
func reachable(owners, gone []string) []string {
	out := make([]string, 0, len(owners))
	var last []string
	for _, o := range owners {
		if slices.Contains(gone, o) {
			last = append(last, o)
			continue
		}
		out = append(out, o)
	}
	return append(out, last...)
}

// backlogsSection gives the backlogs that changed; nil when none did.
func (s *Service) backlogsSection(sent *sentState) *filbertv1.BacklogsSection {
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
		if last, told := sent.backlogs[p.ID]; told && last == ms {
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
