package warmup

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// debt is how many tokens a bucket lacks when it begins.
	debt = 2
	// maxFailureDoublings bounds the pause after consecutive failures: 2^3 times the time between two
	// tokens is about the length of a warm-up.
	maxFailureDoublings = 3
	// Denied askers come back after a random time up to the spread of their service. Each denial raises
	// the spread and each permit lowers it, so that there are about spreadBalance denials for a permit.
	minSpread     = 5 * time.Millisecond
	maxSpread     = 2 * time.Second
	spreadFactor  = 1.1
	spreadBalance = 3
)

// Ledger is what the owner of an availability zone has granted for the endpoints there. It is not safe for
// concurrent use.
type Ledger struct {
	since    time.Time // of the tenure that the buckets belong to
	buckets  map[Target]bucket
	spreads  map[string]time.Duration // by service
	prunedAt time.Time
	granted  int64
	denied   int64
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{buckets: map[Target]bucket{}, spreads: map[string]time.Duration{}}
}

// bucket is the token bucket of one endpoint. It is an immutable value.
type bucket struct {
	tokens      float64
	at          time.Time // when tokens was last updated
	pausedUntil time.Time // no permits before, because the endpoint refused or failed requests
	failures    int       // in a row
	granted     int64
}

// refilled returns the bucket as of now, with rate tokens per second.
func (b bucket) refilled(rate float64, now time.Time) bucket {
	b.tokens = min(Burst, b.tokens+rate*max(0, now.Sub(b.at).Seconds()))
	b.at = now
	return b
}

// opensIn returns the time until there is a token that may be used.
func (b bucket) opensIn(rate float64, now time.Time) time.Duration {
	return max(time.Duration(max(0, 1-b.tokens)/rate*float64(time.Second)), b.pausedUntil.Sub(now))
}

// withFailure returns the bucket after the endpoint refused or failed a request. Failures reported during
// a pause are of requests sent before it, and do not lengthen it.
func (b bucket) withFailure(rate float64, now time.Time) bucket {
	if now.Before(b.pausedUntil) {
		return b
	}
	pause := time.Duration(float64(time.Second) / rate)
	if now.Sub(b.pausedUntil) > pause<<maxFailureDoublings {
		b.failures = 0
	}
	b.pausedUntil = now.Add(pause << min(b.failures, maxFailureDoublings))
	b.failures++
	return b
}

// Handle replies to an ask. rate is the number of requests per second that an endpoint of the service takes
// while it warms up, and random a number in [0,1). Outside the tenure the reply is empty.
func (l *Ledger) Handle(a Ask, rate float64, tenure Tenure, random float64, now time.Time) Reply {
	if !tenure.Contains(now) || rate <= 0 || math.IsInf(rate, 0) {
		return Reply{}
	}
	if l.since.Before(tenure.Since) { // others may have granted permits since the last tenure
		clear(l.buckets)
		l.since = tenure.Since
	}
	l.prune(now)
	for _, t := range a.Failed[:min(len(a.Failed), MaxTargets)] {
		l.buckets[t] = l.bucket(t, rate, now).withFailure(rate, now)
	}
	return l.grant(a, rate, random, now)
}

// grant grants the permits of an ask.
func (l *Ledger) grant(a Ask, rate, random float64, now time.Time) Reply {
	r := Reply{Owner: true}
	want := min(a.Want, MaxPermits)
	if want <= 0 {
		return r
	}
	opens := maxSpread
	for _, t := range a.Targets[:min(len(a.Targets), MaxTargets)] {
		b := l.bucket(t, rate, now)
		l.buckets[t] = b
		if in := b.opensIn(rate, now); in > 0 {
			opens = min(opens, in)
			continue
		}
		b.tokens--
		b.granted++
		l.buckets[t] = b
		if r.Granted = append(r.Granted, t); len(r.Granted) == want {
			break
		}
	}
	l.adjustSpread(a.Service, len(r.Granted))
	if len(r.Granted) < want {
		r.RetryAfter = opens + time.Duration(random*float64(l.spreads[a.Service]))
	}
	return r
}

// adjustSpread adjusts the spread of a service after an ask that got some permits.
func (l *Ledger) adjustSpread(service string, granted int) {
	factor := spreadFactor
	if granted > 0 {
		factor = math.Pow(spreadFactor, -spreadBalance)
	} else {
		l.denied++
	}
	l.granted += int64(granted)
	l.spreads[service] = min(maxSpread, max(minSpread, time.Duration(factor*float64(l.spreads[service]))))
}

// bucket returns the bucket of an endpoint as of now. It begins with a debt: the endpoint may have turned
// cold just now, and gets requests of balancers that do not know yet.
func (l *Ledger) bucket(t Target, rate float64, now time.Time) bucket {
	b, ok := l.buckets[t]
	if !ok {
		b.at, b.tokens = now, -debt
	}
	return b.refilled(rate, now)
}

// prune removes buckets for which nobody has asked for bucketTTL. If there are too many others, all are
// removed, and begin in debt again.
func (l *Ledger) prune(now time.Time) {
	full := len(l.buckets) >= maxBuckets
	if !full && now.Sub(l.prunedAt) < bucketTTL {
		return
	}
	l.prunedAt = now
	maps.DeleteFunc(l.buckets, func(_ Target, b bucket) bool { return now.Sub(b.at) > bucketTTL })
	if len(l.buckets) >= maxBuckets {
		clear(l.buckets)
	}
}

// Status is what an owner has granted for one endpoint. The field names are also the JSON names.
type Status struct {
	Endpoint string
	Granted  int64         // permits
	Failures int           // refusals and failures in a row
	Paused   time.Duration // no permits for so long
}

// Status returns the endpoints with a bucket, sorted, and how many permits were granted and asks denied in all.
func (l *Ledger) Status(now time.Time) (list []Status, granted, denied int64) {
	for t, b := range l.buckets {
		list = append(list, Status{Endpoint: t.ID, Granted: b.granted, Failures: b.failures, Paused: max(0, b.pausedUntil.Sub(now))})
	}
	slices.SortFunc(list, func(a, b Status) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return list, l.granted, l.denied
}
