package lease_test

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/lotuswing/lotuswing/coord/internal/fakestore"
	"github.com/lotuswing/lotuswing/coord/lease"
)

func ExampleKeeper() {
	now := time.Unix(0, 0)
	clock := func() time.Time { return now }
	kv := fakestore.New(fakestore.Options{Clock: clock})
	first := lease.NewKeeper(kv, "lease/measure", "vm-1", 8*time.Second)
	second := lease.NewKeeper(kv, "lease/measure", "vm-2", 8*time.Second)
	term, _ := first.Renew(context.Background(), clock)
	_, err := second.Renew(context.Background(), clock)
	fmt.Println(term.Valid(now), errors.Is(err, lease.ErrHeld))
	now = now.Add(8 * time.Second) // the first holder's lease expires while it is paused
	_, err = second.Renew(context.Background(), clock)
	fmt.Println(term.Valid(now), err)
	// Output:
	// true true
	// false <nil>
}
