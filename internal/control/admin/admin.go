// Package admin feeds the administration interface from this process's own
// state.
package admin

import (
	"net/http"
	"slices"

	"github.com/gorilla/mux"

	"filbertdeck/internal/accounting"
	"filbertdeck/internal/adminapi"
	"filbertdeck/internal/control/poolmanager"
	"filbertdeck/internal/control/poolrunner"
	"filbertdeck/internal/control/state"
	"filbertdeck/internal/decide/admission"
	"filbertdeck/internal/failure"
)

// Tokens reads the digests of the operators' and the monitor's keys.
func Tokens(operators, monitors []string) ([]adminapi.Token, error) {
	var tokens []adminapi.Token
	for role, digests := range map[adminapi.Role][]string{
		adminapi.RoleOperator: operators, adminapi.RoleMonitor: monitors,
	} {
		for _, digest := range digests {
			t, err := adminapi.ParseToken(string(role) + ":" + digest)
			if err != nil {
				return nil, err
			}
			tokens = append(tokens, t)
		}
	}
	return tokens, nil
}

// Router serves health and readiness without a key and everything else by the
// administration interface.
func Router(api http.Handler, ready func() bool) *mux.Router {
	r := mux.NewRouter()
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	r.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			failure.Write(w, failure.New(failure.KindNotReady, "the published documents have not been read yet"))
			return
		}
		w.WriteHeader(http.StatusNoContent)
	})
	r.PathPrefix("/admin/").Handler(api)
	return r
}

// Source gives the figures of this process.
type Source struct {
	Self  string
	State *state.Service
	Pools *poolmanager.Manager
}

// TargetStatus implements adminapi.TargetSource.
func (s *Source) TargetStatus(service, address string) (adminapi.TargetStatus, bool) {
	var status adminapi.TargetStatus
	found := false
	for _, owned := range s.owned() {
		if !slices.Contains(owned.plan.Services, service) {
			continue
		}
		for _, t := range owned.snapshot.Targets {
			if t.Address == address {
				status, found = statusOf(t, owned.snapshot.Waiting), true
			}
		}
	}
	return status, found
}

func statusOf(t admission.TargetSnapshot, waiting int) adminapi.TargetStatus {
	return adminapi.TargetStatus{
		Known: true, Running: t.Running, Waiting: waiting, Capacity: t.Report.Capacity,
		MemoryTokens: t.Report.MemoryTokens, UsedTokens: t.Report.UsedTokens, Preemptions: t.Report.Preemptions,
		ReportAgeMS: t.Report.Age.Milliseconds(),
	}
}

// AccountStatus implements adminapi.AccountSource from the accounting of the
// entries of this host.
func (s *Source) AccountStatus(name string) (running, waiting int, tokens uint64) {
	for _, snapshot := range s.State.Accounting() {
		for _, l := range snapshot.Rows {
			if l.Account == name {
				running += int(l.InProgress)
				tokens += l.PromptTokens + l.OutputTokens
			}
		}
	}
	return running, waiting, tokens
}

type ownedPool struct {
	plan     poolmanager.Plan
	snapshot admission.Snapshot
}

// owned asks the allocators that run here for their state.
func (s *Source) owned() []ownedPool {
	var runners []*poolrunner.Runner
	var out []ownedPool
	s.Pools.Each(func(p poolmanager.Plan, r *poolrunner.Runner) {
		runners = append(runners, r)
		out = append(out, ownedPool{plan: p})
	})
	for i, r := range runners {
		out[i].snapshot = r.Snapshot()
	}
	return out
}

// Accounting implements adminapi.AccountingSource.
func (s *Source) Accounting() adminapi.AccountingDocument {
	doc := adminapi.AccountingDocument{Self: s.Self, Rows: []adminapi.AccountingRow{}, Unbalanced: []adminapi.AccountingRow{}}
	for _, snapshot := range s.State.Accounting() {
		doc.Entries = append(doc.Entries, adminapi.AccountingHost{
			Entry: snapshot.Host, Incarnation: snapshot.Incarnation, Reached: true,
		})
		for _, l := range snapshot.Rows {
			row := rowOf(snapshot, l)
			doc.Rows = append(doc.Rows, row)
			if !row.Balanced() {
				doc.Unbalanced = append(doc.Unbalanced, row)
			}
		}
	}
	return doc
}

func rowOf(s accounting.Snapshot, l accounting.Row) adminapi.AccountingRow {
	const perMilli = 1000
	return adminapi.AccountingRow{
		Entry: s.Host, Incarnation: s.Incarnation, Account: l.Account, Service: l.Service,
		Received: l.Received, Refused: l.Refused, Ran: l.Ran, Unknown: l.Unknown, InProgress: l.InProgress,
		Failed: l.Failed, WaitMS: l.WaitUS / perMilli, StallMS: l.StallUS / perMilli, Tokens: l.OutputTokens,
		Hedges: l.Hedges, Retries: l.Retries, Resumes: l.Resumes, Replays: l.Replays, MisplacedFrames: l.MisplacedFrames,
		FirstToken: l.FirstToken, TokenGap: l.TokenGap, NoStall: l.NoStall, Complete: l.Complete, Lookup: l.Lookup,
	}
}
