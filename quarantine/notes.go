package quarantine

import (
	"encoding/json"
	"time"

	"github.com/lotuswing/lotuswing/coord/crash"
	"github.com/lotuswing/lotuswing/relay"
)

// Topic is the topic of the notes that Trackers send to one another.
const Topic = "quarantine"

// Values of note.What.
const (
	noteCrashed        = "ended"    // an endpoint crashed during the request
	noteCompleted      = "ran"      // an endpoint completed the request
	noteTrialOver      = "over"     // a trial ended without a result
	noteReleased       = "released" // an operator released the request
	noteRefusalOrdered = "ordered"  // an operator ordered that the request is refused
)

// note is a JSON message from one Tracker to all others.
type note struct {
	What     string            `json:"what"`
	Exact    crash.Fingerprint `json:"exact"`          // fingerprint of the request; of an operator's note, the fingerprint that the operator named
	AnyQuery crash.Fingerprint `json:"wide,omitempty"` // empty in an operator's note
	Service  string            `json:"service,omitempty"`
	Kind     string            `json:"kind,omitempty"`
	Crash    crashData         `json:"end,omitzero"`
}

// valid reports whether the note has the fingerprints that its kind needs.
func (n note) valid() bool {
	return n.Exact.Valid() && (n.AnyQuery.Valid() || n.What == noteReleased || n.What == noteRefusalOrdered)
}

// prints returns the fingerprints of the request.
func (n note) prints() crash.Fingerprints {
	return crash.Fingerprints{Exact: n.Exact, AnyQuery: n.AnyQuery}
}

// crashData is the JSON form of a crash.Event, without the time. The receiver of a note derives the
// time from the note's age; the reader of a Record takes the time at which it reads it.
type crashData struct {
	Endpoint string `json:"endpoint"`
	Start    int64  `json:"start,omitempty"`
	SeenBy   string `json:"seen_by"`
	Trial    bool   `json:"trial,omitempty"`
	Alone    bool   `json:"alone,omitempty"`
	// RequestFingerprint is the exact fingerprint of the request.
	RequestFingerprint crash.Fingerprint `json:"of,omitempty"`
}

// newCrashData returns the JSON form of an event.
func newCrashData(e crash.Event) crashData {
	return crashData{Endpoint: e.Endpoint, Start: e.Start, SeenBy: e.SeenBy, Trial: e.Trial, Alone: e.Alone, RequestFingerprint: e.RequestFingerprint}
}

// event returns the crash as an event observed at the given time.
func (d crashData) event(at time.Time) crash.Event {
	return crash.Event{Endpoint: d.Endpoint, Start: d.Start, At: at, SeenBy: d.SeenBy, Trial: d.Trial, Alone: d.Alone, RequestFingerprint: d.RequestFingerprint}
}

// broadcast sends a note to all other balancers.
func (k *Tracker) broadcast(n note) {
	if k.cfg.Publish == nil {
		return
	}
	data, err := json.Marshal(n)
	if err == nil {
		err = k.cfg.Publish(Topic, data)
	}
	if err != nil {
		k.cfg.Log.Error("could not notify the other balancers", "fingerprint", string(n.Exact), "what", n.What, "error", err)
	}
}

// HandleNote handles a note of another Tracker. Invalid notes are logged and ignored.
func (k *Tracker) HandleNote(n relay.Note) {
	if n.Topic != Topic {
		return
	}
	var msg note
	if err := json.Unmarshal(n.Data, &msg); err != nil || !msg.valid() {
		k.cfg.Log.Warn("note not read", "from", n.Origin, "error", err)
		return
	}
	now := k.opts.Now()
	at := now.Add(-n.Age)
	switch msg.What {
	case noteCrashed:
		k.addCrash(msg.prints(), msg.Service, msg.Kind, msg.Crash.event(at), now)
	case noteCompleted:
		k.addCompletion(msg.prints(), at)
	case noteTrialOver:
		k.clearTrials(msg.prints())
	case noteReleased:
		k.updateExisting(msg.Exact, now, func(ent *entry) { ent.history = ent.history.WithRelease(at) })
	case noteRefusalOrdered:
		k.update(msg.Exact, crash.History{}, now, func(ent *entry) { ent.history = ent.history.WithRefusalOrder(at) })
	}
}
