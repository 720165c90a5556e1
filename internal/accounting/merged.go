package accounting

// Merged reassembles the full set of rows from the changed rows that an entry
// process sends. Only changed rows are sent, because at the target size an
// entry process has thousands of rows, of which a few change in half a second.
type Merged struct {
	header Snapshot
	rows   map[rowKey]Counts
}

// NewMerged returns a Merged without rows.
func NewMerged() *Merged { return &Merged{rows: map[rowKey]Counts{}} }

// Take replaces the rows contained in the snapshot.
func (m *Merged) Take(s Snapshot) {
	for _, l := range s.Lines {
		m.rows[rowKey{l.Account, l.Service}] = l.Counts
	}
	m.header = Snapshot{Host: s.Host, DataCentre: s.DataCentre, Incarnation: s.Incarnation}
}

// Snapshot returns all rows.
func (m *Merged) Snapshot() Snapshot {
	lines := make([]Line, 0, len(m.rows))
	for key, counts := range m.rows {
		lines = append(lines, Line{Account: key.account, Service: key.service, Counts: counts})
	}
	sortLines(lines)
	return snapshotOf(m.header.Host, m.header.DataCentre, m.header.Incarnation, lines)
}
