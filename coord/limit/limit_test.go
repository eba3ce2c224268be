package limit

import (
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestParse: what is a limit and what is not.
func TestParse(t *testing.T) {
	for _, c := range []struct {
		values []string
		rate   float64
		said   Said
	}{
		{nil, 0, Nothing},
		{[]string{"0"}, 0, Named},
		{[]string{"2.5"}, 2.5, Named},
		{[]string{".5"}, 0.5, Named},
		{[]string{"3."}, 3, Named},
		{[]string{"007"}, 7, Named},
		{[]string{"100000000000000000000"}, 1e20, Named},
		{[]string{"2.500000000000000000000000000000001"}, 2.5, Named},
		{[]string{""}, 0, Unreadable},
		{[]string{"."}, 0, Unreadable},
		{[]string{"-1"}, 0, Unreadable},
		{[]string{"+1"}, 0, Unreadable},
		{[]string{"1e3"}, 0, Unreadable},
		{[]string{"0x10"}, 0, Unreadable},
		{[]string{"1_000"}, 0, Unreadable},
		{[]string{"1 2"}, 0, Unreadable},
		{[]string{" 1"}, 0, Unreadable},
		{[]string{"1,5"}, 0, Unreadable},
		{[]string{"1.2.3"}, 0, Unreadable},
		{[]string{"NaN"}, 0, Unreadable},
		{[]string{"Inf"}, 0, Unreadable},
		{[]string{"٣"}, 0, Unreadable},
		{[]string{strings.Repeat("1", 8<<10)}, 0, Unreadable},
		{[]string{"2", "3"}, 0, Unreadable},
		{[]string{"2", "2"}, 0, Unreadable},
	} {
		rate, said := Parse(c.values)
		assert.Equal(t, said, c.said, "%.20q", c.values)
		assert.Equal(t, rate, c.rate, "%.20q", c.values)
	}
}

// FuzzParse: whatever an endpoint sends, a limit is a finite number not below 0.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{"", "0", "2.5", "-0", "1e309", "NaN", strings.Repeat("9", 80), "\x00", "1\r\n2"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		rate, said := Parse([]string{text})
		assert.Assert(t, said == Named || said == Unreadable)
		assert.Assert(t, rate >= 0 && !math.IsInf(rate, 0) && !math.IsNaN(rate), "%q: %v", text, rate)
		assert.Assert(t, said == Named || rate == 0)
	})
}

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns a time so many milliseconds after the start.
func at(ms int) time.Time { return testStart.Add(time.Duration(ms) * time.Millisecond) }

func named(rate float64, asked, heard int) Answer {
	return Answer{Said: Named, Rate: rate, Asked: at(asked), Heard: at(heard)}
}

func without(asked, heard int) Answer { return Answer{Asked: at(asked), Heard: at(heard)} }

// TestAnswersThatCross: the newest word counts, and of two that crossed the stricter one.
func TestAnswersThatCross(t *testing.T) {
	for name, c := range map[string]struct {
		answers []Answer
		rate    float64
		lifted  bool
	}{
		"named":                               {answers: []Answer{named(3, 0, 10)}, rate: 3},
		"lowered":                             {answers: []Answer{named(3, 0, 10), named(2, 10, 20)}, rate: 2},
		"raised":                              {answers: []Answer{named(3, 0, 10), named(5, 10, 20)}, rate: 5},
		"raised, crossed":                     {answers: []Answer{named(3, 0, 10), named(5, 5, 20)}, rate: 3},
		"an older, higher one comes late":     {answers: []Answer{named(3, 10, 20), named(5, 0, 30)}, rate: 3},
		"lifted":                              {answers: []Answer{named(3, 0, 10), without(10, 20)}, rate: 3, lifted: true},
		"sent before it was named":            {answers: []Answer{named(3, 5, 10), without(0, 20)}, rate: 3},
		"sent while its answer was under way": {answers: []Answer{named(3, 5, 10), without(7, 20)}, rate: 3},
		"lifted, and an old answer names it":  {answers: []Answer{named(3, 0, 10), without(10, 20), named(3, 15, 25)}, rate: 3},
		"named again":                         {answers: []Answer{named(3, 0, 10), without(10, 20), named(4, 20, 30)}, rate: 4},
		"lifted after a late one":             {answers: []Answer{named(3, 0, 10), without(10, 20), named(3, 15, 25), without(25, 30)}, rate: 3, lifted: true},
		"unreadable":                          {answers: []Answer{named(3, 0, 10), {Said: Unreadable, Asked: at(10), Heard: at(20)}}, rate: 3},
		"of a sort that may lack it":          {answers: []Answer{named(3, 0, 10), {Asked: at(10), Heard: at(20), Mute: true}}, rate: 3},
	} {
		t.Run(name, func(t *testing.T) {
			var w Word
			for _, a := range c.answers {
				w = w.With(a)
			}
			assert.Equal(t, w.Rate(), c.rate)
			assert.Equal(t, w.Lifted(), c.lifted)
		})
	}
	assert.Assert(t, !Word{}.With(without(0, 10)).Known(), "who names nothing has no limit")
}

