package budget

import (
	"time"

	"github.com/lotuswing/lotuswing/coord/lease"
)

// Account is what one balancer may spend: the bucket of the lease term that it holds. It is an
// immutable value; the zero value allows no spending.
type Account struct {
	bucket Bucket
	term   lease.Term
}

// WithTerm returns the account after the lease was acquired or renewed. If the lease was acquired
// anew, the bucket is replaced by an empty one.
func (a Account) WithTerm(term lease.Term, limit Limit, now time.Time) Account {
	if !term.SameHolding(a.term) {
		a.bucket = New(limit, now)
	}
	a.term = term
	a.bucket = a.bucket.WithLimit(limit, now)
	return a
}

// Spend charges the cost of a measurement that is about to be made. It returns the account
// afterwards, and whether the measurement may be made: the term must be valid and the bucket must
// cover the cost.
func (a Account) Spend(now time.Time, cost time.Duration) (Account, bool) {
	if !a.term.Valid(now) {
		return a, false
	}
	next, ok := a.bucket.Spend(now, cost)
	a.bucket = next
	return a, ok
}

// TermValid reports whether the term is valid at now. Call it again just before sending a
// measurement that Spend has allowed: the process may have been paused in between.
func (a Account) TermValid(now time.Time) bool { return a.term.Valid(now) }

// Term returns the lease term that the account belongs to.
func (a Account) Term() lease.Term { return a.term }
