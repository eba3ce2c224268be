// Package agenda is the clock of simulated fleets in tests: things that happen at set times, in
// order, without waiting for any of them.
//
// # Usage
//
//	a := agenda.New(start)
//	a.After(time.Second, func() { ... })
//	a.Run(10 * time.Second)
package agenda

import (
	"container/heap"
	"time"
)

// Agenda is a simulated clock. It is for one goroutine.
type Agenda struct {
	start   time.Time
	now     time.Time
	entries entries
}

// New returns an agenda that begins at a time.
func New(start time.Time) *Agenda { return &Agenda{start: start, now: start} }

// Now returns the simulated time.
func (a *Agenda) Now() time.Time { return a.now }

// Elapsed returns how long the simulation has run.
func (a *Agenda) Elapsed() time.Duration { return a.now.Sub(a.start) }

// After has something done after a while.
func (a *Agenda) After(d time.Duration, do func()) {
	heap.Push(&a.entries, entry{at: a.now.Add(max(0, d)), number: a.entries.number(), do: do})
}

// Run does what is due until so long after the start.
func (a *Agenda) Run(to time.Duration) {
	for len(a.entries.list) > 0 {
		e := heap.Pop(&a.entries).(entry)
		if e.at.Sub(a.start) > to {
			heap.Push(&a.entries, e)
			return
		}
		a.now = e.at
		e.do()
	}
}

type entry struct {
	at     time.Time
	number int // of those at the same time the first one comes first
	do     func()
}

type entries struct {
	list  []entry
	count int
}

func (e *entries) number() int {
	e.count++
	return e.count
}

// Len, Less, Swap, Push and Pop are those of container/heap.
func (e *entries) Len() int { return len(e.list) }

// Less orders by time.
func (e *entries) Less(i, j int) bool {
	if e.list[i].at.Equal(e.list[j].at) {
		return e.list[i].number < e.list[j].number
	}
	return e.list[i].at.Before(e.list[j].at)
}

// Swap swaps two entries.
func (e *entries) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }

// Push adds an entry.
func (e *entries) Push(x any) { e.list = append(e.list, x.(entry)) }

// Pop removes the last entry.
func (e *entries) Pop() any {
	last := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return last
}
