package sessions

import (
	"time"

	"filbertdeck/internal/api/filbertv1"
	"filbertdeck/internal/decide/admission"
)

func (s *Server) handleMessage(sess *session, m *filbertv1.EntryMessage) {
	switch body := m.Body.(type) {
	case *filbertv1.EntryMessage_Ask:
		s.ask(sess, body.Ask)
	case *filbertv1.EntryMessage_Withdraw:
		if r, _, ok := s.pools.Runner(body.Withdraw.Pool); ok {
			r.Withdraw(sess.holder, body.Withdraw.Request)
		}
	case *filbertv1.EntryMessage_Renewals:
		s.renew(sess, body.Renewals)
		sess.send(&filbertv1.ControlMessage{Body: &filbertv1.ControlMessage_Alive{Alive: &filbertv1.Alive{}}})
	case *filbertv1.EntryMessage_Settle:
		s.settle(body.Settle)
	}
}

func (s *Server) ask(sess *session, a *filbertv1.Ask) {
	r, _, ok := s.pools.Runner(a.Pool)
	if !ok {
		sess.send(newRefusal(a.Request, filbertv1.RefusalReason_REFUSAL_REASON_NOT_OWNER, notOwnerRetryDelay))
		return
	}
	r.Ask(admission.Ask{
		Holder: sess.holder, RequestID: a.Request, Account: a.Account, Service: a.Service,
		PromptTokens: int(a.PromptTokens), MaxTokens: int(a.MaxTokens),
		Fingerprint: a.Fingerprint, Prefix: a.Prefix,
		MaxWait: time.Duration(a.WaitMs) * time.Millisecond, Avoid: a.Avoid,
		AdoptTarget: a.AdoptTarget, AdoptTokens: int(a.AdoptTokens),
	})
}

func (s *Server) renew(sess *session, m *filbertv1.Renewals) {
	for _, poolRenewals := range m.Pools {
		r, _, ok := s.pools.Runner(poolRenewals.Pool)
		if !ok {
			continue
		}
		renewals := make([]admission.Renewal, len(poolRenewals.Renewals))
		for i, renewal := range poolRenewals.Renewals {
			renewals[i] = admission.Renewal{
				Lease: admission.LeaseID(renewal.Lease), Target: renewal.Target, Account: renewal.Account, Service: renewal.Service,
				PromptTokens: int(renewal.PromptTokens), ProducedTokens: int(renewal.Produced),
			}
		}
		r.Renew(sess.holder, renewals)
	}
}

var outcomes = map[filbertv1.Outcome]admission.Outcome{
	filbertv1.Outcome_OUTCOME_DONE:           admission.OutcomeDone,
	filbertv1.Outcome_OUTCOME_NOT_RUN:        admission.OutcomeNotRun,
	filbertv1.Outcome_OUTCOME_TARGET_FAILED:  admission.OutcomeTargetFailed,
	filbertv1.Outcome_OUTCOME_CALLER_LEFT:    admission.OutcomeCallerLeft,
	filbertv1.Outcome_OUTCOME_TARGET_CRASHED: admission.OutcomeTargetCrashed,
}

func (s *Server) settle(m *filbertv1.Settle) {
	r, _, ok := s.pools.Runner(m.Pool)
	if !ok {
		return
	}
	r.Settle(admission.Settlement{
		Lease: admission.LeaseID(m.Lease), Outcome: outcomes[m.Outcome], ProducedTokens: int(m.Produced),
		TimeToFirstToken: time.Duration(m.FirstTokenUs) * time.Microsecond,
		Duration:         time.Duration(m.DurationUs) * time.Microsecond,
	})
}
