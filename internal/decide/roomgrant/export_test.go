package roomgrant

// Size returns the number of engines of which something is held.
func (l *Ledger) Size() int { return len(l.engines) }

// Size returns the number of engines of which something is held.
func (r *Reported) Size() int { return len(r.engines) }
