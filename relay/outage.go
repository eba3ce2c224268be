package relay

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"
)

// While the store does not answer, a relay reports this to its followers, so that they need not
// find out on their own. They stay with the relay and probe the store at intervals that grow with
// the number of followers, which keeps their total call rate constant. If the store answers one
// follower, the relay refers the others to it, and they follow it until a relay is settled again.

const (
	// initialProbeInterval is the mean time between two first probes of a lost store by all followers of one relay
	// together: the store may reject only the relay.
	initialProbeInterval = 200 * time.Millisecond
	// smallProbeInterval is the mean time between two later probes by all followers together, unless that is too long
	// for one of them: a follower probes each longestProbeDelay on average, because the store may serve it alone,
	// and no other probe finds that out. probeSpread is the part of a delay that is random.
	smallProbeInterval = 500 * time.Millisecond
	longestProbeDelay  = 2 * time.Second
	probeSpread        = 0.3
	// probeInterval bounds the rate of probes of many followers, which then learn from others that are served. Probes
	// are cheap reads.
	probeInterval = 50 * time.Millisecond
	// reportTTL is how long a relay's report that the store is lost stays valid.
	reportTTL = 3 * time.Second
)

// outage is what a balancer knows about a loss of the store from the reports of relays. It is an
// immutable value; the zero value means that the store is not reported lost.
type outage struct {
	reportedAt map[string]time.Time // when each relay last reported the store lost, by address
	askers     int                  // number of askers of the relay that reported last
	probeAt    time.Time            // when this balancer probes the store next
}

// withReport returns the outage after a relay with the given number of askers reported the store
// lost. random is from 0 to 1; it spreads the first probes of the askers of one relay.
func (o outage) withReport(addr string, askers int, random float64, now time.Time) outage {
	isFirst := !o.reported(now)
	reportedAt := map[string]time.Time{addr: now}
	for other, at := range o.reportedAt {
		if other != addr && now.Sub(at) < reportTTL {
			reportedAt[other] = at
		}
	}
	o.reportedAt, o.askers = reportedAt, max(1, askers)
	if isFirst {
		o.probeAt = now.Add(time.Duration(random * float64(o.askers) * float64(initialProbeInterval)))
	}
	return o
}

// withProbe returns the outage after this balancer probed the store without success. random is from
// 0 to 1.
func (o outage) withProbe(random float64, now time.Time) outage {
	o.probeAt = now.Add(time.Duration((1 + probeSpread*(random-0.5)) * float64(o.meanProbeDelay())))
	return o
}

// meanProbeDelay returns the mean time between two probes by one follower.
func (o outage) meanProbeDelay() time.Duration {
	askers := time.Duration(o.askers)
	return max(min(askers*smallProbeInterval, longestProbeDelay), askers*probeInterval)
}

// withoutReport returns the outage without the report of one relay, which no longer reports the
// store lost.
func (o outage) withoutReport(addr string) outage {
	if _, ok := o.reportedAt[addr]; !ok {
		return o
	}
	o.reportedAt = maps.Clone(o.reportedAt)
	delete(o.reportedAt, addr)
	return o
}

// reported reports whether any relay lately reported the store lost.
func (o outage) reported(now time.Time) bool {
	for _, at := range o.reportedAt {
		if now.Sub(at) < reportTTL {
			return true
		}
	}
	return false
}

// reportedBy reports whether the relay at addr lately reported the store lost.
func (o outage) reportedBy(addr string, now time.Time) bool {
	at, ok := o.reportedAt[addr]
	return ok && now.Sub(at) < reportTTL
}

// probeDue returns when this balancer asks the lost store next.
func (g *Group) probeDue(s *subscription) time.Time {
	return g.opts.probeDue(s.outage.probeAt, g.follower.Confirmed(), s.probedFor)
}

