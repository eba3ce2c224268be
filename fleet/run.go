package fleet

import (
	"context"
	"time"

	"github.com/lotuswing/lotuswing/coord/tally"
	"github.com/lotuswing/lotuswing/internal/pause"
)

const (
	// minReportInterval is the shortest pause between two reports, also after one that failed at
	// once.
	minReportInterval = 20 * time.Millisecond
	// maxIdleWait is how long the loop waits while nothing is counted; the next count wakes it
	// earlier.
	maxIdleWait = time.Hour
)

// Run sends reports until ctx ends. Without a carrier it returns at once, and this balancer enforces
// the quotas alone.
func (k *Keeper) Run(ctx context.Context, carrier Carrier) {
	k.mu.Lock()
	k.carrier = carrier
	k.mu.Unlock()
	k.updateRole(time.Now())
	if carrier == nil {
		return
	}
	for ctx.Err() == nil {
		now := time.Now()
		k.updateRole(now)
		wait := k.untilDue(now)
		if wait > 0 {
			pause.Until(ctx, k.wake, wait)
			continue
		}
		k.report(ctx, carrier)
		pause.For(ctx, minReportInterval)
	}
}

// updateRole sets the role of the limiter, relay or follower, to the current one of this balancer.
func (k *Keeper) updateRole(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	relay := k.carrier == nil || k.carrier.Serving()
	if relay == k.limiter.IsRelay() {
		return
	}
	k.limiter.SetRelay(relay, now)
	k.cfg.Log.Debug("relay role changed", "relay", relay, "zone", k.cfg.Zone)
}

// untilDue returns how long it is until the next report is due, and records when the loop checks
// again.
func (k *Keeper) untilDue(now time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	at, ok := k.limiter.Due(now)
	if !ok {
		at = now.Add(maxIdleWait)
	}
	k.nextReport = at
	return at.Sub(now)
}

// report sends a report to the followed relay or, on a relay, to the relays of other zones.
func (k *Keeper) report(ctx context.Context, carrier Carrier) {
	k.mu.Lock()
	relay := k.limiter.IsRelay()
	k.mu.Unlock()
	if relay {
		k.reportToPeers(ctx, carrier)
		return
	}
	k.reportToRelay(ctx, carrier)
}

// reportToRelay sends a report to the followed relay and applies its answer.
func (k *Keeper) reportToRelay(ctx context.Context, carrier Carrier) {
	k.mu.Lock()
	r := k.limiter.Report(time.Now())
	k.mu.Unlock()
	addr := carrier.Followed()
	answer, err := carrier.Count(ctx, addr, r)
	k.mu.Lock()
	defer k.mu.Unlock()
	defer k.notifyWaiters()
	if err != nil {
		k.cfg.Log.Debug("report to relay failed", "relay", addr, "error", err)
		k.limiter.ReportFailed(time.Now())
		return
	}
	k.limiter.ReportAnswered(r, answer, time.Now())
}

// notifyWaiters wakes the requests that wait for a snapshot. The caller holds k.mu.
func (k *Keeper) notifyWaiters() {
	close(k.answered)
	k.answered = make(chan struct{})
}

// reportToPeers sends a report to the relays of other zones without waiting for answers. A relay
// whose previous call is still in progress is skipped; the next report covers it.
func (k *Keeper) reportToPeers(ctx context.Context, carrier Carrier) {
	k.mu.Lock()
	defer k.mu.Unlock()
	r := k.limiter.ZoneReport(carrier.IsRelay, time.Now())
	if len(r.Counts) == 0 && !r.Rests {
		return
	}
	for _, addr := range carrier.Others() {
		if !k.reporting[addr] {
			k.reporting[addr] = true
			go k.reportToPeer(ctx, carrier, addr, r)
		}
	}
}

// reportToPeer sends a report to the relay of another zone and applies its answer.
func (k *Keeper) reportToPeer(ctx context.Context, carrier Carrier, addr string, r tally.Report) {
	answer, err := carrier.Count(ctx, addr, r)
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.reporting, addr)
	if err != nil {
		k.cfg.Log.Debug("report to relay failed", "relay", addr, "error", err)
		return
	}
	k.limiter.ZoneReportAnswered(r, answer, time.Now())
}
