// Package state serves the entries' view of the world: table, hosts, pools.
package state

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/control/pools"
	"filbertdeck/internal/control/sessions"
	"filbertdeck/internal/controller/configwatch"
	"filbertdeck/internal/table"
)

// Service implements the Admission service for entries.
type Service struct {
	filbertv1.UnimplementedAdmissionServer
	Board    *configwatch.Board
	Pools    *pools.Manager
	Sessions *sessions.Server
	// Backlog gives the wait in any pool, own or heard of; false when unknown.
	Backlog func(pool string) (time.Duration, bool)
	// Ready tells whether the table in force may be handed out: a process that
	// was just started could hold an older one than its peers.
	Ready func() bool
	// Gone tells whether a control process is known to be gone.
	Gone func(control string) bool

	mu         sync.Mutex
	accounting map[string][]byte
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

// PutAccounting takes the counters of an entry.
func (s *Service) PutAccounting(_ context.Context, r *filbertv1.PutAccountingRequest) (*filbertv1.PutAccountingReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.accounting == nil {
		s.accounting = map[string][]byte{}
	}
	s.accounting[r.Entry] = r.Snapshot
	return &filbertv1.PutAccountingReply{}, nil
}

// Accounting gives the last counters of each entry, as JSON.
func (s *Service) Accounting() [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all [][]byte
	for _, snapshot := range s.accounting {
		all = append(all, snapshot)
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
	table *table.Table
	hosts uint64
	pools []*filbertv1.Pool
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
	if list := s.pools(); !samePools(list, sent.pools) {
		sent.pools = list
		update.Pools = &filbertv1.PoolsSection{Pools: list}
	}
	if update.Table == nil && update.Hosts == nil && update.Pools == nil {
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
		section.Pages = table.Encode(t)
		return section
	}
	section.Delta = true
	for _, c := range table.Changes(sent, t) {
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

// pools lists all pools with what an entry needs to choose among them.
func (s *Service) pools() []*filbertv1.Pool {
	var list []*filbertv1.Pool
	for _, p := range s.Pools.Plans() {
		wire := &filbertv1.Pool{
			Name: p.ID, Services: p.Services, DataCentre: p.DataCentre, Owners: s.reachable(p.Owners), Targets: p.Targets,
			Drained: p.Drained,
		}
		if backlog, ok := s.Backlog(p.ID); ok {
			wire.BacklogMs, wire.BacklogKnown = uint32(backlog.Milliseconds()), true
		}
		list = append(list, wire)
	}
	return list
}

// reachable puts the owners that are known to be gone last: they are tried
// when all others fail, since the knowledge may be wrong.
func (s *Service) reachable(owners []string) []string {
	out := make([]string, 0, len(owners))
	var gone []string
	for _, o := range owners {
		if s.Gone(o) {
			gone = append(gone, o)
			continue
		}
		out = append(out, o)
	}
	return append(out, gone...)
}

func samePools(a, b []*filbertv1.Pool) bool {
	if len(a) != len(b) || (a == nil) != (b == nil) {
		return false
	}
	for i := range a {
		if !samePool(a[i], b[i]) {
			return false
		}
	}
	return true
}

func samePool(a, b *filbertv1.Pool) bool {
	return a.Name == b.Name && a.BacklogMs == b.BacklogMs && a.BacklogKnown == b.BacklogKnown && a.Drained == b.Drained &&
		slices.Equal(a.Services, b.Services) && slices.Equal(a.Owners, b.Owners) && slices.Equal(a.Targets, b.Targets)
}