// probeStore calls the store and activates the follower if the store answers. It returns when the follower is
// up to date, so that the next call to a relay says so, or after a moment.
func (g *Group) probeStore(ctx context.Context, s *subscription) {
	s.probedFor = g.follower.Confirmed()
	err := g.follower.ReadRegistrations(ctx)
	if err != nil {
		s.outage = s.outage.withProbe(rand.Float64(), time.Now())
		return
	}
	g.cfg.Log.Info("store answers this balancer but not its relays", "askers", s.outage.askers)
	g.follower.SetActive(true)
	for end := time.Now().Add(idlePause); ctx.Err() == nil && time.Now().Before(end) && !g.follower.UpToDate(time.Now()); {
		g.replica.waitChange(ctx, settlePoll)
	}
}

// settlePoll is the time between two looks at whether a follower that was activated is up to date.
const settlePoll = 5 * time.Millisecond

// notifyPredecessor tells the predecessor, which is the relay that this balancer followed before it
// became a relay, that this balancer is in touch with the store. It does so as long as the
// predecessor reports the store lost. The predecessor then follows this balancer and refers waiting
// callers to it. A predecessor that the store rejects and whose registration has ended learns of its
// successor in no other way: without other relays it would keep outdated content.
func (g *Group) notifyPredecessor(ctx context.Context, s *subscription) {
	if !s.outage.reportedBy(s.lastRelay.Addr, time.Now()) {
		return
	}
	err := g.fetchChanges(ctx, s.lastRelay, 0)
	s.recordReport(s.lastRelay, err, time.Now())
}

// waitAtUnsettledRelay makes a patient call to a relay that has lost the store: the call returns
// when the relay is settled or names a balancer that is in touch with the store.
func (g *Group) waitAtUnsettledRelay(ctx context.Context, s *subscription) {
	began := time.Now()
	target, ok := g.relayReportingLoss(s, began)
	if !ok {
		s.outage = outage{}
		return
	}
	if g.askOtherRelay(ctx, s, target, began) {
		return
	}
	patience := g.opts.Wait
	if due := time.Until(g.probeDue(s)); due > 0 {
		patience = min(patience, due)
	}
	err := g.fetchChanges(ctx, target, patience)
	now := time.Now()
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		g.recordAnswer(target, s, now)
		return
	}
	s.recordReport(target, err, now)
	if !s.outage.reportedBy(target.Addr, now) {
		g.recordFailure(target, s, err, now)
		return
	}
	if now.Sub(began) < idlePause { // the relay names a balancer that this one cannot reach
		g.replica.waitChange(ctx, idlePause)
	}
}

// askOtherRelay asks one of the other relays, if it is time to, whether it has the store back, and reports whether
// that relay, or a balancer that it names, is to be followed.
func (g *Group) askOtherRelay(ctx context.Context, s *subscription, waitingAt Relay, now time.Time) bool {
	if now.Before(s.askOtherAt) {
		return false
	}
	other, ok := otherRelay(g.candidateRelays(s), g.cfg.Addr, waitingAt.Addr, s.asked)
	if !ok {
		return false
	}
	s.asked++
	s.askOtherAt = now.Add(otherRelayPause(s.outage.askers))
	err := g.fetchChanges(ctx, other, 0)
	if ctx.Err() != nil {
		return true
	}
	if err == nil {
		g.recordAnswer(other, s, time.Now())
		return true
	}
	s.recordReport(other, err, time.Now())
	return s.alternative != ""
}

// relayReportingLoss returns a relay that reports the store lost, preferably that of this
// balancer's own zone, and false if there is none.
func (g *Group) relayReportingLoss(s *subscription, now time.Time) (Relay, bool) {
	var found Relay
	for _, r := range g.candidateRelays(s) {
		if r.Addr == g.cfg.Addr || !s.outage.reportedBy(r.Addr, now) {
			continue
		}
		if found.Addr == "" || r.Zone == g.cfg.Zone {
			found = r
		}
	}
	return found, found.Addr != ""
}
