package contract_test

import (
	"fmt"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/contract"
	"github.com/lotuswing/lotuswing/coord/placement"
)

// BenchmarkDecide measures one acquire with its complete, at three sizes and
// with 1, 8 and 64 goroutines that share the ledger's lock.
func BenchmarkDecide(b *testing.B) {
	for _, size := range []int{10, 100, 1000} {
		for _, goroutines := range []int{1, 8, 64} {
			b.Run(fmt.Sprintf("endpoints=%d/goroutines=%d", size, goroutines), func(b *testing.B) {
				l := contract.NewLedger(contract.Options{})
				l.SetEndpoints(start, endpoints(size), never)
				var mu sync.Mutex
				var wg sync.WaitGroup
				b.ReportAllocs()
				b.ResetTimer()
				for g := range goroutines {
					wg.Go(func() {
						for i := range b.N / goroutines {
							r := request(strconv.Itoa(g*b.N+i), placement.Interactive, start)
							mu.Lock()
							l.Acquire(start, r)
							l.Complete(start, r.ID, placement.Completed, 20*time.Millisecond)
							mu.Unlock()
						}
					})
				}
				wg.Wait()
			})
		}
	}
}
