package demo

import (
	"context"
	"sync"
	"time"
)

const (
	// beat is between two beats of a pace, and mostBeat is what one counts at the most.
	beat     = 10 * time.Millisecond
	mostBeat = 2 * beat
)

// pace tells how much of a time the demo's process could use. All parts of the demo share it: where it
// gets its processor late, whatever they do takes as much longer, and bounds of what they must do
// within a time count the time that they had. It is safe for concurrent use.
type pace struct {
	mu    sync.Mutex
	beats []time.Time
}

// run notes beats until ctx ends.
func (p *pace) run(ctx context.Context) {
	ticker := time.NewTicker(beat)
	defer ticker.Stop()
	for now := time.Now(); ctx.Err() == nil; now = time.Now() {
		p.note(now)
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// note notes one beat.
func (p *pace) note(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.beats = append(p.beats, now)
}

// used returns how much of the time from one moment to another the process could use.
func (p *pace) used(from, to time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	var total time.Duration
	last := from
	for _, at := range append(p.beats[:len(p.beats):len(p.beats)], to) {
		if at.After(to) {
			at = to
		}
		if at.After(last) {
			total += min(at.Sub(last), mostBeat)
			last = at
		}
	}
	return total
}
