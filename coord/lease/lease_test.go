package lease_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/internal/fakestore"
	"github.com/lotuswing/lotuswing/coord/lease"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
	if err := flag.Set("rapid.checks", "2000"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const ttl = 5 * time.Second

// TestAtMostOneValidHolder lets holders renew at any time, also late after pauses,
// over a store that loses answers and applies writes late. At no time may two
// holders have a valid term.
func TestAtMostOneValidHolder(t *testing.T) {
	held := 0
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1e9, 0)
		s := fakestore.New(fakestore.Options{
			Clock: func() time.Time { return now },
			Roll:  func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "roll") },
			Down:  10, Lost: 20, Delayed: 10,
		})
		var keepers []*lease.Keeper
		for i := range 3 {
			keepers = append(keepers, lease.NewKeeper(s, "k", fmt.Sprint(i), ttl))
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			k := rapid.SampledFrom(keepers).Draw(t, "keeper")
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0:
				s.Land()
			case 1:
				k.Drop()
			case 2:
				_ = k.Release(context.Background())
			default:
				// The request may take up to 2 s to reach the store.
				_, _ = k.Renew(context.Background(), func() time.Time {
					sent := now
					now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "travel ms")) * time.Millisecond)
					return sent
				})
			}
			valid := 0
			for _, k := range keepers {
				if k.Term().Valid(now) {
					valid++
				}
			}
			assert.Assert(t, valid <= 1, "%d valid holders", valid)
			held += valid
		}
	})
	assert.Assert(t, held > 100, "a lease was held only %d times, too few to test the rule", held)
}

// TestLateWriteExtendsNothing checks a write that was taken for lost and is applied late, while
// the answer to a later write is lost too. The entry found in the store is then the
// earlier write, whose time to live began earlier, so the term must not be extended.
func TestLateWriteExtendsNothing(t *testing.T) {
	now := time.Unix(1e9, 0)
	clock := func() time.Time { return now }
	delayed := false
	s := fakestore.New(fakestore.Options{
		Clock:   clock,
		Delayed: 1,
		Roll: func(n int) int {
			if delayed {
				return 0
			}
			return n - 1
		},
	})
	k := lease.NewKeeper(s, "k", "a", ttl)
	first, err := k.Renew(context.Background(), clock)
	assert.NilError(t, err)
	delayed = true
	now = now.Add(time.Second)
	_, err = k.Renew(context.Background(), clock)
	assert.Assert(t, err != nil)
	_, err = k.Renew(context.Background(), clock)
	assert.Assert(t, err != nil)
	s.Land()
	now = now.Add(3 * time.Second)
	after, err := k.Renew(context.Background(), clock)
	assert.Assert(t, err != nil)
	assert.Equal(t, after, first)
}

// TestPauseIsDetected checks that gaps are measured on the clock that is given, also if it has no
// monotonic reading, and that a clock going back is not taken for a pause.
func TestPauseIsDetected(t *testing.T) {
	d := lease.NewPauseDetector(time.Second)
	start := time.Now()
	assert.Assert(t, !d.Tick(start))
	assert.Assert(t, !d.Tick(start.Add(900*time.Millisecond)))
	assert.Assert(t, d.Tick(start.Add(3*time.Second)))
	d = lease.NewPauseDetector(time.Second)
	d.Tick(start.Round(0))
	assert.Assert(t, d.Tick(start.Add(time.Hour).Round(0)))
	assert.Assert(t, !d.Tick(start.Add(time.Hour).Round(0).Add(900*time.Millisecond)))
	assert.Assert(t, !d.Tick(start.Round(0)), "a clock that goes back shows no pause")
}
