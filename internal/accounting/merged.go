package accounting

// Merged puts the rows that an entry hands over together again. Rows are
// handed over as they change: at the target size an entry has thousands of
// rows, of which a few change in half a second.
type Merged struct {
	last Snapshot
	rows map[rowKey]Counts
}

// NewMerged returns an accounting without rows.
func NewMerged() *Merged { return &Merged{rows: map[rowKey]Counts{}} }

// Take replaces the rows that the snapshot names.
func (m *Merged) Take(s Snapshot) {
	for _, l := range s.Lines {
		m.rows[rowKey{l.Account, l.Service}] = l.Counts
	}
	m.last = Snapshot{Host: s.Host, DataCentre: s.DataCentre, Incarnation: s.Incarnation}
}

// Snapshot gives all rows.
func (m *Merged) Snapshot() Snapshot {
	lines := make([]Line, 0, len(m.rows))
	for key, counts := range m.rows {
		lines = append(lines, Line{Account: key.account, Service: key.service, Counts: counts})
	}
	sortLines(lines)
	return snapshotOf(m.last.Host, m.last.DataCentre, m.last.Incarnation, lines)
}
