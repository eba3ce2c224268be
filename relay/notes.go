package relay

import (
	"cmp"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// Note is a small message from one balancer to all others. Its meaning is up to the publishers and
// subscribers of its topic; relays pass it on unchanged. Delivery is best effort: notes may arrive
// late, twice, out of order or never, and whoever publishes them must tolerate that. Package gob
// sends the names of the fields.
type Note struct {
	Origin string // address of the publishing balancer
	Life   uint64 // random number that identifies the publishing process
	Number uint64 // sequence number among the notes of that process, from 1
	Topic  string
	Data   []byte
	Age    time.Duration // time since publication, at the moment of sending
}

const (
	// noteRetention is how long a note is passed on, and maxNotes how many are kept: 4,096 of 200
	// bytes take less than a megabyte. The oldest are dropped first.
	noteRetention = 10 * time.Minute
	maxNotes      = 4096
	// briefNoteRetention is the retention of notes whose topic begins with BriefTopicPrefix.
	briefNoteRetention = 10 * time.Second
	// maxNoteBytes bounds the data of one note.
	maxNoteBytes = 1 << 10
	// pruneInterval is the least time between two scans for expired notes.
	pruneInterval = 10 * time.Second
)

// BriefTopicPrefix is the topic prefix of notes that are useful for seconds only: balancers that start later
// do not receive them, and they do not take up the space of other notes for long.
const BriefTopicPrefix = "brief/"

// retention returns how long the note is passed on.
func (n Note) retention() time.Duration {
	if strings.HasPrefix(n.Topic, BriefTopicPrefix) {
		return briefNoteRetention
	}
	return noteRetention
}

// ErrNoteTooLong is returned by Publish for data longer than a kilobyte.
var ErrNoteTooLong = errors.New("relay: note too long")

// noteID identifies a note.
type noteID struct {
	origin string
	life   uint64
	number uint64
}

func (n Note) id() noteID { return noteID{n.Origin, n.Life, n.Number} }

// loggedNote is a note in a noteLog.
type loggedNote struct {
	note        Note
	publishedAt time.Time // on a clock that also runs during a suspension
	index       uint64    // position in the noteLog, from 1
}

// noteLog holds the notes that a balancer knows, including its own, in the order in which it
// received them. A peer that passes the log's life and an index gets the notes after it. It is safe
// for concurrent use.
type noteLog struct {
	life uint64 // identifies this process, random, never 0

	mu        sync.Mutex
	entries   []loggedNote
	known     map[noteID]bool
	lastIndex uint64 // index of the last note
	// lastPruned is when expired notes were last dropped.
	lastPruned time.Time
}

func newNoteLog() *noteLog {
	return &noteLog{life: cmp.Or(rand.Uint64(), 1), known: map[noteID]bool{}}
}

// add adds notes and returns those that were new. It ignores notes that have expired or are too
// long.
func (l *noteLog) add(notes []Note, now time.Time) []Note {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropExpired(now)
	var news []Note
	for _, n := range notes {
		if l.known[n.id()] || n.Age > n.retention() || len(n.Data) > maxNoteBytes {
			continue
		}
		l.lastIndex++
		l.known[n.id()] = true
		l.entries = append(l.entries, loggedNote{note: n, publishedAt: now.Add(-max(0, n.Age)), index: l.lastIndex})
		news = append(news, n)
	}
	l.dropOldest()
	return news
}

// dropExpired drops expired notes. It scans all notes, so it does so at most once per
// pruneInterval. l.mu must be held.
func (l *noteLog) dropExpired(now time.Time) {
	if now.Sub(l.lastPruned) < pruneInterval {
		return
	}
	l.lastPruned = now
	kept := l.entries[:0]
	for _, e := range l.entries {
		if now.Sub(e.publishedAt) > e.note.retention() {
			delete(l.known, e.note.id())
			continue
		}
		kept = append(kept, e)
	}
	clear(l.entries[len(kept):])
	l.entries = kept
}

// dropOldest drops the oldest notes above maxNotes; l.mu must be held.
func (l *noteLog) dropOldest() {
	over := len(l.entries) - maxNotes
	if over <= 0 {
		return
	}
	for _, e := range l.entries[:over] {
		delete(l.known, e.note.id())
	}
	l.entries = append(l.entries[:0], l.entries[over:]...)
}

// logPosition is a position in the note log of one process, which life identifies.
type logPosition struct {
	life  uint64
	index uint64 // index of a note in the log, from 1; 0 for the beginning
}

// since returns the notes after a position, with their ages, and the position of the last note in
// the log. A position of another life counts as the beginning of the log. If origin is not empty,
// only notes of that origin are returned.
func (l *noteLog) since(p logPosition, origin string, now time.Time) ([]Note, logPosition) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.life != l.life {
		p.index = 0
	}
	var notes []Note
	for _, e := range l.entries {
		age := now.Sub(e.publishedAt)
		if e.index <= p.index || age > e.note.retention() || origin != "" && e.note.Origin != origin {
			continue
		}
		n := e.note
		n.Age = age
		notes = append(notes, n)
	}
	return notes, logPosition{life: l.life, index: l.lastIndex}
}

// hasAfter reports whether the log has notes after a position.
func (l *noteLog) hasAfter(p logPosition) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p.life != l.life {
		p.index = 0
	}
	return len(l.entries) > 0 && l.entries[len(l.entries)-1].index > p.index
}
