package model

import "fmt"

// Verify checks the package's invariants.
func (e *Engine) Verify() error {
	held := 0
	for i, s := range e.running {
		held += s.held
		if s.index != i || !s.runs || e.jobs[s.job.ID] != s {
			return fmt.Errorf("job %d runs but is not booked so", s.job.ID)
		}
	}
	switch {
	case held != e.used:
		return fmt.Errorf("used %d, held %d", e.used, held)
	case e.used > e.cfg.MemoryTokens:
		return fmt.Errorf("used %d of %d", e.used, e.cfg.MemoryTokens)
	case len(e.jobs) != len(e.running)+len(e.waiting):
		return fmt.Errorf("%d jobs, %d run, %d wait", len(e.jobs), len(e.running), len(e.waiting))
	}
	return nil
}

// Used gives the memory in use, without the lag of a report.
func (e *Engine) Used() int { return e.used }

// Jobs gives the jobs in the engine.
func (e *Engine) Jobs() int { return len(e.jobs) }
