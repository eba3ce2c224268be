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

	mu          sync.Mutex
	rng         *rand.Rand
	revision    uint64
	starts      map[string]int64                    // current start of each endpoint
	leaving     map[placement.Incarnation]bool      // whether the start announced that it is leaving
	backoffEnds map[placement.Incarnation]time.Time // end of its last backoff
	granted     int                                 // requests checked
}

const modelEndpoints = 5

// listAll lists the current starts of all endpoints as ready, as the store does, which does not
// know what they announced. If whole is set, they replace the earlier list.
func (m *admissionModel) listAll(whole bool) {
	m.revision++
	c := directory.Changes{Complete: whole, Revision: m.revision}
	for i := range modelEndpoints {
		id := fmt.Sprint("e", i)
		c.Entries = append(c.Entries, directory.Entry{Endpoint: directory.Endpoint{
			Endpoint: placement.Endpoint{VM: id, Addr: id, Zone: "near", Slots: 3}, Service: "s", Start: m.starts[id],
		}, Revision: m.revision})
	}
	m.directory.Apply(c, time.Now())
}

// restartRandom restarts a random endpoint under its ID.
func (m *admissionModel) restartRandom() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.starts[fmt.Sprint("e", m.rng.IntN(modelEndpoints))]++
	m.listAll(m.rng.IntN(2) == 0)
}

// checkAdmitted checks that the endpoint of a grant is neither leaving nor backing off.
func (m *admissionModel) checkAdmitted(g placement.Grant, what string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	incarnation := placement.Incarnation{VM: g.Endpoint.VM, Start: g.Choice.Start}
	assert.Check(m.t, !m.leaving[incarnation], "%s: %v is leaving", what, incarnation)
	assert.Check(m.t, !time.Now().Before(m.backoffEnds[incarnation]), "%s: %v backs off for another %v", what, incarnation, time.Until(m.backoffEnds[incarnation]))
	m.granted++
}

// respond makes the endpoint of a grant respond after a random time, with a random outcome and
// announcement.
func (m *admissionModel) respond(g placement.Grant) {
	m.mu.Lock()
	took := time.Duration(m.rng.Int64N(int64(200 * time.Millisecond)))
	draw := m.rng.IntN(40)
	backoff := time.Duration(m.rng.Int64N(int64(3 * time.Second)))
	m.mu.Unlock()
	time.Sleep(took)
	incarnation := placement.Incarnation{VM: g.Endpoint.VM, Start: g.Choice.Start}
	var w admission.Signal
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
	m.ObserveResponse(g, report)
	m.mu.Lock()
	if m.starts[incarnation.VM] == incarnation.Start {
		m.leaving[incarnation] = m.leaving[incarnation] || w.Leaving
		if end := time.Now().Add(w.Backoff); w.Backoff > 0 && end.After(m.backoffEnds[incarnation]) {
			m.backoffEnds[incarnation] = end
		}
	}
	m.mu.Unlock()
	m.Complete(g, placement.Result{Outcome: outcome, Took: took})
}

// sendRequests sends requests one after the other until end.
func (m *admissionModel) sendRequests(end time.Time) {
	for time.Now().Before(end) {
		request := newRequest()
		request.Target = 200 * time.Millisecond
		g, refused := m.Acquire(context.Background(), request)
		if refused != nil {
			time.Sleep(min(refused.RetryAfter, 100*time.Millisecond))
			continue
		}
		m.checkAdmitted(g, "chosen")
		m.mu.Lock()
		connectTime := time.Duration(m.rng.Int64N(int64(20 * time.Millisecond)))
		m.mu.Unlock()
		time.Sleep(connectTime)
		if !m.StillAccepts(g, time.Now()) {
			m.Complete(g, placement.Result{Outcome: placement.Unused})
			continue
		}
		m.checkAdmitted(g, "sent")
		m.respond(g)
	}
}

// TestAdmissionModel checks that an endpoint gets no request after it announced that it is leaving
// or during its backoff, unless it has restarted since. This is checked when the endpoint is chosen
// and again when the request is sent after a slow connection. Endpoints leave, back off, fail and
// restart at random, while the store goes on to list them as ready and the whole list is read
// again.
func TestAdmissionModel(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			m := &admissionModel{
				t: t, fixture: newFixture(0, selection.Options{}), rng: rand.New(rand.NewPCG(seed, 3)),
				starts: map[string]int64{}, leaving: map[placement.Incarnation]bool{}, backoffEnds: map[placement.Incarnation]time.Time{}, revision: 5,
			}
			for i := range modelEndpoints {
				id := fmt.Sprint("e", i)
				m.starts[id] = 1
				m.prober.set(id, 0, 1)
			}
			m.listAll(true)
			end := time.Now().Add(20 * time.Second)
			var callers sync.WaitGroup
			for range 8 {
				callers.Go(func() { m.sendRequests(end) })
			}
			for time.Now().Before(end) {
				time.Sleep(300 * time.Millisecond)
				m.restartRandom()
			}
			callers.Wait()
			assert.Assert(t, m.granted > 500, "seed %d: %d granted", seed, m.granted)
		})
	}
}
