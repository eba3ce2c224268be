package fleet

import (
	"context"
	"time"

	"github.com/lotuswing/lotuswing/coord/tally"
	"github.com/lotuswing/lotuswing/internal/pause"
)

const (
	// shortest is the shortest pause between two reports, also after one that failed at once.
	shortest = 20 * time.Millisecond
	// untilWoken is a pause that a count ends: where nothing is counted nothing looks around.
	untilWoken = time.Hour
)

// Run reports what is counted until ctx ends. Without a carrier there is nobody to report
// to, and this balancer keeps the quotas alone.
func (k *Keeper) Run(ctx context.Context, carrier Carrier) {
	k.mu.Lock()
	k.carrier = carrier
	k.mu.Unlock()
	k.lookRole(time.Now())
	if carrier == nil {
		return
	}
	for ctx.Err() == nil {
		now := time.Now()
		k.lookRole(now)
		wait := k.untilDue(now)
		if wait > 0 {
			pause.Until(ctx, k.wake, wait)
			continue
		}
		k.report(ctx, carrier)
		pause.For(ctx, shortest)
	}
}

// lookRole finds out whether this balancer is a relay.
func (k *Keeper) lookRole(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	relay := k.carrier == nil || k.carrier.Serving()
	if relay == k.book.IsRelay() {
		return
	}
	k.book.SetRelay(relay, now)
	k.cfg.Log.Debug("keeping the fleet's counts", "relay", relay, "zone", k.cfg.Zone)
}

// untilDue returns how long it is until the next report is due, and notes when the loop
// looks again.
func (k *Keeper) untilDue(now time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	at, ok := k.book.Due(now)
	if !ok {
		at = now.Add(untilWoken)
	}
	k.planned = at
	return at.Sub(now)
}

// report tells the relay that is followed or, at a relay, those of other zones.
func (k *Keeper) report(ctx context.Context, carrier Carrier) {
	k.mu.Lock()
	relay := k.book.IsRelay()
	k.mu.Unlock()
	if relay {
		k.tellRelays(ctx, carrier)
		return
	}
	k.tellRelay(ctx, carrier)
}

// tellRelay reports to the relay that is followed, and takes its word.
func (k *Keeper) tellRelay(ctx context.Context, carrier Carrier) {
	k.mu.Lock()
	r := k.book.Report(time.Now())
	k.mu.Unlock()
	addr := carrier.Followed()
	answer, err := carrier.Count(ctx, addr, r)
	k.mu.Lock()
	defer k.mu.Unlock()
	defer k.wakeAwaiting()
	if err != nil {
		k.cfg.Log.Debug("counts not told", "relay", addr, "error", err)
		k.book.Failed(time.Now())
		return
	}
	k.book.Answered(r, answer, time.Now())
}

// wakeAwaiting has requests look again that wait for a word; k.mu is held.
func (k *Keeper) wakeAwaiting() {
	close(k.answered)
	k.answered = make(chan struct{})
}

// tellRelays reports to the relays of other zones. Nobody is waited for: one that is still
// being told is told more with the next report.
func (k *Keeper) tellRelays(ctx context.Context, carrier Carrier) {
	k.mu.Lock()
	defer k.mu.Unlock()
	r := k.book.ZoneReport(carrier.IsRelay, time.Now())
	if len(r.Counts) == 0 && !r.Rests {
		return
	}
	for _, addr := range carrier.Others() {
		if !k.telling[addr] {
			k.telling[addr] = true
			go k.tellPeer(ctx, carrier, addr, r)
		}
	}
}

// tellPeer reports to the relay of another zone.
func (k *Keeper) tellPeer(ctx context.Context, carrier Carrier, addr string, r tally.Report) {
	answer, err := carrier.Count(ctx, addr, r)
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.telling, addr)
	if err != nil {
		k.cfg.Log.Debug("counts not told", "relay", addr, "error", err)
		return
	}
	k.book.ZoneAnswered(r, answer, time.Now())
}
