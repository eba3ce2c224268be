package member_test

import (
	"fmt"
	"time"

	"github.com/lotuswing/lotuswing/coord/member"
)

func ExampleTable() {
	now := time.Unix(0, 0)
	t := member.NewTable(member.Member{ID: "vm-1"}, member.Options{SuspectFor: time.Second})
	t.Merge(now, []member.Member{{ID: "vm-2"}})
	t.Unreachable(now, "vm-2")
	fmt.Println(t.View().IDs(), t.View().Trusted())
	t.Tick(now.Add(time.Second))
	fmt.Println(t.View().IDs())
	// Output:
	// [vm-1 vm-2] [vm-1]
	// [vm-1]
}
