package budget_test

import (
	"fmt"
	"time"

	"github.com/lotuswing/lotuswing/coord/budget"
)

func ExampleBucket() {
	now := time.Unix(0, 0)
	limit := budget.Limit{Rate: 10 * time.Millisecond, Burst: 21 * time.Millisecond, Reserve: 14 * time.Millisecond}
	b := budget.New(limit, now)
	for range 3 {
		var ok bool
		b, ok = b.Spend(now, 7*time.Millisecond)
		fmt.Println(now.Unix(), ok)
		now = now.Add(time.Second)
	}
	// Output:
	// 0 false
	// 1 true
	// 2 true
}
