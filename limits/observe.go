package limits

import (
	"time"

	"github.com/lotuswing/lotuswing/coord/limit"
)

// The sources of an observation, as logged.
const (
	fromAnswer   = "answer"   // an answer to a request of this balancer
	fromProbe    = "probe"    // an answer to a probe of this balancer
	fromOwner    = "owner"    // a reply of the owner to an ask
	fromBalancer = "balancer" // an ask of another balancer
	fromNote     = "note"     // a note published by the owner
)

// ObserveAnswer records what an endpoint's answer to a request said about its limit.
func (k *Keeper) ObserveAnswer(e Endpoint, a limit.Answer) { k.observe(e, a, fromAnswer) }

// ObserveProbe records what an endpoint's answer to a probe said about its limit.
func (k *Keeper) ObserveProbe(e Endpoint, a limit.Answer) { k.observe(e, a, fromProbe) }

// observe records what an answer said, and reports it to the owner of the endpoint if that is news
// to the owner.
func (k *Keeper) observe(e Endpoint, a limit.Answer, from string) {
	if a.Said == limit.HeaderAbsent && k.HasNoLimits() {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if a.Said == limit.HeaderUnreadable {
		k.recordUnreadable(e, a.ReceivedAt)
	}
	before := k.limiter.Observation(e.target())
	k.limiter.ObserveAnswer(e.target(), a, from == fromProbe)
	if !k.limiter.Observation(e.target()).Known() {
		return
	}
	k.trackEndpoint(e)
	k.logObservation(e, before, from, a.ReceivedAt)
	k.reportToOwner(e, a)
}

// trackEndpoint records the service and zone of an endpoint. Once there are more than twice as many
// records as endpoints that the limiter knows, it removes those of unknown endpoints. k.mu must be
// held.
func (k *Keeper) trackEndpoint(e Endpoint) {
	k.endpoints[e.target()] = e
	k.knownCount.Store(int64(k.limiter.Len()))
	if len(k.endpoints) <= 2*k.limiter.Len() {
		return
	}
	for t := range k.endpoints {
		if !k.limiter.Observation(t).Known() {
			delete(k.endpoints, t)
			delete(k.lastWarned, t)
		}
	}
}

// logObservation logs what is known about a limit if it has changed since before: at level info if
// it is news, otherwise at level debug. k.mu must be held.
func (k *Keeper) logObservation(e Endpoint, before limit.Observation, from string, now time.Time) {
	o := k.limiter.Observation(e.target())
	k.knownCount.Store(int64(k.limiter.Len()))
	if o == before {
		return
	}
	log := k.cfg.Log.Debug
	if o.IsNewsTo(before) {
		log = k.cfg.Log.Info
	}
	log("endpoint limit", "endpoint", e.ID, "start", e.Start, "service", e.Service, "state", stateName(o), "per_second", o.Rate(),
		"was", stateName(before), "was_per_second", before.Rate(), "from", from, "age_ms", now.Sub(o.Heard()).Milliseconds())
}

// stateName returns the state of a limit as it is logged and listed.
func stateName(o limit.Observation) string {
	switch {
	case !o.Known():
		return "none"
	case o.Lifted():
		return "lifted"
	}
	return "named"
}

// minWarnInterval is the minimum time between two warnings about unreadable limit headers of one
// endpoint.
const minWarnInterval = time.Minute

// recordUnreadable counts a limit header that cannot be parsed, and logs it at most once per
// minWarnInterval and endpoint. k.mu must be held.
func (k *Keeper) recordUnreadable(e Endpoint, now time.Time) {
	k.counters.unreadable.Inc(1)
	if at, ok := k.lastWarned[e.target()]; ok && now.Sub(at) < minWarnInterval {
		return
	}
	if len(k.lastWarned) >= maxWarned {
		clear(k.lastWarned)
	}
	k.lastWarned[e.target()] = now
	k.cfg.Log.Warn("endpoint limit header is unreadable", "endpoint", e.ID, "service", e.Service)
}

// maxWarned bounds the number of endpoints whose last warning is remembered.
const maxWarned = 4096
