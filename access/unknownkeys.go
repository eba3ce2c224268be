package access

import (
	"sync"
	"time"
)

// maxUnknownKeys limits how many unknown keys are remembered: 4,096 of some 80 bytes each. Beyond
// that all are forgotten, so that a caller who sends more is told to retry rather than that its key
// is wrong.
const maxUnknownKeys = 4096

// UnknownKeys remembers when each unknown key was first sent. The caller of a new key may use it
// before this balancer has learned of it. Only once the delay of configuration changes has passed
// is it certain that the key belongs to no team. The zero value is empty. It is safe for concurrent
// use.
type UnknownKeys struct {
	mu        sync.Mutex
	firstSeen map[Digest]time.Time
}

// FirstSeen returns when an unknown key was first sent, and remembers now if it is the first time.
func (d *UnknownKeys) FirstSeen(key Digest, now time.Time) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at, ok := d.firstSeen[key]; ok {
		return at
	}
	if d.firstSeen == nil || len(d.firstSeen) >= maxUnknownKeys {
		d.firstSeen = map[Digest]time.Time{}
	}
	d.firstSeen[key] = now
	return now
}

// Verdict is the decision on a request by its key.
type Verdict uint8

const (
	// Admit means that the key belongs to a team.
	Admit Verdict = iota
	// Deny means that the key belongs to no team.
	Deny
	// RetryLater means that it is not yet known whether the key belongs to a team; the caller
	// should retry.
	RetryLater
)

// Decide decides on a request with a key in state s that was first sent at since. A configuration
// change takes at most the duration within to take effect. inTouch tells whether this balancer
// receives configuration changes; one that does not cannot distinguish a new key from a wrong one.
func Decide(s KeyState, since time.Time, within time.Duration, inTouch bool, now time.Time) Verdict {
	switch s {
	case Valid:
		return Admit
	case Revoked, Unusable:
		return Deny
	case Unknown:
	}
	if !inTouch || now.Sub(since) < within {
		return RetryLater
	}
	return Deny
}
