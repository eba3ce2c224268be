package contract

import (
	"maps"
	"slices"
	"time"

	"github.com/lotuswing/lotuswing/coord/admission"
	"github.com/lotuswing/lotuswing/coord/health"
	"github.com/lotuswing/lotuswing/coord/placement"
)

// State is all that a ledger knows, as it stands at the head of a trace.
type State struct {
	Options   Options              `json:"options"`
	Endpoints []EndpointState      `json:"endpoints"`
	Waiting   []WaitingState       `json:"waiting"`
	Usual     []UsualState         `json:"usual"`  // by class
	Drains    []DrainState         `json:"drains"` // by class
	Off       time.Time            `json:"overbook_off"`
	OffTimes  int                  `json:"overbook_off_times"`
	Median    float64              `json:"median"`
	Learning  time.Time            `json:"learning_until"`
	Ended     map[string]time.Time `json:"ended"`
}

// EndpointState is the account of one endpoint.
type EndpointState struct {
	Endpoint   placement.Endpoint `json:"endpoint"`
	Health     health.Snapshot    `json:"health"`
	Held       []HeldState        `json:"held"`
	Leaving    bool               `json:"leaving"`
	Cold       bool               `json:"cold"`
	LastSign   time.Time          `json:"last_sign"`
	PauseUntil time.Time          `json:"pause_until"`
	LastTrial  time.Time          `json:"last_trial"`
	Sheds      int                `json:"sheds"`
	Admission  admission.Snapshot `json:"admission,omitzero"`
}

// HeldState is one contract.
type HeldState struct {
	ID      string          `json:"id"`
	Holder  string          `json:"holder"`
	Class   placement.Class `json:"class"`
	Granted time.Time       `json:"granted"`
	Until   time.Time       `json:"until"`
	Booked  bool            `json:"booked"`
}

// WaitingState is one request in a queue.
type WaitingState struct {
	Request Request   `json:"request"`
	Since   time.Time `json:"since"`
}

// UsualState is a moving average of service times.
type UsualState struct {
	Log     float64 `json:"log"`
	Samples int     `json:"samples"`
}

// DrainState is how fast a waiting class is granted slots.
type DrainState struct {
	Last     time.Time     `json:"last"`
	Interval time.Duration `json:"interval"`
	Samples  int           `json:"samples"`
}

// State returns a copy of all that the ledger knows.
func (l *Ledger) State() State {
	st := State{Options: l.opts, Off: l.overbook.off, OffTimes: l.overbook.times, Median: l.median, Learning: l.learning, Ended: maps.Clone(l.ended)}
	for _, s := range l.order {
		e := EndpointState{
			Endpoint: s.Endpoint, Health: s.health.Snapshot(), Leaving: s.leaving, Cold: s.cold,
			LastSign: s.lastSign, PauseUntil: s.pauseUntil, LastTrial: s.lastTrial, Sheds: s.sheds,
			Admission: s.admission.Snapshot(),
		}
		for _, h := range s.held {
			e.Held = append(e.Held, HeldState{ID: h.id, Holder: h.holder, Class: h.class, Granted: h.granted, Until: h.until, Booked: h.booked})
		}
		slices.SortFunc(e.Held, func(a, b HeldState) int { return compareStrings(a.ID, b.ID) })
		st.Endpoints = append(st.Endpoints, e)
	}
	for c := range placement.Classes {
		for _, w := range l.queues[c].items {
			st.Waiting = append(st.Waiting, WaitingState{Request: w.Request, Since: w.since})
		}
		st.Usual = append(st.Usual, UsualState{Log: l.serviceTimes[c].log, Samples: l.serviceTimes[c].samples})
		d := l.drains[c]
		st.Drains = append(st.Drains, DrainState{Last: d.last, Interval: d.interval, Samples: d.samples})
	}
	return st
}

// Restore returns a ledger with the given state.
func Restore(st State) *Ledger {
	l := NewLedger(st.Options)
	l.median = st.Median
	l.learning = st.Learning
	for id, at := range st.Ended {
		l.ended[id] = at
	}
	l.overbook = overbooking{off: st.Off, times: st.OffTimes}
	for _, e := range st.Endpoints {
		s := newAccount(e.Endpoint, l.opts)
		s.health = health.Restore(l.opts.Health, e.Health)
		s.leaving, s.cold = e.Leaving, e.Cold
		s.lastSign, s.pauseUntil, s.lastTrial, s.sheds = e.LastSign, e.PauseUntil, e.LastTrial, e.Sheds
		s.admission = admission.Restore(e.Admission)
		for _, h := range e.Held {
			s.held[h.ID] = contractHeld{id: h.ID, holder: h.Holder, class: h.Class, granted: h.Granted, until: h.Until, booked: h.Booked}
			l.owner[h.ID] = s
			l.inUse[h.Class]++
		}
		l.endpoints[e.Endpoint.VM] = s
		l.order = append(l.order, s)
	}
	for _, w := range st.Waiting {
		l.queues[w.Request.Class].push(waiting{Request: w.Request, since: w.Since})
	}
	for c := range st.Usual {
		l.serviceTimes[c] = serviceTime{log: st.Usual[c].Log, samples: st.Usual[c].Samples}
		l.drains[c] = drain{last: st.Drains[c].Last, interval: st.Drains[c].Interval, samples: st.Drains[c].Samples}
	}
	return l
}
