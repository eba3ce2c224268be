package relay

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// Note is a word of one balancer to all others. What it means is the matter of those who
// agree on its topic; relays hand it on as it is. Notes come late, twice or in another
// order, and some never do: whoever tells something by a note must bear that. Package gob
// sends the names of the fields.
type Note struct {
	Origin string // link address of the balancer
	Life   uint64 // which start of it, a random number
	Number uint64 // counts its notes, from 1
	Topic  string
	Data   []byte
	Age    time.Duration // since it was told, as of the sending
}

const (
	// notesFor is how long a note is handed on, and mostNotes how many are kept: 4,096 of
	// 200 bytes are less than a megabyte. The oldest go first.
	notesFor  = 10 * time.Minute
	mostNotes = 4096
	// briefNotesFor is how long a note of a topic is handed on that begins with Brief.
	briefNotesFor = 10 * time.Second
	// mostNoteBytes bounds the data of one note.
	mostNoteBytes = 1 << 10
	// pruneEvery is between two looks for notes that are too old.
	pruneEvery = 10 * time.Second
)

// Brief begins the topics of notes that are of use for seconds only: who starts later does not hear
// them, and they take no room from others.
const Brief = "brief/"

// keptFor returns how long a note is handed on.
func (n Note) keptFor() time.Duration {
	if strings.HasPrefix(n.Topic, Brief) {
		return briefNotesFor
	}
	return notesFor
}

// ErrNoteTooLong says that the data of a note is longer than a kilobyte.
var ErrNoteTooLong = errors.New("relay: note too long")

// noteKey tells notes apart.
type noteKey struct {
	origin string
	life   uint64
	number uint64
}

func (n Note) key() noteKey { return noteKey{n.Origin, n.Life, n.Number} }

// heldNote is a note as it is kept.
type heldNote struct {
	note Note
	told time.Time // of the clock that goes on during a suspension
	at   uint64    // its place in this log, from 1
}

// noteLog is the notes that a balancer knows, in the order in which it heard of them, its
// own ones included. Another balancer that names the log's life and a place gets what came
// after. It is safe for concurrent use.
type noteLog struct {
	life uint64

	mu    sync.Mutex
	held  []heldNote
	known map[noteKey]bool
	at    uint64 // place of the last one
	// pruned is when notes that are too old were last dropped.
	pruned time.Time
}

func newNoteLog() *noteLog {
	return &noteLog{life: cmp.Or(rand.Uint64(), 1), known: map[noteKey]bool{}}
}

// add keeps notes and returns those that are news.
func (l *noteLog) add(notes []Note, now time.Time) []Note {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(now)
	var news []Note
	for _, n := range notes {
		if l.known[n.key()] || n.Age > n.keptFor() || len(n.Data) > mostNoteBytes {
			continue
		}
		l.at++
		l.known[n.key()] = true
		l.held = append(l.held, heldNote{note: n, told: now.Add(-max(0, n.Age)), at: l.at})
		news = append(news, n)
	}
	l.trim()
	return news
}

// forget drops notes that are too old, seldom, because it looks at all; l.mu is held.
func (l *noteLog) forget(now time.Time) {
	if now.Sub(l.pruned) < pruneEvery {
		return
	}
	l.pruned = now
	kept := l.held[:0]
	for _, h := range l.held {
		if now.Sub(h.told) > h.note.keptFor() {
			delete(l.known, h.note.key())
			continue
		}
		kept = append(kept, h)
	}
	clear(l.held[len(kept):])
	l.held = kept
}

// trim drops the first notes where there are too many; l.mu is held.
func (l *noteLog) trim() {
	over := len(l.held) - mostNotes
	if over <= 0 {
		return
	}
	for _, h := range l.held[:over] {
		delete(l.known, h.note.key())
	}
	l.held = append(l.held[:0], l.held[over:]...)
}

// place is a place in the log of one life of a balancer.
type place struct {
	life uint64
	at   uint64
}

// since returns the notes after a place, with their ages, and the place of the last one. A
// place in another log is that before the first note. Only notes of one origin are
// returned where that is given.
func (l *noteLog) since(p place, origin string, now time.Time) ([]Note, place) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.life != l.life {
		p.at = 0
	}
	var notes []Note
	for _, h := range l.held {
		age := now.Sub(h.told)
		if h.at <= p.at || age > h.note.keptFor() || origin != "" && h.note.Origin != origin {
			continue
		}
		n := h.note
		n.Age = age
		notes = append(notes, n)
	}
	return notes, place{life: l.life, at: l.at}
}

// after reports whether there are notes after a place.
func (l *noteLog) after(p place) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.life != l.life {
		p.at = 0
	}
	return len(l.held) > 0 && l.held[len(l.held)-1].at > p.at
}
