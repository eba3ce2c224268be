// Package limits keeps what endpoints in need say of how many requests a second they take from
// all balancers together.
//
// A Keeper hears every answer of an endpoint, to requests and to probes. The rules of what
// counts are in coord/limit; the Keeper owns the lock, the log lines and the metrics.
//
// # Usage
//
//	k := limits.New(limits.Config{Log: log, Metrics: registry})
//	k.Answered(endpoint, dialect.LimitOf(header, sent, now))
package limits

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/coord/limit"
	"github.com/rcrowley/go-metrics"
)

// Endpoint is one start of an endpoint. Another start under the same identity has no limit
// until it names one.
type Endpoint struct {
	ID      string
	Start   int64
	Service string
	Zone    string
}

// target is what tells starts of endpoints apart.
type target struct {
	id    string
	start int64
}

func (e Endpoint) target() target { return target{e.ID, e.Start} }

// Config of a Keeper.
type Config struct {
	Log     hclog.Logger
	Metrics metrics.Registry
}

// Keeper is what one balancer knows of the limits of endpoints. It is safe for concurrent use.
type Keeper struct {
	cfg    Config
	unread metrics.Counter
	// some is how many endpoints have named a limit: none is the usual case, and costs a
	// request one atomic read.
	some atomic.Int64

	mu    sync.Mutex
	known map[target]*entry
}

// entry is what is known of one start of an endpoint.
type entry struct {
	endpoint Endpoint
	word     limit.Word
	probes   bool      // its answers to probes name the limit, too
	warned   time.Time // when a word that could not be read was last logged
}

// New returns a keeper that has heard of no limit.
func New(cfg Config) *Keeper {
	return &Keeper{cfg: cfg, unread: metrics.GetOrRegisterCounter("limits_unread", cfg.Metrics), known: map[target]*entry{}}
}

// Sources of what is known of a limit, as they are logged.
const (
	fromAnswer = "answer"
	fromProbe  = "probe"
)

// Answered takes what an endpoint's answer to a request said.
func (k *Keeper) Answered(e Endpoint, a limit.Answer) { k.hear(e, a, fromAnswer) }

// Probed takes what an endpoint's answer to a probe said. One without a limit says nothing,
// unless the endpoint has named one to a probe.
func (k *Keeper) Probed(e Endpoint, a limit.Answer) { k.hear(e, a, fromProbe) }

// hear takes what an answer said.
func (k *Keeper) hear(e Endpoint, a limit.Answer, from string) {
	if a.Said == limit.Nothing && k.some.Load() == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	known, ok := k.known[e.target()]
	switch {
	case !ok && a.Said == limit.Nothing:
		return
	case !ok:
		known = k.begin(e)
	}
	if from == fromProbe {
		known.probes = known.probes || a.Said == limit.Named
		a.Mute = a.Mute || !known.probes
	}
	if a.Said == limit.Unreadable {
		k.noteUnread(known, a.Heard)
	}
	k.learn(known, known.word.With(a), from, a.Heard)
}

// begin begins to remember an endpoint; k.mu is held.
func (k *Keeper) begin(e Endpoint) *entry {
	known := &entry{endpoint: e}
	k.known[e.target()] = known
	k.some.Store(int64(len(k.known)))
	return known
}

// learn replaces the word on an endpoint and logs what is news; k.mu is held.
func (k *Keeper) learn(known *entry, w limit.Word, from string, now time.Time) {
	before := known.word
	known.word = w
	if w == before {
		return
	}
	log := k.cfg.Log.Debug
	if w.News(before) {
		log = k.cfg.Log.Info
	}
	e := known.endpoint
	log("endpoint limit", "endpoint", e.ID, "start", e.Start, "service", e.Service, "state", stateOf(w), "per_second", w.Rate(),
		"was", stateOf(before), "was_per_second", before.Rate(), "from", from, "age_ms", now.Sub(w.Heard()).Milliseconds())
}

// stateOf returns the word used in logs.
func stateOf(w limit.Word) string {
	switch {
	case !w.Known():
		return "none"
	case w.Lifted():
		return "lifted"
	}
	return "named"
}

// warnEvery is the least time between two log lines on one endpoint whose header cannot be
// read.
const warnEvery = time.Minute

// noteUnread counts and logs a header that is no limit; k.mu is held.
func (k *Keeper) noteUnread(known *entry, now time.Time) {
	k.unread.Inc(1)
	if !known.warned.IsZero() && now.Sub(known.warned) < warnEvery {
		return
	}
	known.warned = now
	k.cfg.Log.Warn("endpoint limit not read", "endpoint", known.endpoint.ID, "service", known.endpoint.Service)
}
