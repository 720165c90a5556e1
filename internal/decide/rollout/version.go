package rollout

import (
	"cmp"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Version is the position of a document in the order of edits.
type Version struct {
	// Epoch combines the operators' epoch, from a row of the table itself, and
	// the number of restores recognised since then.
	Epoch uint64
	// Revision is the revision of the configuration service.
	Revision uint64
}

// Compare orders versions by epoch, then by revision.
func (v Version) Compare(w Version) int {
	return cmp.Or(cmp.Compare(v.Epoch, w.Epoch), cmp.Compare(v.Revision, w.Revision))
}

// After reports whether v is newer than w.
func (v Version) After(w Version) bool { return v.Compare(w) > 0 }

// restoreBits is the number of low bits of an epoch that hold the number of
// recognised restores.
const restoreBits = 16

// CombineEpoch combines the operators' epoch, in the high bits, and the number of
// recognised restores.
func CombineEpoch(operatorEpoch, restores uint64) uint64 {
	return operatorEpoch<<restoreBits | restores
}

// OperatorEpoch returns the operators' part of the epoch.
func (v Version) OperatorEpoch() uint64 { return v.Epoch >> restoreBits }

// RestoreCount returns the number of restores that were recognised in this epoch.
func (v Version) RestoreCount() uint64 { return v.Epoch & (1<<restoreBits - 1) }

// String returns the version as epoch.revision, or as epoch+restores.revision
// if restores were recognised.
func (v Version) String() string {
	if v.RestoreCount() > 0 {
		return fmt.Sprintf("%d+%d.%d", v.OperatorEpoch(), v.RestoreCount(), v.Revision)
	}
	return fmt.Sprintf("%d.%d", v.OperatorEpoch(), v.Revision)
}

// Head is what two nodes compare to find out whether their documents are equal.
type Head struct {
	Version Version
	// Digest is the sum of the rows' hashes, so that updating it for a changed
	// row costs one subtraction and one addition regardless of the number of
	// rows.
	Digest uint64
}

// Row is one row of a document. Text is empty if the row was deleted.
type Row struct {
	Key  string
	Text string
}

// hash returns the row's part of the digest, which is 0 for a deleted row.
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

// ComputeDigest returns the digest of a whole document.
func ComputeDigest(rows []Row) uint64 {
	var sum uint64
	for _, r := range rows {
		sum += r.hash()
	}
	return sum
}

// Refusal records a version that failed validation, and the reason.
type Refusal struct {
	Version Version
	Reason  string
}
