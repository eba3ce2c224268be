package contract_test

import (
	"fmt"
	"time"

	"github.com/lotuswing/lotuswing/coord/contract"
	"github.com/lotuswing/lotuswing/coord/placement"
)

func ExampleLedger() {
	now := time.Unix(0, 0)
	l := contract.NewLedger(contract.Options{Overbook: -1})
	l.SetEndpoints(now, []placement.Endpoint{{VM: "e1", Addr: "10.0.0.1:80", Zone: "a", Slots: 1}}, func(string) bool { return false })
	ask := func(id string) contract.Request {
		return contract.Request{ID: id, Holder: "vm-1", Zone: "a", WaitUntil: now.Add(time.Second), Deadline: now.Add(time.Minute)}
	}
	fmt.Println(l.Acquire(now, ask("first"))[0])
	fmt.Println(l.Acquire(now, ask("second"))[0])
	fmt.Println(l.Complete(now, "first", placement.Completed, 20*time.Millisecond)[0])
	// Output:
	// first granted on e1
	// second waits
	// second granted on e1
}
