package detour

import (
	"context"
	"time"

	"github.com/lotuswing/lotuswing/coord/reach"
	"github.com/lotuswing/lotuswing/internal/pause"
)

// Refuse makes the server carry no further connections, and tells the users of the open ones.
func (s *Server) Refuse() {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
	for t := range s.tunnels {
		t.tellIfDue(now)
	}
}

// Drain carries no further connections and waits until the users of the open ones have closed them. It
// closes those of users that do not understand once they are quiet, and all when ctx ends. It returns
// how many were cut then, although something may have been under way on them.
func (s *Server) Drain(ctx context.Context) (cut int) {
	s.Refuse()
	for ctx.Err() == nil {
		if remaining, _ := s.endCarried(time.Now(), false); remaining == 0 {
			return 0
		}
		pause.For(ctx, drainPoll)
	}
	_, cut = s.endCarried(time.Now(), true)
	return cut
}

// endCarried does with each connection what is due in a planned stop. It returns how many remain, those
// that are being opened included, and how many were cut.
func (s *Server) endCarried(now time.Time, over bool) (remaining, cut int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	remaining = s.opening
	for t := range s.tunnels {
		switch t.state(over).InStop(now) {
		case reach.Tell:
			t.tell()
			remaining++
		case reach.Wait:
			remaining++
		case reach.Close:
			t.close()
		case reach.Cut:
			if t.cut(now) {
				cut++
			}
		}
	}
	return remaining, cut
}

// state returns what is known of the connection; over says that the time of the stop is over.
func (t *tunnel) state(over bool) reach.Carried {
	return reach.Carried{
		Understands: t.understands, Told: t.told.Load(), Answered: t.answered.Load(),
		LastByte: time.Unix(0, t.lastByte.Load()), Over: over,
	}
}

// tellIfDue tells the user of the connection that it is draining, if it understands that.
func (t *tunnel) tellIfDue(now time.Time) {
	if t.state(false).InStop(now) == reach.Tell {
		t.tell()
	}
}

// tell sends drainingMark once. It does not wait for a user that reads slowly.
func (t *tunnel) tell() {
	if t.told.Swap(true) {
		return
	}
	go func() { _ = t.writeFrame(make([]byte, frameHeaderSize), drainingMark, 0) }() // copying ends after a failure
}

// cut closes a connection that is in use, and reports whether it was open.
func (t *tunnel) cut(now time.Time) bool {
	quiet := now.Sub(time.Unix(0, t.lastByte.Load()))
	if !t.close() {
		return false
	}
	t.server.cut.Inc(1)
	t.server.cfg.Log.Warn("stop cuts a carried connection", "tunnel", t.id, "last_byte_ago", quiet.Round(time.Millisecond).String(), "from_endpoint", t.answered.Load())
	return true
}
