// Package revision orders the changes of the platform's store.
package revision

import (
	"cmp"
	"strconv"
)

// Revision is a point in the store's history. The store numbers its changes. When it is
// restored from a backup a new era begins, in which it assigns the numbers after the backup
// again, to other changes.
type Revision struct {
	Era   uint64
	Count uint64
}

// Compare returns -1, 0 or 1 if r is before, equal to or after o.
func (r Revision) Compare(o Revision) int {
	return cmp.Or(cmp.Compare(r.Era, o.Era), cmp.Compare(r.Count, o.Count))
}

// After reports whether r comes after o.
func (r Revision) After(o Revision) bool { return r.Compare(o) > 0 }

// Max returns the later of two revisions.
func Max(a, b Revision) Revision {
	if b.After(a) {
		return b
	}
	return a
}

// IsZero reports whether nothing is known of the store's history.
func (r Revision) IsZero() bool { return r == Revision{} }

// String returns era and count separated by a dot, for logs.
func (r Revision) String() string {
	return strconv.FormatUint(r.Era, 10) + "." + strconv.FormatUint(r.Count, 10)
}

// countsPerEra is how many counts of one era have distinct ordinals. Fencing numbers derived
// from them, with room for a thousand holders at each count, stay exact in floating point for
// 2,048 eras.
const countsPerEra = 1 << 32

// Ordinal returns a number that grows with the revision.
func (r Revision) Ordinal() uint64 { return r.Era*countsPerEra + r.Count%countsPerEra }
