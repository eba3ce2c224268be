package demo

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/lotuswing/lotuswing/audit"
	"github.com/lotuswing/lotuswing/coord/window"
	"github.com/lotuswing/lotuswing/load"
	"github.com/lotuswing/lotuswing/platform/platformtest"
)

// Behind the balancers on the platform a service has four endpoints, one of which names how many
// requests a second it takes from all of them together. The others take what it does not.

const (
	limitedKind      = "limited"
	limitedService   = "limited"
	limitedPath      = "/limited/"
	limitedEndpoints = 4
	limitedRate      = 40 // requests a second, of callers
	limitPerSecond   = 1
	// limitKnown is after how long the balancers keep it.
	limitKnown = 500 * time.Millisecond
)

// startLimited starts the endpoints; the first one names its limit at once.
func (r *run) startLimited(f *crashFleet) error {
	for i := range limitedEndpoints {
		id := fmt.Sprintf("limited-%d", i)
		e := platformtest.NewEndpoint(id, platformtest.Behavior{ServiceTime: serviceTime})
		if i == 0 {
			e.Set(func(b *platformtest.Behavior) { b.Limit = strconv.Itoa(limitPerSecond) })
			f.limited = e
		}
		addr, err := r.serve(e)
		if err != nil {
			return err
		}
		f.store.PutServer(id, platformtest.Server{Address: addr, Service: limitedService, Zone: "medina", Slots: 3})
	}
	return nil
}

// limitedPlan is what callers ask of these endpoints.
func limitedPlan(check func(string, load.Answer)) load.Plan {
	return load.Plan{Name: limitedKind, Path: limitedPath + "1", Rate: limitedRate, Check: check}
}

// limitViolations compares what the endpoint with a limit got with what it named.
func (f *crashFleet) limitViolations() []audit.Violation {
	arrivals := f.limited.ArrivalTimes()
	if len(arrivals) == 0 {
		return nil
	}
	known := arrivals[0].Add(limitKnown)
	arrivals = slices.DeleteFunc(arrivals, func(at time.Time) bool { return at.Before(known) })
	most := window.MaxCount(arrivals, audit.LimitWindow)
	if float64(most) <= audit.LimitAllows(limitPerSecond) {
		return nil
	}
	what := fmt.Sprintf("%d requests in %v at an endpoint that takes %d a second", most, audit.LimitWindow, limitPerSecond)
	return []audit.Violation{{Rule: audit.LimitsHold, What: what}}
}
