package quota

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSilentBalancerHasWhatItTook: one that hears no word any more has its part of what the last one
// told and of what came since, less what it has taken of that before.
func TestSilentBalancerHasWhatItTook(t *testing.T) {
	l := Limit{Rate: 100, Burst: 100, Spare: spare}
	a := NewAccount(l, simStart).WithWord(l, Word{Tokens: 80, Part: 0.1}, 0, 0.5, simStart)
	taken := 0
	take := func(now time.Time) {
		for ok := true; ok; {
			if a, ok = a.WithTake(l, now); ok {
				taken++
			}
		}
	}
	take(simStart)
	assert.Equal(t, taken, 8, "its part of 80")
	a = a.WithAsked(simStart)
	for at := silentAfter + time.Millisecond; at <= 2*time.Second; at += 50 * time.Millisecond {
		take(simStart.Add(at))
	}
	assert.Equal(t, taken, 27, "a tenth of 80 and of what came in 1.95 s")
}

// TestBurstOfThoseThatAreNotHeardOf is taken off a relay's bucket, and given back once they are.
func TestBurstOfThoseThatAreNotHeardOf(t *testing.T) {
	l := Limit{Rate: 100, Burst: 100}
	a := Account{}.AsRelay(l, 0, simStart, simStart).WithTaken(70) // 10 of 80 are left
	for _, c := range []struct{ unheard, want float64 }{{20, 10 - 0.2*85}, {20, 10 - 0.2*85}, {0, 10}, {50, 10 - 0.5*85}} {
		a = a.AsRelay(l, c.unheard, simStart, simStart)
		assert.Assert(t, math.Abs(a.tokens-c.want) < 1e-9, "%v heard of: %v tokens, want %v", 100-c.unheard, a.tokens, c.want)
	}
}
