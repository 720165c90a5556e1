package adminapi

import (
	"bytes"
	"maps"
	"slices"
	"strconv"
	"time"

	"filbertdeck/internal/configservice"
	"filbertdeck/internal/controller/configwatch"
	"filbertdeck/internal/decide/membership"
	"filbertdeck/internal/table"
)

// retryNotReady is when asking again makes sense after a start.
const retryNotReady = time.Second

// Words for hosts that only one side knows.
const (
	absent  = "absent"
	unknown = "unknown"
)

func (h *handler) hosts(Role) (any, error) {
	list := h.Hosts.Get()
	if list == nil {
		return nil, notReady("the list of hosts")
	}
	members := map[string]membership.Member{}
	if view := h.Members.Get(); view != nil {
		for _, m := range view.Members {
			members[m.Address] = m
		}
	}
	doc := HostsDocument{Self: h.Self, Version: list.Version.String(), Hosts: []HostStatus{}}
	if !list.ConfirmedAt.IsZero() {
		age := time.Since(list.ConfirmedAt).Milliseconds()
		doc.ConfirmedAgeMS = &age
	}
	for _, host := range list.List {
		doc.Hosts = append(doc.Hosts, hostStatus(host, members))
		delete(members, host.Control)
	}
	// Processes that gossip knows and the published list does not (any more).
	for _, address := range slices.Sorted(maps.Keys(members)) {
		m := members[address]
		doc.Hosts = append(doc.Hosts, HostStatus{
			DataCentre: m.DataCentre, Control: address, Published: absent, Member: m.State.String(), Incarnation: m.Incarnation,
		})
	}
	return doc, nil
}

func hostStatus(host configservice.Host, members map[string]membership.Member) HostStatus {
	s := HostStatus{
		Name: host.Name, DataCentre: host.DataCentre, Entry: host.Entry, Control: host.Control,
		Published: string(host.State), Member: unknown,
	}
	if m, ok := members[host.Control]; ok {
		s.Member, s.Incarnation = m.State.String(), m.Incarnation
	}
	return s
}

func (h *handler) targets(Role) (any, error) {
	list := h.Targets.Get()
	if list == nil {
		return nil, notReady("the list of targets")
	}
	drained := map[string]bool{}
	if t := h.Table.Get(); t != nil {
		drained = t.Drained
	}
	doc := TargetsDocument{Self: h.Self, Targets: []TargetStatus{}}
	for _, service := range slices.Sorted(maps.Keys(list.ByService)) {
		for _, t := range list.ByService[service] {
			doc.Targets = append(doc.Targets, h.targetStatus(t, drained[t.DataCentre]))
		}
	}
	return doc, nil
}

func (h *handler) targetStatus(t configservice.Target, drained bool) TargetStatus {
	var s TargetStatus
	if h.TargetSource != nil {
		s, s.Known = h.TargetSource.TargetStatus(t.Service, t.Address)
	}
	s.Service, s.Address, s.DataCentre = t.Service, t.Address, t.DataCentre
	s.PublishedState, s.Drained = string(t.State), drained
	return s
}

func (h *handler) accounts(Role) (any, error) {
	t := h.Table.Get()
	if t == nil {
		return nil, notReady("the table")
	}
	doc := AccountsDocument{Self: h.Self, Revision: version(t), Accounts: []AccountStatus{}}
	for _, name := range slices.Sorted(maps.Keys(t.Accounts)) {
		a := t.Accounts[name]
		s := AccountStatus{
			Name: name, Weight: a.Weight, MaxRunning: a.MaxRunning, TokensPerSecond: a.TokensPerSecond,
			Priority: a.Priority, Keys: len(a.KeyHashes), Services: append([]string{}, a.Services...),
		}
		if h.AccountSource != nil {
			s.Running, s.Waiting, s.Tokens = h.AccountSource.AccountStatus(name)
		}
		doc.Accounts = append(doc.Accounts, s)
	}
	return doc, nil
}

func version(t *table.Table) string {
	return strconv.FormatUint(t.Epoch, 10) + "." + strconv.FormatUint(t.Revision, 10)
}

func (h *handler) rollout(Role) (any, error) {
	state := h.Rollout.Get()
	if state == nil {
		return nil, notReady("the rollout")
	}
	doc := RolloutDocument{
		Self: h.Self, Ready: state.Ready, PeersAsked: state.PeersConfirmed, Documents: []DocumentStatus{},
		Service: ServiceStatus{
			Reader: state.Service.IsReader, Revision: state.Service.Revision, Behind: state.Service.Behind,
			LastFailure: state.Service.LastFailure, AnsweredAt: moment(state.Service.AnsweredAt),
		},
	}
	for _, d := range state.Documents {
		doc.Documents = append(doc.Documents, documentStatus(d))
	}
	return doc, nil
}

func documentStatus(d configwatch.DocumentState) DocumentStatus {
	s := DocumentStatus{
		Document: string(d.Section), Version: d.Head.Version.String(),
		Digest: strconv.FormatUint(d.Head.Digest, 16), Rows: d.Rows, Since: moment(d.InForceSince),
	}
	if d.LatestRefusal.Reason != "" {
		s.RefusedVersion, s.RefusedReason = d.LatestRefusal.Version.String(), d.LatestRefusal.Reason
	}
	return s
}

func moment(t time.Time) *time.Time {
	if t.IsZero() {
		return nil
	}
	t = t.UTC()
	return &t
}

// table gives the table in force in its canonical form; the monitor's copy
// has no digests of keys.
func (h *handler) table(role Role) (any, error) {
	t := h.Table.Get()
	if t == nil {
		return nil, notReady("the table")
	}
	if role != RoleOperator {
		t = withoutKeys(t)
	}
	return csvText(bytes.Join(table.EncodePages(t), nil)), nil
}

func withoutKeys(t *table.Table) *table.Table {
	out := *t
	out.Accounts = make(map[string]*table.Account, len(t.Accounts))
	for name, a := range t.Accounts {
		bare := *a
		bare.KeyHashes = nil
		out.Accounts[name] = &bare
	}
	return &out
}

func (h *handler) accounting(Role) (any, error) {
	if h.AccountingSource == nil {
		return nil, notReady("the accounting")
	}
	doc := h.AccountingSource.Accounting()
	doc.Self = h.Self
	if doc.Rows == nil {
		doc.Rows = []AccountingRow{}
	}
	doc.Unbalanced = []AccountingRow{}
	for _, r := range doc.Rows {
		if !r.Balanced() {
			doc.Unbalanced = append(doc.Unbalanced, r)
		}
	}
	return doc, nil
}
