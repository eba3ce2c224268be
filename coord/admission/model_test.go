package admission_test

import (
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/admission"
	"github.com/lotuswing/lotuswing/coord/limit"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// model holds what an endpoint has said, as the test expects it, next to the tested state.
type model struct {
	state     admission.State
	now       time.Time
	leaving   bool
	until     time.Time     // the latest end of all backoffs that the endpoint asked for
	slow      time.Duration // duration of the slow start after until
	hinted    bool
	trialSent time.Time // when the last request was sent in the slow start
	recovered bool
}

const (
	minSlowStart = 250 * time.Millisecond
	maxSlowStart = 2 * time.Second
	trialTimeout = time.Second
)

// decide returns the decision about a request at m.now.
func (m *model) decide(random float64, priority int) admission.Decision {
	return admission.Decide(admission.Facts{Usable: true, State: m.state, Random: random, Priority: priority}, m.now)
}

// step performs a random operation.
func (m *model) step(t *rapid.T) {
	switch rapid.IntRange(0, 6).Draw(t, "step") {
	case 0:
		m.now = m.now.Add(time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "passes")))
	case 1: // an answer, which may arrive late
		w := admission.Signal{Leaving: rapid.IntRange(0, 30).Draw(t, "leaves") == 0}
		w.Backoff = time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "backoff"))
		heard := m.now.Add(-time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "late")))
		m.state = m.state.With(w, heard)
		m.leaving = m.leaving || w.Leaving
		if end := heard.Add(w.Backoff); w.Backoff > 0 && end.After(m.until) {
			m.until, m.recovered, m.trialSent = end, false, time.Time{}
			m.slow = min(max(w.Backoff, minSlowStart), maxSlowStart)
		}
	case 2:
		m.state = m.state.WithHint(time.Duration(rapid.Int64Range(-1, int64(5*time.Second)).Draw(t, "hint")), m.now)
		m.hinted = true
	case 3:
		if m.decide(rapid.Float64Range(0, 0.999).Draw(t, "random"), 0).Admits() {
			if inSlowStart := m.until.Before(m.now.Add(1)) && m.now.Before(m.until.Add(m.slow)); inSlowStart {
				m.trialSent = m.now
			}
			m.state = m.state.WithSent(m.now)
		}
	case 4: // a request has run
		sent := m.now.Add(-time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "sent")))
		m.state = m.state.WithRun(sent)
		m.recovered = m.recovered || !m.until.IsZero() && !sent.Before(m.until)
	case 5:
		suspended := time.Duration(rapid.Int64Range(0, int64(2*time.Second)).Draw(t, "slept"))
		m.state = m.state.WithSuspension(suspended)
		if !m.until.IsZero() {
			m.until = m.until.Add(-suspended)
		}
		if !m.trialSent.IsZero() {
			m.trialSent = m.trialSent.Add(-suspended)
		}
	case 6:
		m.state = admission.Restore(m.state.Snapshot()).With(admission.Signal{Leaving: m.leaving}, m.now).WithHint(0, m.now)
		m.hinted = false
	}
}

// check compares a random decision with the model.
func (m *model) check(t *rapid.T) {
	random, priority := rapid.Float64Range(0, 0.999).Draw(t, "checked random"), rapid.IntRange(0, 3).Draw(t, "priority")
	d := m.decide(random, priority)
	switch {
	case m.leaving:
		assert.Equal(t, d.Access, admission.Excluded, "the endpoint is leaving")
		assert.Assert(t, !admission.AcceptsChosen(true, m.state, m.now))
		return
	case m.now.Before(m.until):
		assert.Equal(t, d.Access, admission.Closed, "%v before the backoff ends", m.until.Sub(m.now))
		assert.Assert(t, m.now.Add(d.OpensIn).Sub(m.until) >= 0, "opens %v early", m.until.Sub(m.now.Add(d.OpensIn)))
		assert.Assert(t, !admission.AcceptsChosen(true, m.state, m.now))
	case !m.now.Before(m.until.Add(m.slow)):
		assert.Equal(t, d.Access, admission.Open, "the slow start is over")
	case !m.recovered && !m.trialSent.IsZero() && m.now.Before(m.trialSent.Add(trialTimeout)) && !m.trialSent.Before(m.until):
		assert.Equal(t, d.Access, admission.Closed, "a trial is in flight")
	}
	if d.Access == admission.Closed {
		assert.Assert(t, d.OpensIn > 0 && d.OpensIn <= max(0, m.until.Sub(m.now))+maxSlowStart, "%v", d.OpensIn)
		at := m.now.Add(d.OpensIn)
		later := admission.Decide(admission.Facts{Usable: true, State: m.state, Random: random, Priority: priority}, at)
		assert.Assert(t, later.Cause != admission.BackingOff, "still backing off at OpensIn")
	}
	if d.Deferred {
		assert.Assert(t, m.hinted, "no hint was received")
	}
	if m.decide(random, priority+1).Admits() {
		assert.Assert(t, d.Admits(), "a less urgent request is admitted")
	}
	closed := admission.Decide(admission.Facts{Usable: true, State: m.state, Limit: limit.Denied, Random: random}, m.now)
	assert.Assert(t, !closed.Admits(), "the limit was ignored")
	assert.Equal(t, admission.Decide(admission.Facts{State: m.state, Random: random}, m.now).Access, admission.Excluded, "an unlisted endpoint gets no requests")
}

// TestModel performs random sequences of answers, some of them late, requests, hints, suspensions
// and restores. It checks that an endpoint that is leaving or backing off gets no requests, that
// one trial runs at a time, that the slow start ends in time, that urgent requests are admitted
// first, and that a hint alone never excludes an endpoint.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{now: testStart}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			m.step(t)
			m.check(t)
		}
	})
}

// TestHintsModel checks that a balancer sends at most two hints per second, and none after it has
// counted twenty in the last second.
func TestHintsModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h admission.Hints
		now := testStart
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
				h, heard = h.WithReceived(now), append(heard, now)
				continue
			}
			allowed := h.Allow(admission.State{}, now)
			assert.Equal(t, allowed, within(told) < 2 && within(heard)+within(told) < 20)
			if allowed {
				h, told = h.WithSent(now), append(told, now)
			}
			assert.Assert(t, !h.Allow(admission.State{}.WithHint(time.Second, now), now), "a hint is in force")
		}
	})
}
