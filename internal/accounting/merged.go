package accounting

// SnapshotMerger reassembles the full set of rows from the changed rows that an entry
// process sends. Only changed rows are sent, because at the target size an
// entry process has thousands of rows, of which a few change in half a second.
type SnapshotMerger struct {
	header Snapshot
	rows   map[rowKey]Counts
}

// NewSnapshotMerger returns a Merged without rows.
func NewSnapshotMerger() *SnapshotMerger { return &SnapshotMerger{rows: map[rowKey]Counts{}} }

// Apply replaces the rows contained in the snapshot.
func (m *SnapshotMerger) Apply(s Snapshot) {
	for _, l := range s.Rows {
		m.rows[rowKey{l.Account, l.Service}] = l.Counts
	}
	m.header = Snapshot{Host: s.Host, DataCentre: s.DataCentre, Incarnation: s.Incarnation}
}

// Snapshot returns all rows.
func (m *SnapshotMerger) Snapshot() Snapshot {
	lines := make([]Row, 0, len(m.rows))
	for key, counts := range m.rows {
		lines = append(lines, Row{Account: key.account, Service: key.service, Counts: counts})
	}
	sortLines(lines)
	return snapshotOf(m.header.Host, m.header.DataCentre, m.header.Incarnation, lines)
}
