package limit

import (
	"math"
	"time"
)

const (
	// rampDoubling is in which time the rate doubles that an endpoint gets after its limit
	// is lifted, and rampFor how long that goes on: all balancers see it idle at once.
	rampDoubling = 500 * time.Millisecond
	rampFor      = 4 * rampDoubling
	// leastRamp is where the rate begins at the least, in requests a second.
	leastRamp = 1
	// notable is the factor by which a limit changes so that others should hear of it at once.
	notable = 1.25
)

// Answer is what one answer of an endpoint said of its limit.
type Answer struct {
	Said  Said
	Rate  float64   // requests a second, where one is named
	Asked time.Time // when the request was sent
	Heard time.Time // when the head of the answer came
	// Mute: an answer of this sort may lack the header while a limit is in force.
	Mute bool
}

// Word is what an endpoint last said of its limit. It is an immutable value; the zero value
// says that it never named one.
type Word struct {
	rate   float64 // requests a second; of a limit that is lifted, what it was
	lifted bool
	asked  time.Time // when the request was sent whose answer said it
	heard  time.Time // when that answer came
}

// Known reports whether the endpoint has ever named a limit.
func (w Word) Known() bool { return !w.heard.IsZero() }

// Lifted reports whether the endpoint no longer names the limit that it had.
func (w Word) Lifted() bool { return w.lifted }

// Rate returns the limit, in requests a second; of one that is lifted, what it was.
func (w Word) Rate() float64 { return w.rate }

// Heard returns when the answer came that said it.
func (w Word) Heard() time.Time { return w.heard }

// With returns the word after an answer. One without a limit lifts a limit only if its request
// was sent after that was heard: until then it may have been written before.
func (w Word) With(a Answer) Word {
	switch {
	case a.Said == Named:
		return w.Join(Word{rate: a.Rate, asked: a.Asked, heard: a.Heard})
	case a.Said == Unreadable || a.Mute || !w.Known() || w.lifted || a.Asked.Before(w.heard):
		return w
	}
	return w.Join(Word{rate: w.rate, lifted: true, asked: a.Asked, heard: a.Heard})
}

// Join returns which of two words of one endpoint counts: the one whose request was sent after
// the other one had come. Of two that crossed, nobody knows which was said last. The lower limit
// counts, until an answer comes that was asked for later; but between a limit and its end the
// one that came last does: whoever said that it is over had asked after a word that named it.
func (w Word) Join(o Word) Word {
	switch {
	case !w.Known(), o.Known() && !o.asked.Before(w.heard):
		return o
	case !o.Known(), !w.asked.Before(o.heard):
		return w
	case w.lifted == o.lifted && w.rate != o.rate:
		return lower(w, o)
	case o.heard.After(w.heard):
		return o
	}
	return w
}

// lower returns the word that names less.
func lower(w, o Word) Word {
	if o.rate < w.rate {
		return o
	}
	return w
}

// stricter reports whether a word allows less than another one.
func (w Word) stricter(o Word) bool {
	if w.lifted != o.lifted {
		return o.lifted
	}
	return w.rate < o.rate
}

// echoFor is how much later a word may seem that comes back from another balancer than it was
// heard here: what ages do not tell is the time on the way.
const echoFor = 250 * time.Millisecond

// echoes reports whether a word from another balancer is this one once more.
func (w Word) echoes(o Word) bool {
	return w.rate == o.rate && w.lifted == o.lifted && o.heard.Sub(w.heard).Abs() < echoFor
}

// RateAt returns how many requests a second the endpoint gets at now from all balancers
// together; limited is false where there is no bound. After a limit is lifted the rate grows
// for a while before there is none.
func (w Word) RateAt(now time.Time) (perSecond float64, limited bool) {
	switch {
	case !w.Known():
		return 0, false
	case !w.lifted:
		return w.rate, true
	}
	since := max(0, now.Sub(w.heard))
	if since >= rampFor {
		return 0, false
	}
	return max(leastRamp, w.rate) * math.Exp2(float64(since)/float64(rampDoubling)), true
}

// News reports whether a word tells something that others should hear at once, to those that
// know another one: that there is a limit, that there is none any more, or a rather different
// one.
func (w Word) News(known Word) bool {
	switch {
	case w.Known() != known.Known() || w.lifted != known.lifted:
		return true
	case w.lifted:
		return false
	}
	return max(w.rate, known.rate) > notable*min(w.rate, known.rate)
}

// Told is a word as balancers tell it one another, by ages because their clocks differ. Package
// gob sends the names of the fields, and package json those of a note. The zero value tells
// nothing.
type Told struct {
	Known    bool
	Rate     float64
	Lifted   bool
	AskedAge time.Duration
	HeardAge time.Duration
}

// Told returns the word as it is told at now.
func (w Word) Told(now time.Time) Told {
	if !w.Known() {
		return Told{}
	}
	return Told{Known: true, Rate: w.rate, Lifted: w.lifted, AskedAge: now.Sub(w.asked), HeardAge: now.Sub(w.heard)}
}

// Word returns a word that was told, as it was heard at now. What makes no sense is none.
func (t Told) Word(now time.Time) Word {
	finite := !math.IsNaN(t.Rate) && !math.IsInf(t.Rate, 0) && t.Rate >= 0
	if !t.Known || !finite || t.HeardAge < 0 || t.AskedAge < t.HeardAge {
		return Word{}
	}
	return Word{rate: t.Rate, lifted: t.Lifted, asked: now.Add(-t.AskedAge), heard: now.Add(-t.HeardAge)}
}