// TestTheRateComesBackSlowly once a limit is lifted.
func TestTheRateComesBackSlowly(t *testing.T) {
	w := Word{}.With(named(2, 0, 10)).With(without(10, 20))
	for _, c := range []struct {
		ms      int
		rate    float64
		limited bool
	}{{20, 2, true}, {520, 4, true}, {1020, 8, true}, {2019, 31.9, true}, {2020, 0, false}} {
		rate, limited := w.RateAt(at(c.ms))
		assert.Equal(t, limited, c.limited, "%d ms", c.ms)
		assert.Assert(t, math.Abs(rate-c.rate) < 0.1, "%d ms: %v", c.ms, rate)
	}
	rate, limited := Word{}.With(named(0, 0, 10)).With(without(10, 20)).RateAt(at(20))
	assert.Assert(t, limited && rate == leastRamp, "%v", rate)
}

// TestWhatOthersHearAtOnce.
func TestWhatOthersHearAtOnce(t *testing.T) {
	w := Word{}.With(named(2, 0, 10))
	assert.Assert(t, w.News(Word{}))
	assert.Assert(t, !w.With(named(2.4, 10, 20)).News(w))
	assert.Assert(t, w.With(named(2.6, 10, 20)).News(w))
	assert.Assert(t, w.With(named(1.5, 10, 20)).News(w))
	assert.Assert(t, w.With(named(0, 10, 20)).News(w))
	lifted := w.With(without(10, 20))
	assert.Assert(t, lifted.News(w))
	assert.Assert(t, !lifted.With(without(20, 30)).News(lifted))
}

// TestToldWordsKeepTheirOrder: what another balancer tells counts by the same order.
func TestToldWordsKeepTheirOrder(t *testing.T) {
	w := Word{}.With(named(2, 0, 10))
	told := w.Told(at(15)).Word(at(15))
	assert.Equal(t, told, w)
	later := Word{}.With(named(5, 20, 30)).Told(at(40)).Word(at(41))
	assert.Equal(t, w.Join(later).Rate(), 5.0)
	assert.Equal(t, later.Join(w).Rate(), 5.0)
	for _, bad := range []Told{{}, {Rate: math.NaN()}, {Rate: math.Inf(1)}, {Rate: -1}, {HeardAge: -1}, {AskedAge: 1, HeardAge: 2}} {
		assert.Assert(t, !bad.Word(at(0)).Known(), "%+v", bad)
		bad.Known = bad != Told{}
		assert.Assert(t, !bad.Word(at(0)).Known(), "%+v", bad)
	}
}

// TestAskForLessThanNothing, or for all there could be, gets no more than there is.
func TestAskForLessThanNothing(t *testing.T) {
	b := NewBook(1)
	word := Word{}.With(named(2, 0, 10)).Told(at(10))
	target := Target{ID: "i-1"}
	b.Asked("a", []Ask{{Target: target, Want: 1, Word: word}}, true, at(10))
	for _, want := range []int{-1000, math.MinInt, 0} {
		r := b.Asked("a", []Ask{{Target: target, Want: want, Word: word}}, true, at(20))
		assert.Equal(t, r.Grants[0].Permits, 0)
	}
	r := b.Asked("a", []Ask{{Target: target, Want: math.MaxInt, Word: word}}, true, at(5000))
	assert.Equal(t, r.Grants[0].Permits, leastBurst)
}
