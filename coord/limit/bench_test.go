package limit

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkAsked is what an ask costs an owner with the balancers of a zone of 7,257 in six and the
// limited endpoints of such a zone, a tenth of 23,000 in six: 36 us while each ask looked at all
// that had asked, 0.6 us now.
func BenchmarkAsked(b *testing.B) {
	const balancers, endpoints = 1210, 384
	book := NewBook(1)
	addrs := make([]string, balancers)
	for i := range addrs {
		addrs[i] = fmt.Sprintf("10.1.0.%d:8301", i)
	}
	word := Word{}.With(named(2.5, 0, 10)).Told(at(10))
	now := at(10)
	for i := 0; b.Loop(); i++ {
		now = now.Add(100 * time.Microsecond)
		ask := Ask{Target: Target{ID: fmt.Sprintf("i-%d", i%endpoints), Start: 1}, Want: 1, Word: word}
		book.Asked(addrs[i%balancers], []Ask{ask}, true, now)
	}
}
