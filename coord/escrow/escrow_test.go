package escrow_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/escrow"
	"github.com/lotuswing/lotuswing/coord/window"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestNoTokenIsHeldTwice checks that spans which divide the unit interval hold every token once.
func TestNoTokenIsHeldTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := map[string]float64{}
		for i := range rapid.IntRange(1, 300).Draw(t, "balancers") {
			weights[fmt.Sprint(i)] = rapid.Float64Range(0.01, 10).Draw(t, "weight")
		}
		key, total := rapid.String().Draw(t, "key"), rapid.IntRange(0, 2000).Draw(t, "total")
		held := 0
		for _, span := range escrow.Layout(escrow.Whole, weights) {
			held += span.Tokens(key, total)
		}
		assert.Assert(t, held <= total && held >= total-1, "%d of %d", held, total) // rounding of the last end
	})
}

// TestHeldSpansAreDisjoint guards against tokens that two balancers give out: reports and offers are lost,
// balancers come and go, and the zone is divided anew at any moment.
func TestHeldSpansAreDisjoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ledger, held, now := escrow.NewLedger(), map[string]escrow.Span{}, start
		weights := map[string]float64{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1000).Draw(t, "ms")) * time.Millisecond)
			name := fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "balancer"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				weights[name] = rapid.Float64Range(0.01, 10).Draw(t, "weight")
				ledger.Divide(escrow.Whole, weights)
			case 1:
				delete(weights, name)
				ledger.Divide(escrow.Whole, weights)
			case 2:
				ledger.Report(name, held[name], now)
				ledger.Offer(name) // the answer is lost
			default:
				ledger.Report(name, held[name], now)
				held[name] = ledger.Offer(name)
			}
			for a, x := range held {
				for b, y := range held {
					assert.Assert(t, a == b || x.IsEmpty() || y.IsEmpty() || x.End <= y.Start || y.End <= x.Start, "%s holds %v, %s holds %v", a, x, b, y)
				}
			}
		}
	})
}

// TestHoldKeepsWindow checks that a balancer which is isolated never sends more in a window than the tokens
// within its span, and sends them again in the next one.
func TestHoldKeepsWindow(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		span := escrow.Span{Start: 0.2, End: 0.2 + 0.3*rng.Float64()}
		const total = 60
		h, now := escrow.NewHold(span, "team", total, escrow.Bucket{Level: 10, Rate: 10}, float64(rng.IntN(total)), start), start
		var sent []time.Time
		for now.Sub(start) < 20*time.Second {
			now = now.Add(time.Duration(rng.IntN(200)) * time.Millisecond)
			if h.Left(now) > 0 {
				h = h.WithSent(1, now)
				sent = append(sent, now)
			}
		}
		n := span.Tokens("team", total)
		assert.Assert(t, window.MaxCount(sent, escrow.Window) <= n, "seed %d", seed)
		assert.Assert(t, len(sent) >= min(2*n, 100), "seed %d: %d sent of %d in each window", seed, len(sent), n)
	}
}

// TestUndeductedHoldFollowsBucket guards against balancers that each give out all their tokens at once while
// the others have not noticed yet that they are isolated, and give out the same ones.
func TestUndeductedHoldFollowsBucket(t *testing.T) {
	const total = 100
	for after, want := range map[time.Duration]int{0: 5, time.Second: 10, 2 * time.Second: total / 2} {
		h := escrow.NewHold(escrow.Span{Start: 0, End: 0.5}, "team", total, escrow.Bucket{Level: 10, Rate: 10}, 0, start)
		left := h.Left(start.Add(after))
		assert.Assert(t, left >= want-1 && left <= want+1, "%v: %d, want %d", after, left, want)
	}
}
