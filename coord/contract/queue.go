package contract

import (
	"slices"
	"time"
)

// waiting is a request in the queue.
type waiting struct {
	Request
	since time.Time
}

// overdue reports whether a patient request has waited through half of its
// patience and so may use the slots kept free.
func (w waiting) overdue(now time.Time) bool {
	return now.Sub(w.since) >= w.WaitUntil.Sub(w.since)/2
}

// queue holds the waiting requests of one class by the end of their patience.
type queue struct {
	items []waiting
}

func (q *queue) len() int { return len(q.items) }

func (q *queue) push(w waiting) {
	at, _ := slices.BinarySearchFunc(q.items, w, func(a, b waiting) int {
		if c := a.WaitUntil.Compare(b.WaitUntil); c != 0 {
			return c
		}
		if a.since.After(b.since) {
			return 1
		}
		return -1
	})
	q.items = slices.Insert(q.items, at, w)
}

func (q *queue) head() (waiting, bool) {
	if len(q.items) == 0 {
		return waiting{}, false
	}
	return q.items[0], true
}

func (q *queue) pop() waiting {
	w := q.items[0]
	q.items = q.items[1:]
	return w
}

// remove takes out the request with an identity.
func (q *queue) remove(id string) bool {
	for i, w := range q.items {
		if w.ID == id {
			q.items = slices.Delete(q.items, i, i+1)
			return true
		}
	}
	return false
}

// expired takes out the requests whose patience has ended.
func (q *queue) expired(now time.Time) []waiting {
	var out []waiting
	for len(q.items) > 0 && !now.Before(q.items[0].WaitUntil) {
		out = append(out, q.pop())
	}
	return out
}
