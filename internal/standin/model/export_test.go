package model

import "fmt"

// CheckInvariants returns an error if an invariant of the package is violated.
func (e *Engine) CheckInvariants() error {
	heldTokens := 0
	for i, s := range e.running {
		heldTokens += s.heldTokens
		if s.index != i || !s.isRunning || e.jobs[s.job.ID] != s {
			return fmt.Errorf("job %d is in the batch, but its index, state or job entry is wrong", s.job.ID)
		}
	}
	switch {
	case heldTokens != e.usedTokens:
		return fmt.Errorf("engine counts %d tokens in use, sequences hold %d", e.usedTokens, heldTokens)
	case e.usedTokens > e.cfg.MemoryTokens:
		return fmt.Errorf("%d tokens in use, memory has %d", e.usedTokens, e.cfg.MemoryTokens)
	case len(e.jobs) != len(e.running)+len(e.waiting):
		return fmt.Errorf("%d jobs, but %d running and %d waiting", len(e.jobs), len(e.running), len(e.waiting))
	}
	return nil
}

// UsedTokens returns the memory currently in use, without the lag of a report.
func (e *Engine) UsedTokens() int { return e.usedTokens }

// JobCount returns the number of waiting and running jobs.
func (e *Engine) JobCount() int { return len(e.jobs) }
