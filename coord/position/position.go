// Package position orders the content of a store that may be restored from a copy.
//
// A store numbers its changes by revisions. After it was restored from a copy, it gives revisions out again,
// so that a revision alone no longer says which of two changes came later, nor whether two balancers with
// the same revision know the same content. The store therefore states its era, which rises with each
// restore. A position is an era and a revision of that era. All positions of an era come after all those of
// earlier eras.
//
// A position is a plain number, which is compared, sent and kept like a revision. In era 0, which a store
// that states no era is in, the two are the same number.
//
// The package decides nothing else and keeps no state.
//
// # Usage
//
//	at, err := position.New(era, revision)
//	if position.Era(at) > position.Era(known) { /* the store was restored */ }
//	after := position.Revision(at) // in calls to the store
package position

import (
	"errors"
	"fmt"
)

const (
	// revisionBits is the number of bits of a position that hold the revision; the others hold the era.
	revisionBits = 40
	maxRevision  = 1<<revisionBits - 1
	maxEra       = 1<<(64-revisionBits) - 1
)

// ErrOutOfRange is returned for an era or a revision that is too large for a position.
var ErrOutOfRange = errors.New("position: era or revision is out of range")

// New returns the position of a revision of an era.
func New(era, revision uint64) (uint64, error) {
	if era > maxEra || revision > maxRevision {
		return 0, fmt.Errorf("%w: era %d, revision %d", ErrOutOfRange, era, revision)
	}
	return era<<revisionBits | revision, nil
}

// Era returns the era of a position.
func Era(p uint64) uint64 { return p >> revisionBits }

// Revision returns the revision of a position within its era.
func Revision(p uint64) uint64 { return p & maxRevision }

// Restored reports whether the store was restored between two positions.
func Restored(before, after uint64) bool { return Era(after) > Era(before) }

// Text returns a position for logs: the revision, after the era and a slash unless the era is 0.
func Text(p uint64) string {
	if Era(p) == 0 {
		return fmt.Sprint(p)
	}
	return fmt.Sprintf("%d/%d", Era(p), Revision(p))
}
