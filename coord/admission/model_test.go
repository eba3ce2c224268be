package admission_test

import (
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/admission"
	"github.com/lotuswing/lotuswing/coord/limit"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// model is what a test knows of one endpoint: what it has said, and when.
type model struct {
	state  admission.State
	now    time.Time
	left   bool
	until  time.Time     // the latest end of all backoffs that it asked for
	slow   time.Duration // of the slow start after it
	hinted bool
	last   time.Time // when a request was last sent in the slow start
	proved bool
}

const (
	shortestSlowStart = 250 * time.Millisecond
	longestSlowStart  = 2 * time.Second
	trialFor          = time.Second
)

// decide decides about a request.
func (m *model) decide(lot float64, priority int) admission.Decision {
	return admission.Decide(admission.Facts{Usable: true, State: m.state, Lot: lot, Priority: priority}, m.now)
}

// step does something at random.
func (m *model) step(t *rapid.T) {
	switch rapid.IntRange(0, 6).Draw(t, "step") {
	case 0:
		m.now = m.now.Add(time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "passes")))
	case 1: // an answer, which may have been under way for a while
		w := admission.Word{Leaving: rapid.IntRange(0, 30).Draw(t, "leaves") == 0}
		w.Backoff = time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "backoff"))
		heard := m.now.Add(-time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "late")))
		m.state = m.state.With(w, heard)
		m.left = m.left || w.Leaving
		if end := heard.Add(w.Backoff); w.Backoff > 0 && end.After(m.until) {
			m.until, m.proved, m.last = end, false, time.Time{}
			m.slow = min(max(w.Backoff, shortestSlowStart), longestSlowStart)
		}
	case 2:
		m.state = m.state.WithHint(time.Duration(rapid.Int64Range(-1, int64(5*time.Second)).Draw(t, "hint")), m.now)
		m.hinted = true
	case 3:
		if m.decide(rapid.Float64Range(0, 0.999).Draw(t, "lot"), 0).Admits() {
			if inSlowStart := m.until.Before(m.now.Add(1)) && m.now.Before(m.until.Add(m.slow)); inSlowStart {
				m.last = m.now
			}
			m.state = m.state.WithSent(m.now)
		}
	case 4: // the end of a request that was sent lately
		sent := m.now.Add(-time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "sent")))
		m.state = m.state.WithRun(sent)
		m.proved = m.proved || !m.until.IsZero() && !sent.Before(m.until)
	case 5:
		slept := time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "slept"))
		m.state = m.state.WithSuspension(slept)
		if !m.until.IsZero() {
			m.until = m.until.Add(-slept)
		}
		if !m.last.IsZero() {
			m.last = m.last.Add(-slept)
		}
	case 6:
		m.state = admission.Restore(m.state.Snapshot()).With(admission.Word{Leaving: m.left}, m.now).WithHint(0, m.now)
		m.hinted = false
	}
}

// check compares decisions with what must hold of them.
func (m *model) check(t *rapid.T) {
	lot, priority := rapid.Float64Range(0, 0.999).Draw(t, "checked lot"), rapid.IntRange(0, 3).Draw(t, "priority")
	d := m.decide(lot, priority)
	switch {
	case m.left:
		assert.Equal(t, d.Access, admission.Never, "it has said that it leaves")
		assert.Assert(t, !admission.Willing(true, m.state, m.now))
		return
	case m.now.Before(m.until):
		assert.Equal(t, d.Access, admission.Shut, "%v before its backoff ends", m.until.Sub(m.now))
		assert.Assert(t, m.now.Add(d.OpensIn).Sub(m.until) >= 0, "opens %v early", m.until.Sub(m.now.Add(d.OpensIn)))
		assert.Assert(t, !admission.Willing(true, m.state, m.now))
	case !m.now.Before(m.until.Add(m.slow)):
		assert.Equal(t, d.Access, admission.Open, "its slow start is over")
	case !m.proved && !m.last.IsZero() && m.now.Before(m.last.Add(trialFor)) && !m.last.Before(m.until):
		assert.Equal(t, d.Access, admission.Shut, "one is tried")
	}
	if d.Access == admission.Shut {
		assert.Assert(t, d.OpensIn > 0 && d.OpensIn <= max(0, m.until.Sub(m.now))+longestSlowStart, "%v", d.OpensIn)
		at := m.now.Add(d.OpensIn)
		later := admission.Decide(admission.Facts{Usable: true, State: m.state, Lot: lot, Priority: priority}, at)
		assert.Assert(t, later.Cause != admission.BackingOff, "it was said to open then")
	}
	if d.Deferred {
		assert.Assert(t, m.hinted, "nobody has told of a backoff")
	}
	if m.decide(lot, priority+1).Admits() {
		assert.Assert(t, d.Admits(), "a less urgent request is admitted")
	}
	shut := admission.Decide(admission.Facts{Usable: true, State: m.state, Limit: limit.Withheld, Lot: lot}, m.now)
	assert.Assert(t, !shut.Admits(), "no limit is overruled")
	assert.Equal(t, admission.Decide(admission.Facts{State: m.state, Lot: lot}, m.now).Access, admission.Never, "what is not listed gets nothing")
}

// TestModel lets endpoints say things in any order, with answers that cross, requests, hints,
// suspensions and restored states between, and checks by name what must hold: nothing goes to one that
// leaves or wants none, one request is tried at a time, all come back in time, the more urgent first,
// and what others told binds nobody.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{now: begin}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			m.step(t)
			m.check(t)
		}
	})
}

// TestHintsModel: whatever is told, a balancer tells of two backoffs a second at most, and of none
// where it has heard of twenty.
func TestHintsModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h admission.Hints
		now := begin
		var told, heard []time.Time
		within := func(times []time.Time) (n int) {
			for _, at := range times {
				if now.Sub(at) < time.Second {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(100*time.Millisecond)).Draw(t, "passes")))
			if rapid.Bool().Draw(t, "heard") {
				h, heard = h.Heard(now), append(heard, now)
				continue
			}
			allowed := h.Allow(admission.State{}, now)
			assert.Equal(t, allowed, within(told) < 2 && within(heard)+within(told) < 20)
			if allowed {
				h, told = h.Told(now), append(told, now)
			}
			assert.Assert(t, !h.Allow(admission.State{}.WithHint(time.Second, now), now), "another one has told of it")
		}
	})
}
