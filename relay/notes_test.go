package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var noteStart = time.Unix(1000, 0)

// newNote returns a note of an origin with a sequence number.
func newNote(origin string, number uint64) Note {
	return Note{Origin: origin, Life: 7, Number: number, Topic: "t", Data: []byte("d")}
}

// TestNoteLog checks that notes are kept once, in order of arrival, with their ages.
func TestNoteLog(t *testing.T) {
	l := newNoteLog()
	assert.Equal(t, len(l.add([]Note{newNote("a", 1), newNote("b", 1), newNote("a", 1)}, noteStart)), 2)
	assert.Equal(t, len(l.add([]Note{newNote("b", 1)}, noteStart)), 0)
	later := noteStart.Add(time.Second)
	notes, at := l.since(logPosition{}, "", later)
	assert.Equal(t, len(notes), 2)
	assert.Equal(t, notes[0].Age, time.Second)
	assert.Assert(t, !l.hasAfter(at))
	assert.Assert(t, l.hasAfter(logPosition{life: at.life + 1, index: at.index}), "a position in the log of another process")
	l.add([]Note{newNote("a", 2)}, later)
	assert.Assert(t, l.hasAfter(at))
	notes, _ = l.since(at, "", later)
	assert.Equal(t, len(notes), 1)
	notes, _ = l.since(logPosition{}, "a", later)
	assert.Equal(t, len(notes), 2)
}

// TestNotesExpire checks that a note is passed on for noteRetention after its publication, and that
// an expired note is not accepted.
func TestNotesExpire(t *testing.T) {
	l := newNoteLog()
	old := newNote("a", 1)
	old.Age = noteRetention - time.Minute
	assert.Equal(t, len(l.add([]Note{old}, noteStart)), 1)
	notes, _ := l.since(logPosition{}, "", noteStart.Add(2*time.Minute))
	assert.Equal(t, len(notes), 0)
	old.Age = noteRetention + time.Minute
	assert.Equal(t, len(l.add([]Note{old}, noteStart.Add(2*time.Minute))), 0)
}

// TestBriefNotesExpireSoon checks that brief notes expire after briefNoteRetention and then leave
// the log, while other notes stay.
func TestBriefNotesExpireSoon(t *testing.T) {
	l := newNoteLog()
	brief, other := newNote("a", 1), newNote("a", 2)
	brief.Topic = BriefTopicPrefix + "x"
	l.add([]Note{brief, other}, noteStart)
	notes, _ := l.since(logPosition{}, "", noteStart.Add(briefNoteRetention))
	assert.Equal(t, len(notes), 2)
	notes, _ = l.since(logPosition{}, "", noteStart.Add(briefNoteRetention+time.Second))
	assert.Equal(t, len(notes), 1)
	l.add(nil, noteStart.Add(2*briefNoteRetention))
	assert.Equal(t, len(l.entries), 1)
	assert.Equal(t, len(l.known), 1)
	brief.Age = briefNoteRetention + time.Second
	assert.Equal(t, len(l.add([]Note{brief}, noteStart.Add(briefNoteRetention+time.Second))), 0, "an expired note is not accepted")
}

// TestNotesAreBounded checks that only the last maxNotes notes are kept and that too long ones are
// rejected.
func TestNotesAreBounded(t *testing.T) {
	l := newNoteLog()
	for i := range uint64(2 * maxNotes) {
		l.add([]Note{newNote("a", i+1)}, noteStart)
	}
	notes, _ := l.since(logPosition{}, "", noteStart)
	assert.Equal(t, len(notes), maxNotes)
	assert.Equal(t, notes[0].Number, uint64(maxNotes+1))
	assert.Equal(t, len(l.known), maxNotes)
	long := newNote("b", 1)
	long.Data = make([]byte, maxNoteBytes+1)
	assert.Equal(t, len(l.add([]Note{long}, noteStart)), 0)
}
