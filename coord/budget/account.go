package budget

import (
	"time"

	"github.com/lotuswing/lotuswing/coord/lease"
)

// Account is what one balancer may spend: the bucket of the lease term that it
// holds. It is an immutable value; the zero value covers nothing.
type Account struct {
	bucket Bucket
	term   lease.Term
}

// WithTerm returns the account after the lease was acquired or renewed. A new
// holding begins with an empty bucket.
func (a Account) WithTerm(term lease.Term, limit Limit, now time.Time) Account {
	if !term.SameHolding(a.term) {
		a.bucket = New(limit, now)
	}
	a.term = term
	a.bucket = a.bucket.WithLimit(limit, now)
	return a
}

// Spend accounts for a measurement that is about to be made; it covers nothing
// once the term has ended.
func (a Account) Spend(now time.Time, cost time.Duration) (Account, bool) {
	if !a.term.Valid(now) {
		return a, false
	}
	next, ok := a.bucket.Spend(now, cost)
	a.bucket = next
	return a, ok
}

// Holds reports whether the term is valid. Ask again just before sending what
// Spend has covered: a process may have been paused in between.
func (a Account) Holds(now time.Time) bool { return a.term.Valid(now) }

// Term returns the term of the account.
func (a Account) Term() lease.Term { return a.term }
