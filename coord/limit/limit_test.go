package limit

import (
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestParse checks which headers are valid limits.
func TestParse(t *testing.T) {
	for _, c := range []struct {
		values []string
		rate   float64
		said   HeaderState
	}{
		{nil, 0, HeaderAbsent},
		{[]string{"0"}, 0, HeaderNamed},
		{[]string{"2.5"}, 2.5, HeaderNamed},
		{[]string{".5"}, 0.5, HeaderNamed},
		{[]string{"3."}, 3, HeaderNamed},
		{[]string{"007"}, 7, HeaderNamed},
		{[]string{"100000000000000000000"}, 1e20, HeaderNamed},
		{[]string{"2.500000000000000000000000000000001"}, 2.5, HeaderNamed},
		{[]string{""}, 0, HeaderUnreadable},
		{[]string{"."}, 0, HeaderUnreadable},
		{[]string{"-1"}, 0, HeaderUnreadable},
		{[]string{"+1"}, 0, HeaderUnreadable},
		{[]string{"1e3"}, 0, HeaderUnreadable},
		{[]string{"0x10"}, 0, HeaderUnreadable},
		{[]string{"1_000"}, 0, HeaderUnreadable},
		{[]string{"1 2"}, 0, HeaderUnreadable},
		{[]string{" 1"}, 0, HeaderUnreadable},
		{[]string{"1,5"}, 0, HeaderUnreadable},
		{[]string{"1.2.3"}, 0, HeaderUnreadable},
		{[]string{"NaN"}, 0, HeaderUnreadable},
		{[]string{"Inf"}, 0, HeaderUnreadable},
		{[]string{"٣"}, 0, HeaderUnreadable},
		{[]string{strings.Repeat("1", 8<<10)}, 0, HeaderUnreadable},
		{[]string{"2", "3"}, 0, HeaderUnreadable},
		{[]string{"2", "2"}, 0, HeaderUnreadable},
	} {
		rate, said := Parse(c.values)
		assert.Equal(t, said, c.said, "%.20q", c.values)
		assert.Equal(t, rate, c.rate, "%.20q", c.values)
	}
}

// FuzzParse checks that a parsed limit is a finite, non-negative number for any header.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{"", "0", "2.5", "-0", "1e309", "NaN", strings.Repeat("9", 80), "\x00", "1\r\n2"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		rate, said := Parse([]string{text})
		assert.Assert(t, said == HeaderNamed || said == HeaderUnreadable)
		assert.Assert(t, rate >= 0 && !math.IsInf(rate, 0) && !math.IsNaN(rate), "%q: %v", text, rate)
		assert.Assert(t, said == HeaderNamed || rate == 0)
	})
}

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time that is ms milliseconds after testStart.
func at(ms int) time.Time { return testStart.Add(time.Duration(ms) * time.Millisecond) }

// named returns an answer that names a limit. asked and heard are in milliseconds after testStart,
// as for withoutLimit.
func named(rate float64, asked, heard int) Answer {
	return Answer{Said: HeaderNamed, Rate: rate, SentAt: at(asked), ReceivedAt: at(heard)}
}

// withoutLimit returns an answer without a limit header.
func withoutLimit(asked, heard int) Answer { return Answer{SentAt: at(asked), ReceivedAt: at(heard)} }

// TestOutOfOrderAnswers checks that the newest answer is in force, and that the lower limit is in
// force if two requests overlapped.
func TestOutOfOrderAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		answers []Answer
		rate    float64
		lifted  bool
	}{
		"named":                               {answers: []Answer{named(3, 0, 10)}, rate: 3},
		"lowered":                             {answers: []Answer{named(3, 0, 10), named(2, 10, 20)}, rate: 2},
		"raised":                              {answers: []Answer{named(3, 0, 10), named(5, 10, 20)}, rate: 5},
		"raised, overlapping":                 {answers: []Answer{named(3, 0, 10), named(5, 5, 20)}, rate: 3},
		"an older, higher one comes late":     {answers: []Answer{named(3, 10, 20), named(5, 0, 30)}, rate: 3},
		"lifted":                              {answers: []Answer{named(3, 0, 10), withoutLimit(10, 20)}, rate: 3, lifted: true},
		"sent before it was named":            {answers: []Answer{named(3, 5, 10), withoutLimit(0, 20)}, rate: 3},
		"sent while its answer was under way": {answers: []Answer{named(3, 5, 10), withoutLimit(7, 20)}, rate: 3},
		"lifted, and an old answer names it":  {answers: []Answer{named(3, 0, 10), withoutLimit(10, 20), named(3, 15, 25)}, rate: 3},
		"named again":                         {answers: []Answer{named(3, 0, 10), withoutLimit(10, 20), named(4, 20, 30)}, rate: 4},
		"lifted after a late one":             {answers: []Answer{named(3, 0, 10), withoutLimit(10, 20), named(3, 15, 25), withoutLimit(25, 30)}, rate: 3, lifted: true},
		"unreadable":                          {answers: []Answer{named(3, 0, 10), {Said: HeaderUnreadable, SentAt: at(10), ReceivedAt: at(20)}}, rate: 3},
		"a mute answer":                       {answers: []Answer{named(3, 0, 10), {SentAt: at(10), ReceivedAt: at(20), MayLackHeader: true}}, rate: 3},
	} {
		t.Run(name, func(t *testing.T) {
			var w Observation
			for _, a := range c.answers {
				w = w.With(a)
			}
			assert.Equal(t, w.Rate(), c.rate)
			assert.Equal(t, w.Lifted(), c.lifted)
		})
	}
	assert.Assert(t, !Observation{}.With(withoutLimit(0, 10)).Known(), "an endpoint without a header has no limit")
}

