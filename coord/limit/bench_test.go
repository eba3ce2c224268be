package limit

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkHandleAsks measures the cost of an ask at an owner. The sizes are those
// of one of six equal zones in a fleet of 7,257 balancers and 23,000 endpoints, of which a tenth
// has a limit. The cost was 36 us while each ask scanned all askers, and is 0.6 us since expired
// askers are removed only every askerTTL/10.
func BenchmarkHandleAsks(b *testing.B) {
	const balancers, endpoints = 1210, 384
	limiter := NewLimiter(1)
	addrs := make([]string, balancers)
	for i := range addrs {
		addrs[i] = fmt.Sprintf("10.1.0.%d:8301", i)
	}
	word := Observation{}.With(named(2.5, 0, 10)).WireObservation(at(10))
	now := at(10)
	for i := 0; b.Loop(); i++ {
		now = now.Add(100 * time.Microsecond)
		ask := Ask{Target: Target{ID: fmt.Sprintf("i-%d", i%endpoints), Start: 1}, Want: 1, Word: word}
		limiter.HandleAsks(addrs[i%balancers], []Ask{ask}, true, now)
	}
}
