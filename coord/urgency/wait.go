package urgency

import "time"

const (
	// waitWindow is the number of declarations from which the usual wait is determined anew.
	waitWindow = 64
	// waitRank is the rank of the usual wait among the declarations of a window, the longest first.
	// At least 1 in 3 attempts is a first one, because callers retry at most twice, so the rank must
	// be below a third of the window. It is above 1 so that a few callers that declare a long wait
	// do not make all others look old.
	waitRank = 7
	// minWaits is the number of declarations before which no usual wait is known.
	minWaits = 8
)

// UsualWait is the wait that the callers of one request kind usually declare at their first attempt.
// A retry declares less, since its caller has spent part of the time; the difference is the age of
// the request. It is an immutable value; the zero value has no declarations.
type UsualWait struct {
	usual   time.Duration           // as of the last complete window; 0 before
	longest [waitRank]time.Duration // declarations of the current window, the longest first
	count   int                     // declarations in the current window
}

// With returns the usual wait after a caller declared a wait. A wait of 0 or less is ignored.
func (w UsualWait) With(declared time.Duration) UsualWait {
	if declared <= 0 {
		return w
	}
	for i := range w.longest {
		if declared > w.longest[i] {
			declared, w.longest[i] = w.longest[i], declared
		}
	}
	w.count++
	if w.count >= waitWindow {
		return UsualWait{usual: w.longest[waitRank-1]}
	}
	return w
}

// Usual returns the usual wait; 0 while too few declarations are known. In the first window it is
// the declaration whose rank grows with the window, from the second longest on.
func (w UsualWait) Usual() time.Duration {
	switch {
	case w.usual > 0:
		return w.usual
	case w.count < minWaits:
		return 0
	}
	return w.longest[1+w.count*(waitRank-2)/waitWindow]
}

// Age returns how long the caller of a request had been trying when it declared a wait. It is 0 if
// the caller declared none, or the usual wait is not known.
func (w UsualWait) Age(declared time.Duration) time.Duration {
	if declared <= 0 {
		return 0
	}
	return max(0, w.Usual()-declared)
}
