// Package admin supplies the administration interface with the state of this
// process.
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

// ParseTokens parses the digests of the operators' and the monitor's keys.
func ParseTokens(operators, monitors []string) ([]adminapi.Token, error) {
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

// Router serves health and readiness without a key and passes /admin/ to the
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

// Source provides the figures of this process.
type Source struct {
	Self  string
	State *state.Service
	Pools *poolmanager.Manager
}

// TargetStatus implements adminapi.TargetSource.
func (s *Source) TargetStatus(service, address string) (adminapi.TargetStatus, bool) {
	var status adminapi.TargetStatus
	found := false
	for _, running := range s.runningPools() {
		if !slices.Contains(running.plan.Services, service) {
			continue
		}
		for _, t := range running.snapshot.Targets {
			if t.Address == address {
				status, found = targetStatus(t, running.snapshot.Waiting), true
			}
		}
	}
	return status, found
}

func targetStatus(t admission.TargetSnapshot, waiting int) adminapi.TargetStatus {
	return adminapi.TargetStatus{
		Known: true, Running: t.Running, Waiting: waiting, Capacity: t.Report.Capacity,
		MemoryTokens: t.Report.KVCapacityTokens, UsedTokens: t.Report.KVUsedTokens, Preemptions: t.Report.Preemptions,
		ReportAgeMS: t.Report.Age.Milliseconds(),
	}
}

// AccountStatus implements adminapi.AccountSource with the accounting of this
// host's entries.
func (s *Source) AccountStatus(name string) (running, waiting int, tokens uint64) {
	for _, snapshot := range s.State.Accounting() {
		for _, line := range snapshot.Rows {
			if line.Account == name {
				running += int(line.InProgress)
				tokens += line.PromptTokens + line.OutputTokens
			}
		}
	}
	return running, waiting, tokens
}

type runningPool struct {
	plan     poolmanager.Plan
	snapshot admission.Snapshot
}

// runningPools returns the pools that run here with their allocators' state.
func (s *Source) runningPools() []runningPool {
	var runners []*poolrunner.Runner
	var result []runningPool
	s.Pools.ForEach(func(p poolmanager.Plan, r *poolrunner.Runner) {
		runners = append(runners, r)
		result = append(result, runningPool{plan: p})
	})
	for i, r := range runners {
		result[i].snapshot = r.Snapshot()
	}
	return result
}

// Accounting implements adminapi.AccountingSource.
func (s *Source) Accounting() adminapi.AccountingDocument {
	doc := adminapi.AccountingDocument{Self: s.Self, Rows: []adminapi.AccountingRow{}, Unbalanced: []adminapi.AccountingRow{}}
	for _, snapshot := range s.State.Accounting() {
		doc.Entries = append(doc.Entries, adminapi.AccountingHost{
			Entry: snapshot.Host, Incarnation: snapshot.Incarnation, Reached: true,
		})
		for _, line := range snapshot.Rows {
			row := accountingRow(snapshot, line)
			doc.Rows = append(doc.Rows, row)
			if !row.Balanced() {
				doc.Unbalanced = append(doc.Unbalanced, row)
			}
		}
	}
	return doc
}

func accountingRow(snapshot accounting.Snapshot, line accounting.Row) adminapi.AccountingRow {
	const microsPerMilli = 1000
	return adminapi.AccountingRow{
		Entry: snapshot.Host, Incarnation: snapshot.Incarnation, Account: line.Account, Service: line.Service,
		Received: line.Received, Refused: line.Refused, Ran: line.Ran, Unknown: line.Unknown, InProgress: line.InProgress,
		Failed: line.Failed, WaitMS: line.WaitUS / microsPerMilli, StallMS: line.StallUS / microsPerMilli, Tokens: line.OutputTokens,
		Hedges: line.Hedges, Retries: line.Retries, Resumes: line.Resumes, Replays: line.Replays, MisplacedFrames: line.MisplacedFrames,
		FirstToken: line.FirstToken, TokenGap: line.TokenGap, NoStall: line.NoStall, Complete: line.Complete, Lookup: line.Lookup,
	}
}
