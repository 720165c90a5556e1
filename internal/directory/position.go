package directory

import (
	"cmp"
	"fmt"
	"log/slog"
)

// Position is a point in the store's history of changes.
//
// The store counts its changes with one revision. A restore from a copy takes
// the revision back and gives revisions out again, so revisions order changes
// only within one era.
type Position struct {
	// Era is the number of the store's restores as the store counts them; 0 if
	// its answers do not name one.
	Era uint64
	// Revision is the store's revision within the era.
	Revision uint64
}

// Compare orders positions by era, then by revision.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// After reports whether p is later than q.
func (p Position) After(q Position) bool { return p.Compare(q) > 0 }

// String returns the position as era.revision.
func (p Position) String() string { return fmt.Sprintf("%d.%d", p.Era, p.Revision) }

// LogValue returns the position as era.revision.
func (p Position) LogValue() slog.Value { return slog.StringValue(p.String()) }

// Reading is what one call to the store returned.
type Reading struct {
	Records []Record
	// At is the position up to which Records includes all changes that the
	// call asked for.
	At Position
	// EraError says why the era of an answer cannot be read. At.Era is 0 if no
	// other answer of the call names one.
	EraError string
}
