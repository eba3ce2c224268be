package direct

import (
	"context"
	"time"

	"github.com/lotuswing/lotuswing/coord/hedge"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/selection"
	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/tenant"
)

// maxRoomAge is the age up to which a load report counts for HasRoom. Capacity runs short or becomes
// free within seconds, and a balancer with the smallest share of requests hears some nine reports of a
// service in this time.
const maxRoomAge = 2 * time.Second

// HasRoom reports whether a service, given as tenant/service, has capacity to spare, as far as this
// process knows from recent load reports: none of its requests waits for an endpoint, and enough of the
// endpoints that have reported have a free slot.
func (c *Chooser) HasRoom(service string) bool {
	name := tenant.ServiceName(service)
	if c.Waiting(name) > 0 {
		return false
	}
	now, reporting, free := time.Now(), 0, 0
	listed := c.cfg.Directory.Snapshot().Endpoints[name]
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range listed {
		if isRecent, hasSlot := c.freeSlot(&listed[i], now); isRecent {
			reporting++
			if hasSlot {
				free++
			}
		}
	}
	return hedge.HasRoom(reporting, free)
}

// acquireForHedge chooses an endpoint for a hedge. It takes a good endpoint or none, and neither waits
// nor counts as a request that needs a place in the queue.
func (c *Chooser) acquireForHedge(ctx context.Context, s *search) (placement.Grant, *placement.Refusal) {
	if d, now := c.evaluate(ctx, s, s.request.Deadline); d.Action == selection.Take {
		if grant, ok := c.grantBest(s, now); ok {
			return grant, nil
		}
	}
	return placement.Grant{}, &placement.Refusal{Reason: reason.NoEndpoint}
}

// freeSlot reports whether an endpoint has reported its load recently and, if so, whether the report
// shows a free slot; c.mu must be held.
func (c *Chooser) freeSlot(e *directory.Endpoint, now time.Time) (isRecent, hasSlot bool) {
	state, ok := c.endpoints[e.VM]
	if !ok || state.start != e.Start {
		return false, false
	}
	load := state.observed.Load()
	report := load.Report()
	if !report.Known || load.Age(now) > maxRoomAge {
		return false, false
	}
	return true, report.Waiting == 0 && report.InFlight < load.Slots(e.Slots)
}
