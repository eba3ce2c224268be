package direct_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lotuswing/lotuswing/coord/admission"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/selection"
	"github.com/lotuswing/lotuswing/directory"
	"gotest.tools/v3/assert"
)

// admissionModel is a set of endpoints that leave, back off, fail and restart at random, and what
// the test expects of each start of them.
type admissionModel struct {
	t *testing.T
	*fixture

	mu       sync.Mutex
	rng      *rand.Rand
	revision uint64
	starts   map[string]int64
	left     map[placement.Incarnation]bool
	until    map[placement.Incarnation]time.Time
	granted  int
}

const modelEndpoints = 5

// list lists all endpoints as ready, whatever they announced: the store does not know of that.
func (m *admissionModel) list(whole bool) {
	m.revision++
	c := directory.Changes{Whole: whole, At: m.revision}
	for i := range modelEndpoints {
		id := fmt.Sprint("e", i)
		c.Entries = append(c.Entries, directory.Entry{Endpoint: directory.Endpoint{
			Endpoint: placement.Endpoint{VM: id, Addr: id, Zone: "near", Slots: 3}, Service: "s", Start: m.starts[id],
		}, Revision: m.revision})
	}
	m.directory.Apply(c, time.Now())
}

// restart restarts a random endpoint under its ID.
func (m *admissionModel) restart() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.starts[fmt.Sprint("e", m.rng.IntN(modelEndpoints))]++
	m.list(m.rng.IntN(2) == 0)
}

// check checks that the endpoint of a grant is neither leaving nor backing off.
func (m *admissionModel) check(g placement.Grant, what string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	is := placement.Incarnation{VM: g.Endpoint.VM, Start: g.Choice.Start}
	assert.Check(m.t, !m.left[is], "%s: %v is leaving", what, is)
	assert.Check(m.t, !time.Now().Before(m.until[is]), "%s: %v backs off for another %v", what, is, time.Until(m.until[is]))
	m.granted++
}

// answer makes an endpoint respond to a request after a while, with a random announcement.
func (m *admissionModel) answer(g placement.Grant) {
	m.mu.Lock()
	takes := time.Duration(m.rng.Int64N(int64(200 * time.Millisecond)))
	draw := m.rng.IntN(40)
	backoff := time.Duration(m.rng.Int64N(int64(3 * time.Second)))
	m.mu.Unlock()
	time.Sleep(takes)
	is := placement.Incarnation{VM: g.Endpoint.VM, Start: g.Choice.Start}
	var w admission.Word
	outcome := placement.Completed
	switch {
	case draw == 0:
		w.Leaving = true
	case draw < 6:
		w.Backoff, outcome = backoff, placement.Shed
	case draw < 8:
		outcome = placement.Failed
	}
	report := reportWith(w)
	report.Ran = outcome == placement.Completed
	m.Hear(g, report)
	m.mu.Lock()
	if m.starts[is.VM] == is.Start {
		m.left[is] = m.left[is] || w.Leaving
		if end := time.Now().Add(w.Backoff); w.Backoff > 0 && end.After(m.until[is]) {
			m.until[is] = end
		}
	}
	m.mu.Unlock()
	m.Complete(g, placement.Result{Outcome: outcome, Took: takes})
}

// call sends requests one after the other until a time.
func (m *admissionModel) call(end time.Time) {
	for time.Now().Before(end) {
		request := newRequest()
		request.Target = 200 * time.Millisecond
		g, refused := m.Acquire(context.Background(), request)
		if refused != nil {
			time.Sleep(min(refused.RetryAfter, 100*time.Millisecond))
			continue
		}
		m.check(g, "chosen")
		m.mu.Lock()
		connects := time.Duration(m.rng.Int64N(int64(20 * time.Millisecond)))
		m.mu.Unlock()
		time.Sleep(connects)
		if !m.Admits(g, time.Now()) {
			m.Complete(g, placement.Result{Outcome: placement.Unused})
			continue
		}
		m.check(g, "sent")
		m.answer(g)
	}
}

// TestAdmissionModel checks that no start of an endpoint gets a request after it announced that it
// is leaving, or during its backoff, neither when it is chosen nor after a slow connection.
// Endpoints leave, back off, fail and restart at random, while the store lists them as ready and
// the whole list is read again.
func TestAdmissionModel(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			m := &admissionModel{
				t: t, fixture: newFixture(0, selection.Options{}), rng: rand.New(rand.NewPCG(seed, 3)),
				starts: map[string]int64{}, left: map[placement.Incarnation]bool{}, until: map[placement.Incarnation]time.Time{}, revision: 5,
			}
			for i := range modelEndpoints {
				id := fmt.Sprint("e", i)
				m.starts[id] = 1
				m.prober.set(id, 0, 1)
			}
			m.list(true)
			end := time.Now().Add(20 * time.Second)
			var callers sync.WaitGroup
			for range 8 {
				callers.Go(func() { m.call(end) })
			}
			for time.Now().Before(end) {
				time.Sleep(300 * time.Millisecond)
				m.restart()
			}
			callers.Wait()
			assert.Assert(t, m.granted > 500, "seed %d: %d granted", seed, m.granted)
		})
	}
}
