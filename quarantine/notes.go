package quarantine

import (
	"encoding/json"
	"time"

	"github.com/lotuswing/lotuswing/coord/crash"
	"github.com/lotuswing/lotuswing/relay"
)

// Topic is the topic of the notes that keepers tell one another.
const Topic = "quarantine"

// What a note says.
const (
	noteEnd     = "ended"    // an endpoint ended under the request
	noteRun     = "ran"      // an endpoint ran it to an end
	noteOver    = "over"     // nobody tries it any more
	noteRelease = "released" // an operator released it
	noteOrder   = "ordered"  // an operator ordered that it is refused
)

// note is a keeper's word to all others, as JSON.
type note struct {
	What    string            `json:"what"`
	Exact   crash.Fingerprint `json:"exact"`          // or the one that an operator speaks of
	Wide    crash.Fingerprint `json:"wide,omitempty"` // empty in an operator's word
	Service string            `json:"service,omitempty"`
	Kind    string            `json:"kind,omitempty"`
	End     told              `json:"end,omitzero"`
}

// valid reports whether a note tells which request it is about.
func (n note) valid() bool {
	return n.Exact.Valid() && (n.Wide.Valid() || n.What == noteRelease || n.What == noteOrder)
}

// prints returns the fingerprints of the request.
func (n note) prints() crash.Prints { return crash.Prints{Exact: n.Exact, Wide: n.Wide} }

// told is an end as it is told; when it was follows from the age of the note.
type told struct {
	Endpoint string `json:"endpoint"`
	Start    int64  `json:"start,omitempty"`
	SeenBy   string `json:"seen_by"`
	Trial    bool   `json:"trial,omitempty"`
	Alone    bool   `json:"alone,omitempty"`
	// Of is the exact fingerprint.
	Of crash.Fingerprint `json:"of,omitempty"`
}

func toldEnd(e crash.End) told {
	return told{Endpoint: e.Endpoint, Start: e.Start, SeenBy: e.SeenBy, Trial: e.Trial, Alone: e.Alone, Of: e.Of}
}

// end returns the end that was seen at a time.
func (t told) end(at time.Time) crash.End {
	return crash.End{Endpoint: t.Endpoint, Start: t.Start, At: at, SeenBy: t.SeenBy, Trial: t.Trial, Alone: t.Alone, Of: t.Of}
}

// tell tells all other balancers something.
func (k *Keeper) tell(n note) {
	if k.cfg.Tell == nil {
		return
	}
	data, err := json.Marshal(n)
	if err == nil {
		err = k.cfg.Tell(Topic, data)
	}
	if err != nil {
		k.cfg.Log.Error("not told to other balancers", "fingerprint", string(n.Exact), "what", n.What, "error", err)
	}
}

// Hear takes a note of another keeper. One that cannot be read changes nothing.
func (k *Keeper) Hear(n relay.Note) {
	if n.Topic != Topic {
		return
	}
	var said note
	if err := json.Unmarshal(n.Data, &said); err != nil || !said.valid() {
		k.cfg.Log.Warn("note not read", "from", n.Origin, "error", err)
		return
	}
	now := k.opts.Now()
	at := now.Add(-n.Age)
	switch said.What {
	case noteEnd:
		k.noteEnd(said.prints(), said.Service, said.Kind, said.End.end(at), now)
	case noteRun:
		k.noteRun(said.prints(), at)
	case noteOver:
		k.noteOver(said.prints())
	case noteRelease:
		k.changeIf(said.Exact, now, func(known *entry) { known.is = known.is.WithRelease(at) })
	case noteOrder:
		k.change(said.Exact, crash.Case{}, now, func(known *entry) { known.is = known.is.WithOrder(at) })
	}
}
