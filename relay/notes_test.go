package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var noteStart = time.Unix(1000, 0)

// numbered returns a note of an origin.
func numbered(origin string, number uint64) Note {
	return Note{Origin: origin, Life: 7, Number: number, Topic: "t", Data: []byte("d")}
}

// TestNoteLog: notes are kept once, in the order in which they came, with their ages.
func TestNoteLog(t *testing.T) {
	l := newNoteLog()
	assert.Equal(t, len(l.add([]Note{numbered("a", 1), numbered("b", 1), numbered("a", 1)}, noteStart)), 2)
	assert.Equal(t, len(l.add([]Note{numbered("b", 1)}, noteStart)), 0)
	later := noteStart.Add(time.Second)
	notes, at := l.since(place{}, "", later)
	assert.Equal(t, len(notes), 2)
	assert.Equal(t, notes[0].Age, time.Second)
	assert.Assert(t, !l.after(at))
	assert.Assert(t, l.after(place{life: at.life + 1, at: at.at}), "a place in the log of another life")
	l.add([]Note{numbered("a", 2)}, later)
	assert.Assert(t, l.after(at))
	notes, _ = l.since(at, "", later)
	assert.Equal(t, len(notes), 1)
	notes, _ = l.since(place{}, "a", later)
	assert.Equal(t, len(notes), 2)
}

// TestNotesEnd: a note is handed on for some minutes, counted from when it was told, and one
// that comes again after that is none.
func TestNotesEnd(t *testing.T) {
	l := newNoteLog()
	old := numbered("a", 1)
	old.Age = notesFor - time.Minute
	assert.Equal(t, len(l.add([]Note{old}, noteStart)), 1)
	notes, _ := l.since(place{}, "", noteStart.Add(2*time.Minute))
	assert.Equal(t, len(notes), 0)
	old.Age = notesFor + time.Minute
	assert.Equal(t, len(l.add([]Note{old}, noteStart.Add(2*time.Minute))), 0)
}

// TestBriefNotesEndSoon, and leave the others their room.
func TestBriefNotesEndSoon(t *testing.T) {
	l := newNoteLog()
	brief, other := numbered("a", 1), numbered("a", 2)
	brief.Topic = Brief + "x"
	l.add([]Note{brief, other}, noteStart)
	notes, _ := l.since(place{}, "", noteStart.Add(briefNotesFor))
	assert.Equal(t, len(notes), 2)
	notes, _ = l.since(place{}, "", noteStart.Add(briefNotesFor+time.Second))
	assert.Equal(t, len(notes), 1)
	l.add(nil, noteStart.Add(2*briefNotesFor))
	assert.Equal(t, len(l.held), 1)
	assert.Equal(t, len(l.known), 1)
	brief.Age = briefNotesFor + time.Second
	assert.Equal(t, len(l.add([]Note{brief}, noteStart.Add(briefNotesFor+time.Second))), 0, "it comes again")
}

// TestNotesAreBounded: however many are told, so many are kept, the last ones.
func TestNotesAreBounded(t *testing.T) {
	l := newNoteLog()
	for i := range uint64(2 * mostNotes) {
		l.add([]Note{numbered("a", i+1)}, noteStart)
	}
	notes, _ := l.since(place{}, "", noteStart)
	assert.Equal(t, len(notes), mostNotes)
	assert.Equal(t, notes[0].Number, uint64(mostNotes+1))
	assert.Equal(t, len(l.known), mostNotes)
	long := numbered("b", 1)
	long.Data = make([]byte, mostNoteBytes+1)
	assert.Equal(t, len(l.add([]Note{long}, noteStart)), 0)
}
