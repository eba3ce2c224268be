package access

import (
	"sync"
	"time"
)

// mostDoubts bounds how many unknown keys are remembered: 4,096 of some 80 bytes. Who sends
// more of them than that is told to come back rather than that its key is wrong.
const mostDoubts = 4096

// Doubts remembers since when keys that no team holds have been sent. A key that was just
// added may be known to its caller before this balancer has heard of it: only after the
// time in which changes are heard of is it certain that nobody holds it. The zero value is
// empty. It is safe for concurrent use.
type Doubts struct {
	mu    sync.Mutex
	first map[Digest]time.Time
}

// Since returns when an unknown key was sent for the first time, which may be now.
func (d *Doubts) Since(key Digest, now time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at, ok := d.first[key]; ok {
		return at
	}
	if d.first == nil || len(d.first) >= mostDoubts {
		d.first = map[Digest]time.Time{}
	}
	d.first[key] = now
	return now
}

// Verdict is what becomes of a request, by its key.
type Verdict uint8

const (
	// Admit says that the key belongs to a team.
	Admit Verdict = iota
	// Deny says that nobody holds the key.
	Deny
	// ComeBack says that whether somebody holds the key cannot be told yet.
	ComeBack
)

// Judge says what becomes of a request with a key of some standing that was first sent at
// since, where changes of the configuration are in force after within at the latest.
// inTouch says that this balancer hears of changes; one that does not cannot tell a new key
// from a wrong one.
func Judge(s Standing, since time.Time, within time.Duration, inTouch bool, now time.Time) Verdict {
	switch s {
	case Held:
		return Admit
	case Withdrawn:
		return Deny
	case Unknown:
	}
	if !inTouch || now.Sub(since) < within {
		return ComeBack
	}
	return Deny
}
