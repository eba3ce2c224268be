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

// Run sends reports until ctx ends. Without a transport it returns at once, and this balancer
// enforces the quotas alone.
func (k *Keeper) Run(ctx context.Context, transport Transport) {
	k.mu.Lock()
	k.transport = transport
	k.mu.Unlock()
	k.updateRole(time.Now())
	if transport == nil {
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
		k.report(ctx, transport)
		pause.For(ctx, minReportInterval)
	}
}

// updateRole sets the role of the limiter, relay or follower, to the current one of this balancer.
func (k *Keeper) updateRole(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	relay := k.transport == nil || k.transport.ServesAsRelay()
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
func (k *Keeper) report(ctx context.Context, transport Transport) {
	k.mu.Lock()
	relay := k.limiter.IsRelay()
	k.mu.Unlock()
	if relay {
		k.reportToPeers(ctx, transport)
		return
	}
	k.reportToRelay(ctx, transport)
}

// reportToRelay sends a report to the followed relay and applies its answer.
func (k *Keeper) reportToRelay(ctx context.Context, transport Transport) {
	k.mu.Lock()
	r := k.limiter.Report(time.Now())
	k.mu.Unlock()
	addr := transport.FollowedRelay()
	answer, err := transport.SendReport(ctx, addr, r)
	k.mu.Lock()
	defer k.mu.Unlock()
	defer k.notifyWaiters()
	defer k.logIsolation(k.limiter.Isolated(), addr)
	if err != nil {
		k.cfg.Log.Debug("report to relay failed", "relay", addr, "error", err)
		k.limiter.ReportFailed(time.Now())
		return
	}
	k.limiter.ReportAnswered(r, answer, time.Now())
}

// logIsolation logs that this balancer has become isolated, or is no longer. The caller holds k.mu.
func (k *Keeper) logIsolation(before bool, relay string) {
	switch now := k.limiter.Isolated(); {
	case now && !before:
		k.isolations.Inc(1)
		k.cfg.Log.Info("no relay answers: quotas are kept by what this balancer holds", "relay", relay)
	case before && !now:
		k.cfg.Log.Info("a relay answers again: quotas are kept by its snapshots", "relay", relay)
	}
}

// notifyWaiters wakes the requests that wait for a snapshot. The caller holds k.mu.
func (k *Keeper) notifyWaiters() {
	close(k.answered)
	k.answered = make(chan struct{})
}

// reportToPeers sends a report to the relays of other zones without waiting for answers. A relay
// whose previous call is still in progress is skipped; the next report covers it.
func (k *Keeper) reportToPeers(ctx context.Context, transport Transport) {
	k.mu.Lock()
	defer k.mu.Unlock()
	r := k.limiter.ZoneReport(transport.IsRelay, time.Now())
	if len(r.Counts) == 0 && !r.Rests {
		return
	}
	for _, addr := range transport.PeerRelays() {
		if !k.reporting[addr] {
			k.reporting[addr] = true
			go k.reportToPeer(ctx, transport, addr, r)
		}
	}
}

// reportToPeer sends a report to the relay of another zone and applies its answer.
func (k *Keeper) reportToPeer(ctx context.Context, transport Transport, addr string, r tally.Report) {
	answer, err := transport.SendReport(ctx, addr, r)
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.reporting, addr)
	if err != nil {
		k.cfg.Log.Debug("report to relay failed", "relay", addr, "error", err)
		return
	}
	k.limiter.ZoneReportAnswered(r, answer, time.Now())
}
