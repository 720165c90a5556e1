package accounting

// SnapshotMerger puts the rows that an entry hands over together again. Rows are
// handed over as they change: at the target size an entry has thousands of
// rows, of which a few change in half a second.
type SnapshotMerger struct {
	last Snapshot
	rows map[rowKey]Counts
}

// NewSnapshotMerger returns an accounting without rows.
func NewSnapshotMerger() *SnapshotMerger { return &SnapshotMerger{rows: map[rowKey]Counts{}} }

// Apply replaces the rows that the snapshot names.
func (m *SnapshotMerger) Apply(s Snapshot) {
	for _, l := range s.Rows {
		m.rows[rowKey{l.Account, l.Service}] = l.Counts
	}
	m.last = Snapshot{Host: s.Host, DataCentre: s.DataCentre, Incarnation: s.Incarnation}
}

// Snapshot gives all rows.
func (m *SnapshotMerger) Snapshot() Snapshot {
	lines := make([]Row, 0, len(m.rows))
	for key, counts := range m.rows {
		lines = append(lines, Row{Account: key.account, Service: key.service, Counts: counts})
	}
	sortLines(lines)
	return snapshotOf(m.last.Host, m.last.DataCentre, m.last.Incarnation, lines)
}
