package rollout

import (
	"cmp"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Version is a document's place in the order of edits.
type Version struct {
	// Epoch is the operators' number, from the table's own row, and the number
	// of restores that were recognised since; see EpochOf.
	Epoch uint64
	// Revision is the configuration service's.
	Revision uint64
}

// Compare orders versions by epoch, then by revision.
func (v Version) Compare(w Version) int {
	return cmp.Or(cmp.Compare(v.Epoch, w.Epoch), cmp.Compare(v.Revision, w.Revision))
}

// After tells whether v is newer than w.
func (v Version) After(w Version) bool { return v.Compare(w) > 0 }

// restoreBits is the room for recognised restores within an epoch.
const restoreBits = 16

// CombineEpoch puts the operators' number and the number of recognised restores
// into one; the operators' leads.
func CombineEpoch(operators, restores uint64) uint64 { return operators<<restoreBits | restores }

// OperatorEpoch gives the operators' part of the epoch.
func (v Version) OperatorEpoch() uint64 { return v.Epoch >> restoreBits }

// RestoreCount gives the number of restores that were recognised in this epoch.
func (v Version) RestoreCount() uint64 { return v.Epoch & (1<<restoreBits - 1) }

// String gives the version as epoch.revision, with the recognised restores as
// epoch+restores.revision where there are any.
func (v Version) String() string {
	if v.RestoreCount() > 0 {
		return fmt.Sprintf("%d+%d.%d", v.OperatorEpoch(), v.RestoreCount(), v.Revision)
	}
	return fmt.Sprintf("%d.%d", v.OperatorEpoch(), v.Revision)
}

// Head is what two nodes compare to learn whether they hold the same.
type Head struct {
	Version Version
	// Digest is the sum of the rows' hashes, so that one row's change costs
	// one subtraction and one addition, whatever the number of rows.
	Digest uint64
}

// Row is one row of a document; Text is empty when the row is gone.
type Row struct {
	Key  string
	Text string
}

// hash gives a row's part of the digest; a row that is gone adds nothing.
func (r Row) hash() uint64 {
	if r.Text == "" {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(r.Key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(r.Text)
	return d.Sum64()
}

// ComputeDigest gives the digest of a whole document.
func ComputeDigest(rows []Row) uint64 {
	var sum uint64
	for _, r := range rows {
		sum += r.hash()
	}
	return sum
}

// Refusal is a version that failed validation.
type Refusal struct {
	Version Version
	Reason  string
}