// TestRateRampsUpAfterLift checks that the rate doubles every 500 ms after a limit is lifted, and
// is unlimited after 2 s.
func TestRateRampsUpAfterLift(t *testing.T) {
	w := Observation{}.With(named(2, 0, 10)).With(withoutLimit(10, 20))
	for _, c := range []struct {
		ms      int
		rate    float64
		limited bool
	}{{20, 2, true}, {520, 4, true}, {1020, 8, true}, {2019, 31.9, true}, {2020, 0, false}} {
		rate, limited := w.RateAt(at(c.ms))
		assert.Equal(t, limited, c.limited, "%d ms", c.ms)
		assert.Assert(t, math.Abs(rate-c.rate) < 0.1, "%d ms: %v", c.ms, rate)
	}
	rate, limited := Observation{}.With(named(0, 0, 10)).With(withoutLimit(10, 20)).RateAt(at(20))
	assert.Assert(t, limited && rate == minRampRate, "%v", rate)
}

// TestIsNewsTo checks which changes of a limit are reported at once.
func TestIsNewsTo(t *testing.T) {
	w := Observation{}.With(named(2, 0, 10))
	assert.Assert(t, w.IsNewsTo(Observation{}))
	assert.Assert(t, !w.With(named(2.4, 10, 20)).IsNewsTo(w))
	assert.Assert(t, w.With(named(2.6, 10, 20)).IsNewsTo(w))
	assert.Assert(t, w.With(named(1.5, 10, 20)).IsNewsTo(w))
	assert.Assert(t, w.With(named(0, 10, 20)).IsNewsTo(w))
	lifted := w.With(withoutLimit(10, 20))
	assert.Assert(t, lifted.IsNewsTo(w))
	assert.Assert(t, !lifted.With(withoutLimit(20, 30)).IsNewsTo(lifted))
}

// TestWireObservationsKeepTheirOrder checks that observations from other balancers are ordered
// like local ones, and that invalid ones are ignored.
func TestWireObservationsKeepTheirOrder(t *testing.T) {
	w := Observation{}.With(named(2, 0, 10))
	told := w.WireObservation(at(15)).Observation(at(15))
	assert.Equal(t, told, w)
	later := Observation{}.With(named(5, 20, 30)).WireObservation(at(40)).Observation(at(41))
	assert.Equal(t, w.Merge(later).Rate(), 5.0)
	assert.Equal(t, later.Merge(w).Rate(), 5.0)
	for _, bad := range []WireObservation{{}, {Rate: math.NaN()}, {Rate: math.Inf(1)}, {Rate: -1}, {HeardAge: -1}, {AskedAge: 1, HeardAge: 2}} {
		assert.Assert(t, !bad.Observation(at(0)).Known(), "%+v", bad)
		bad.Known = bad != WireObservation{}
		assert.Assert(t, !bad.Observation(at(0)).Known(), "%+v", bad)
	}
}

// TestAskWithExtremeWant checks that a negative count adds no tokens, and that a huge one gets no
// more permits than the bucket holds.
func TestAskWithExtremeWant(t *testing.T) {
	b := NewLimiter(1)
	word := Observation{}.With(named(2, 0, 10)).WireObservation(at(10))
	target := Target{ID: "i-1"}
	b.HandleAsks("a", []Ask{{Target: target, Want: 1, Word: word}}, true, at(10))
	for _, want := range []int{-1000, math.MinInt, 0} {
		r := b.HandleAsks("a", []Ask{{Target: target, Want: want, Word: word}}, true, at(20))
		assert.Equal(t, r.Grants[0].Permits, 0)
	}
	r := b.HandleAsks("a", []Ask{{Target: target, Want: math.MaxInt, Word: word}}, true, at(5000))
	assert.Equal(t, r.Grants[0].Permits, minBurst)
}
